#pragma once

#include <string>
#include <vector>

namespace sycamoredrum {

/// Rows of text in aligned columns, for people.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  /// `row` has as many cells as the header.
  void AddRow(std::vector<std::string> row);

  /// One line for the header and each row, every line indented by `indent` spaces.
  std::string ToString(std::size_t indent = 0) const;

 private:
  std::vector<std::vector<std::string>> rows;
};

}  // namespace sycamoredrum
