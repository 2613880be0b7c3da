#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <vector>

#include "sycamoredrum/metrics.h"
#include "sycamoredrum/relay_settings.h"
#include "sycamoredrum/settings.h"

namespace sycamoredrum {
namespace {

using testing::HasSubstr;

std::string ReadPage(const std::string& name) {
  std::ifstream file(std::string(SYCAMOREDRUM_DOCS_DIRECTORY) + "/operators/" + name);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// Returns the table row whose first cell is `name`, or an empty text.
std::string FindRow(const std::string& page, const std::string& name) {
  const std::size_t start = page.find("\n| `" + name + "` |");
  return start == std::string::npos ? ""
                                    : page.substr(start + 1, page.find('\n', start + 1) - start);
}

// Guards against a metric or a label that is missing from the page.
TEST(OperatorPagesTest, MetricsPageListsEveryMetric) {
  const std::string page = ReadPage("metrics.md");
  for (const MetricInfo& info : MetricTable()) {
    const std::string row = FindRow(page, info.name);
    EXPECT_NE(row, "") << info.name;
    for (const std::string& label : info.labels) {
      EXPECT_THAT(row, HasSubstr("`" + label + "`")) << info.name;
    }
  }
}

// Guards against a setting, its environment variable or its default that is missing from the page.
TEST(OperatorPagesTest, SettingsPageListsEverySetting) {
  const std::string page = ReadPage("settings.md");
  std::vector<SettingInfo> settings = SettingTable();
  settings.insert(settings.end(), RelaySettingTable().begin(), RelaySettingTable().end());
  for (const SettingInfo& info : settings) {
    const std::string row = FindRow(page, "--" + std::string(info.flag));
    EXPECT_NE(row, "") << info.flag;
    EXPECT_THAT(row, HasSubstr("`" + info.EnvironmentVariable() + "`"));
    if (*info.default_value != '\0') {
      EXPECT_THAT(row, HasSubstr("| `" + std::string(info.default_value) + "` |"));
    }
  }
}

}  // namespace
}  // namespace sycamoredrum
