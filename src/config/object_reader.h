#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/finding.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Inclusive bounds of a whole number.
struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

/// Reads the fields of one JSON object and adds a finding for each problem. Each method names one
/// known field; Finish reports all other fields. A method that adds a finding returns a default
/// value.
class ObjectReader {
 public:
  /// `json` and `findings` must outlive the reader.
  ObjectReader(const nlohmann::json& json, std::string place, Findings& findings);

  /// Required text that is not empty.
  std::string Text(const std::string& field);
  /// Required name: letters, digits, ".", "_" and "-", at most 63, starting with a letter or digit.
  std::string Name(const std::string& field);
  /// Required SHA-256 in lower-case hexadecimal.
  std::string Sha256(const std::string& field);
  /// Required "IP:PORT".
  Endpoint Address(const std::string& field);
  /// Required duration with a unit, at most `max`.
  Duration Age(const std::string& field, Duration max);
  std::uint64_t RequiredInteger(const std::string& field, IntegerRange range);
  int Integer(const std::string& field, IntegerRange range, int default_value);
  bool Flag(const std::string& field, bool default_value);
  /// Optional list of names without duplicates.
  std::vector<std::string> Names(const std::string& field);
  /// Optional list of objects; calls `read` for each with its place.
  void Objects(const std::string& field,
               const std::function<void(const nlohmann::json&, const std::string& place)>& read);

  /// Adds a finding for each field that no method named.
  void Finish();

  std::string PlaceOf(const std::string& field) const;

 private:
  const nlohmann::json* Find(const std::string& field);
  const nlohmann::json* Require(const std::string& field);
  void Add(const std::string& field, std::string reason);
  std::optional<std::int64_t> CheckedInteger(const std::string& field, const nlohmann::json& value,
                                             IntegerRange range);
  std::string NearestKnown(const std::string& field) const;

  const nlohmann::json& json;
  std::string place;
  Findings& findings;
  std::vector<std::string> known;
};

}  // namespace sycamoredrum
