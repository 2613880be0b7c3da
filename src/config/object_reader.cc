#include "object_reader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

#include "sycamoredrum/ticket.h"

namespace sycamoredrum {
namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kSha256HexLength = 64;

bool IsNameCharacter(char c) { return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-'; }

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength && absl::ascii_isalnum(text.front()) &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsLowerHex(char c) { return absl::ascii_isdigit(c) || (c >= 'a' && c <= 'f'); }

// Levenshtein distance.
std::size_t EditDistance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({substitution, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row.back();
}

}  // namespace

ObjectReader::ObjectReader(const nlohmann::json& json, std::string place, Findings& findings)
    : json(json), place(std::move(place)), findings(findings) {
  if (!json.is_object()) {
    this->findings.Add(this->place, absl::StrCat("must be an object, is ", json.type_name()));
  }
}

std::string ObjectReader::PlaceOf(const std::string& field) const {
  return this->place.empty() ? field : absl::StrCat(this->place, ".", field);
}

void ObjectReader::Add(const std::string& field, std::string reason) {
  this->findings.Add(this->PlaceOf(field), std::move(reason));
}

const nlohmann::json* ObjectReader::Find(const std::string& field) {
  this->known_fields.push_back(field);
  const auto found = this->json.find(field);
  return found == this->json.end() ? nullptr : &*found;
}

const nlohmann::json* ObjectReader::Require(const std::string& field) {
  const nlohmann::json* value = this->Find(field);
  if (value == nullptr && this->json.is_object()) {
    this->Add(field, "is missing");
  }
  return value;
}

std::string ObjectReader::Text(const std::string& field) {
  const nlohmann::json* value = this->Require(field);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string()) {
    this->Add(field, absl::StrCat("must be text, is ", value->type_name()));
    return "";
  }
  if (value->get_ref<const std::string&>().empty()) {
    this->Add(field, "must not be empty");
  }
  return value->get<std::string>();
}

std::string ObjectReader::Name(const std::string& field) {
  std::string name = this->Text(field);
  if (!name.empty() && !IsName(name)) {
    this->Add(field, absl::StrCat("\"", name,
                                  "\" is not a name (at most 63 letters, digits, \".\", \"_\" and "
                                  "\"-\", starting with a letter or digit)"));
  }
  return name;
}

std::string ObjectReader::Sha256(const std::string& field) {
  std::string text = this->Text(field);
  const bool valid =
      text.size() == kSha256HexLength && std::all_of(text.begin(), text.end(), IsLowerHex);
  if (!text.empty() && !valid) {
    this->Add(field, "must be 64 lower-case hexadecimal digits");
  }
  return text;
}

Endpoint ObjectReader::Address(const std::string& field) {
  const std::string text = this->Text(field);
  if (text.empty()) {
    return Endpoint{};
  }
  const std::optional<Endpoint> endpoint = Endpoint::Parse(text);
  if (!endpoint) {
    this->Add(field, absl::StrCat("\"", text, "\" is not of the form IP:PORT"));
  }
  return endpoint.value_or(Endpoint{});
}

Duration ObjectReader::BoundedDuration(const std::string& field, Duration max) {
  const std::string text = this->Text(field);
  if (text.empty()) {
    return Duration::zero();
  }
  const std::optional<Duration> duration = ParseDuration(text);
  if (!duration) {
    this->Add(field, absl::StrCat("\"", text,
                                  "\" is not a whole number with a unit (ns, us, ms, s, m, h)"));
  } else if (*duration > max) {
    this->Add(field, absl::StrCat(text, " is more than ", FormatDuration(max)));
  }
  return duration.value_or(Duration::zero());
}

std::optional<std::int64_t> ObjectReader::CheckedInteger(const std::string& field,
                                                         const nlohmann::json& value,
                                                         IntegerRange range) {
  if (!value.is_number_integer()) {
    this->Add(field, absl::StrCat("must be a whole number, is ", value.dump()));
    return std::nullopt;
  }
  const bool too_large = value.is_number_unsigned() &&
                         value.get<std::uint64_t>() > static_cast<std::uint64_t>(range.max);
  if (too_large || value.get<std::int64_t>() < range.min) {
    this->Add(field,
              absl::StrCat(value.dump(), " is not in the range ", range.min, " to ", range.max));
    return std::nullopt;
  }
  return value.get<std::int64_t>();
}

std::uint64_t ObjectReader::RequiredInteger(const std::string& field, IntegerRange range) {
  const nlohmann::json* value = this->Require(field);
  if (value == nullptr) {
    return 0;
  }
  return static_cast<std::uint64_t>(this->CheckedInteger(field, *value, range).value_or(0));
}

int ObjectReader::Integer(const std::string& field, IntegerRange range, int default_value) {
  const nlohmann::json* value = this->Find(field);
  if (value == nullptr) {
    return default_value;
  }
  return static_cast<int>(this->CheckedInteger(field, *value, range).value_or(default_value));
}

bool ObjectReader::Flag(const std::string& field, bool default_value) {
  const nlohmann::json* value = this->Find(field);
  if (value == nullptr) {
    return default_value;
  }
  if (!value->is_boolean()) {
    this->Add(field, absl::StrCat("must be true or false, is ", value->dump()));
    return default_value;
  }
  return value->get<bool>();
}

std::vector<std::string> ObjectReader::Names(const std::string& field) {
  const nlohmann::json* list = this->Find(field);
  if (list == nullptr) {
    return {};
  }
  if (!list->is_array()) {
    this->Add(field, absl::StrCat("must be a list, is ", list->type_name()));
    return {};
  }
  std::vector<std::string> names;
  std::set<std::string> seen;
  for (std::size_t i = 0; i < list->size(); ++i) {
    const nlohmann::json& item = (*list)[i];
    const std::string item_field = absl::StrCat(field, "[", i, "]");
    if (!item.is_string() || !IsName(item.get_ref<const std::string&>())) {
      this->Add(item_field, absl::StrCat(item.dump(), " is not a name"));
    } else if (!seen.insert(item.get<std::string>()).second) {
      this->Add(item_field, absl::StrCat("\"", item.get<std::string>(), "\" occurs twice"));
    } else {
      names.push_back(item.get<std::string>());
    }
  }
  return names;
}

void ObjectReader::Objects(
    const std::string& field,
    const std::function<void(const nlohmann::json&, const std::string& place)>& read) {
  const nlohmann::json* list = this->Find(field);
  if (list == nullptr) {
    return;
  }
  if (!list->is_array()) {
    this->Add(field, absl::StrCat("must be a list, is ", list->type_name()));
    return;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    read((*list)[i], absl::StrCat(this->PlaceOf(field), "[", i, "]"));
  }
}

void ObjectReader::Finish() {
  if (!this->json.is_object()) {
    return;
  }
  for (const auto& item : this->json.items()) {
    const std::string& field = item.key();
    if (std::find(this->known_fields.begin(), this->known_fields.end(), field) ==
        this->known_fields.end()) {
      this->Add(field, absl::StrCat("unknown field; the nearest known field is \"",
                                    this->NearestKnownField(field), "\""));
    }
  }
}

std::string ObjectReader::NearestKnownField(const std::string& field) const {
  return *std::min_element(this->known_fields.begin(), this->known_fields.end(),
                           [&field](const std::string& a, const std::string& b) {
                             return EditDistance(field, a) < EditDistance(field, b);
                           });
}

}  // namespace sycamoredrum
