#pragma once

#include <string>
#include <vector>

namespace sycamoredrum {

/// Formats rows of text as a table with aligned columns.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  /// Adds a row, which is cut or filled with empty cells to the length of the header.
  void AddRow(std::vector<std::string> row);

  /// Returns a line for the header and one for each row, all indented by `indent` spaces.
  std::string ToString(std::size_t indent = 0) const;

 private:
  std::vector<std::vector<std::string>> rows;
};

}  // namespace sycamoredrum
