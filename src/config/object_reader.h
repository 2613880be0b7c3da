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

/// Reads the fields of one JSON object and adds a finding for each problem. Each field that is
/// passed to a method counts as known; Finish reports all others. The return value of a method that
/// adds a finding is a default or the invalid value.
class ObjectReader {
 public:
  /// `place` is the path of `json` in the ticket, empty for the ticket itself. `json` and
  /// `findings` must outlive the reader.
  ObjectReader(const nlohmann::json& json, std::string place, Findings& findings);

  /// Required non-empty text.
  std::string Text(const std::string& field);
  /// Required name: letters, digits, ".", "_" and "-", at most 63, starting with a letter or digit.
  std::string Name(const std::string& field);
  /// Required SHA-256 in lower-case hexadecimal.
  std::string Sha256(const std::string& field);
  /// Required "IP:PORT".
  Endpoint Address(const std::string& field);
  /// Required duration with a unit, at most `max`.
  Duration BoundedDuration(const std::string& field, Duration max);
  /// Required whole number in `range`.
  std::uint64_t RequiredInteger(const std::string& field, IntegerRange range);
  /// Optional whole number in `range`.
  int Integer(const std::string& field, IntegerRange range, int default_value);
  /// Optional true or false.
  bool Flag(const std::string& field, bool default_value);
  /// Optional list of names; a duplicate is a finding.
  std::vector<std::string> Names(const std::string& field);
  /// Optional list of objects; calls `read` with each item and its place.
  void Objects(const std::string& field,
               const std::function<void(const nlohmann::json&, const std::string& place)>& read);

  /// Adds a finding for each field that was not passed to any method. Call it last.
  void Finish();

  /// The place of `field` for a finding, for example "databases[0].name".
  std::string PlaceOf(const std::string& field) const;

 private:
  const nlohmann::json* Find(const std::string& field);
  const nlohmann::json* Require(const std::string& field);
  void Add(const std::string& field, std::string reason);
  std::optional<std::int64_t> CheckedInteger(const std::string& field, const nlohmann::json& value,
                                             IntegerRange range);
  std::string NearestKnownField(const std::string& field) const;

  const nlohmann::json& json;
  std::string place;
  Findings& findings;
  std::vector<std::string> known_fields;
};

}  // namespace sycamoredrum
