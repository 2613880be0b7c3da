#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

#include "sycamoredrum/ticket.h"

namespace sycamoredrum {
namespace {

struct Unit {
  std::string_view name;
  std::chrono::nanoseconds length;
};

constexpr std::array<Unit, 6> kUnitsLargestFirst = {{{"h", std::chrono::hours(1)},
                                                     {"m", std::chrono::minutes(1)},
                                                     {"s", std::chrono::seconds(1)},
                                                     {"ms", std::chrono::milliseconds(1)},
                                                     {"us", std::chrono::microseconds(1)},
                                                     {"ns", std::chrono::nanoseconds(1)}}};

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  const auto unit_start = std::find_if_not(text.begin(), text.end(), IsDigit) - text.begin();
  std::int64_t count = 0;
  if (!absl::SimpleAtoi(absl::string_view(text.data(), unit_start), &count)) {
    return std::nullopt;
  }
  const std::string_view unit_name = text.substr(unit_start);
  for (const Unit& unit : kUnitsLargestFirst) {
    if (unit.name == unit_name) {
      const bool fits = count <= std::chrono::nanoseconds::max() / unit.length;
      return fits ? std::optional<Duration>(unit.length * count) : std::nullopt;
    }
  }
  return std::nullopt;
}

std::string FormatDuration(Duration duration) {
  if (duration == Duration::zero()) {
    return "0s";
  }
  const std::chrono::nanoseconds exact = duration;
  const auto* unit = std::find_if(
      kUnitsLargestFirst.begin(), kUnitsLargestFirst.end(),
      [exact](const Unit& candidate) { return exact % candidate.length == exact.zero(); });
  return absl::StrCat(exact / unit->length,
                      absl::string_view(unit->name.data(), unit->name.size()));
}

}  // namespace sycamoredrum
