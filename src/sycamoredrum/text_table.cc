#include "text_table.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace sycamoredrum {
namespace {

constexpr std::size_t kColumnGap = 2;

}  // namespace

TextTable::TextTable(std::vector<std::string> header) { this->rows.push_back(std::move(header)); }

void TextTable::AddRow(std::vector<std::string> row) {
  row.resize(this->rows[0].size());
  this->rows.push_back(std::move(row));
}

std::string TextTable::ToString(std::size_t indent) const {
  std::vector<std::size_t> widths(this->rows[0].size(), 0);
  for (const std::vector<std::string>& row : this->rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : this->rows) {
    std::string line(indent, ' ');
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += row[column];
      line.append(widths[column] + kColumnGap - row[column].size(), ' ');
    }
    absl::StripTrailingAsciiWhitespace(&line);
    text += line + "\n";
  }
  return text;
}

}  // namespace sycamoredrum
