#include "sycamoredrum/organisation_directory.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace sycamoredrum {
namespace {

// The name is one field of a line that is sent to backend servers. With such a character it would
// be read as several fields or lines.
bool IsSeparator(char character) {
  constexpr unsigned char kSpace = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(character);
  return byte <= kSpace || byte == kDelete;
}

}  // namespace

std::shared_ptr<const OrganisationDirectory> OrganisationDirectory::Make(
    std::vector<OrganisationEntry> entries, std::uint64_t version,
    const OrganisationDirectory* previous) {
  // The constructor is private, so that std::make_shared cannot be used.
  const std::shared_ptr<OrganisationDirectory> directory(new OrganisationDirectory());
  for (OrganisationEntry& entry : entries) {
    Organisation& organisation = entry.organisation;
    const Organisation* former =
        previous == nullptr ? nullptr : previous->FindByName(organisation.name);
    organisation.incarnation = former == nullptr ? version : former->incarnation;
    const std::string name = organisation.name;
    const auto added = directory->organisations.emplace(name, std::move(organisation)).first;
    directory->AddKeys(entry, added->second);
  }
  return directory;
}

void OrganisationDirectory::AddKeys(const OrganisationEntry& entry,
                                    const Organisation& organisation) {
  if (entry.keys.empty()) {
    this->findings.push_back(Finding{entry.place, "has no keys, so nobody is served for it"});
  }
  const Organisation* owner = &organisation;
  if (std::any_of(organisation.name.begin(), organisation.name.end(), IsSeparator)) {
    this->findings.push_back(Finding{
        entry.place, "its name has a space or control character, so nobody is served for it"});
    owner = nullptr;
  }
  for (std::size_t i = 0; i < entry.keys.size(); ++i) {
    const auto [found, added] = this->keys.emplace(entry.keys[i], owner);
    if (!added && found->second != owner) {
      found->second = nullptr;
      this->findings.push_back(
          Finding{absl::StrCat(entry.keys_place, "[", i, "]"),
                  "the key is listed in another organisation too, so it is not accepted"});
    }
  }
}

const Organisation* OrganisationDirectory::FindByKey(std::string_view key) const {
  if (key.empty() || key.size() > kMaxKeyBytes) {
    return nullptr;
  }
  const auto found = this->keys.find(std::string(key));
  return found == this->keys.end() ? nullptr : found->second;
}

const Organisation* OrganisationDirectory::FindByName(const std::string& name) const {
  const auto found = this->organisations.find(name);
  return found == this->organisations.end() ? nullptr : &found->second;
}

bool operator==(const OrganisationDirectory& a, const OrganisationDirectory& b) {
  const auto same_owner = [&b](const auto& entry) {
    const auto found = b.keys.find(entry.first);
    if (found == b.keys.end() || (found->second == nullptr) != (entry.second == nullptr)) {
      return false;
    }
    return entry.second == nullptr || *entry.second == *found->second;
  };
  return a.organisations == b.organisations && a.findings == b.findings &&
         a.keys.size() == b.keys.size() && std::all_of(a.keys.begin(), a.keys.end(), same_owner);
}

std::vector<std::string> EndedOrganisations(const OrganisationDirectory* previous,
                                            const OrganisationDirectory* next) {
  std::vector<std::string> ended;
  if (previous == nullptr) {
    return ended;
  }
  for (const auto& [name, organisation] : previous->Organisations()) {
    const Organisation* present = next == nullptr ? nullptr : next->FindByName(name);
    if (present == nullptr || present->incarnation != organisation.incarnation) {
      ended.push_back(name);
    }
  }
  return ended;
}

}  // namespace sycamoredrum
