#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "sycamoredrum/finding.h"

namespace sycamoredrum {

/// An organisation whose callers the relay serves. It has no field for its keys, which are secrets,
/// so that a record of it can be logged or sent.
struct Organisation {
  std::string name;
  std::optional<double> rate;  ///< Operations per second in the whole fleet; nothing: no limit.
  double burst = 0;            ///< Operations; 0 if none is configured.
  int priority = 0;            ///< 0 is the highest.
  /// First configuration version since which the directory has contained the organisation without a
  /// gap, as far as this process has seen the versions.
  std::uint64_t incarnation = 0;
};

inline bool operator==(const Organisation& a, const Organisation& b) {
  return std::tie(a.name, a.rate, a.burst, a.priority, a.incarnation) ==
         std::tie(b.name, b.rate, b.burst, b.priority, b.incarnation);
}
inline bool operator!=(const Organisation& a, const Organisation& b) { return !(a == b); }

/// One entry of a configuration's list of organisations.
struct OrganisationEntry {
  Organisation organisation;      ///< Its incarnation is ignored.
  std::vector<std::string> keys;  ///< Secrets.
  std::string place;              ///< Its location in the configuration, for findings.
  std::string keys_place;         ///< Location of the list of its keys.
};

/// The organisations of one configuration version, and their keys. Immutable.
class OrganisationDirectory {
 public:
  /// Longest valid key, in bytes.
  static constexpr std::size_t kMaxKeyBytes = 512;

  /// Makes the directory of configuration `version`. The names must be unique and no key empty. An
  /// organisation that is in `previous` keeps its incarnation; `previous` may be null.
  static std::shared_ptr<const OrganisationDirectory> Make(std::vector<OrganisationEntry> entries,
                                                           std::uint64_t version,
                                                           const OrganisationDirectory* previous);

  /// The organisation that the key belongs to, or null if it belongs to none or to several. The
  /// time does not depend on the number of keys. The result is valid as long as the directory.
  const Organisation* FindByKey(std::string_view key) const;
  /// The organisation, or null. The result is valid as long as the directory.
  const Organisation* FindByName(const std::string& name) const;
  /// Problems that do not make the version invalid. They contain no key.
  const std::vector<Finding>& Findings() const { return this->findings; }
  /// All organisations, by name.
  const std::map<std::string, Organisation>& Organisations() const { return this->organisations; }

  friend bool operator==(const OrganisationDirectory& a, const OrganisationDirectory& b);
  friend bool operator!=(const OrganisationDirectory& a, const OrganisationDirectory& b) {
    return !(a == b);
  }

 private:
  OrganisationDirectory() = default;
  void AddKeys(const OrganisationEntry& entry, const Organisation& organisation);

  std::map<std::string, Organisation> organisations;
  /// By key; null if nobody is served for the key, for example if several organisations list it.
  std::unordered_map<std::string, const Organisation*> keys;
  std::vector<Finding> findings;
};

/// Names of the organisations of `previous` that `next` lacks or has with another incarnation. Both
/// may be null.
std::vector<std::string> EndedOrganisations(const OrganisationDirectory* previous,
                                            const OrganisationDirectory* next);

}  // namespace sycamoredrum
