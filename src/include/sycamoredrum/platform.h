#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// One key of the platform's key-value service and its value. Each write to the service has a
/// higher revision than all before it; a key that does not exist has revision 0.
struct KeyValue {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
};

enum class PlatformStatus {
  kOk,
  kConflict,  ///< Compare-and-swap: the key does not have the expected revision.
  kNotFound,
  kUnavailable,  ///< The call certainly had no effect.
  kUnknown,      ///< No usable response was received; a write may have taken effect.
};

/// One VM in the platform's list.
struct VmRecord {
  std::string id;
  std::string host;  ///< IP address.
  std::string data_centre;
  bool entry = false;  ///< True for VMs that run this system, false for backend server VMs.
  bool leaving = false;
};

/// The platform's list of VMs. It may be stale or empty, and a later list may have a lower
/// revision.
struct VmList {
  std::uint64_t revision = 0;
  std::vector<VmRecord> vms;
};

/// Calls to the platform. Each call invokes its callback exactly once, never before the call
/// returns. The platform counts every call; a watch counts as one call, however long it waits.
struct PlatformClient {
  using GetCallback = std::function<void(PlatformStatus, std::optional<KeyValue>)>;
  /// Receives the new revision if the status is kOk, else 0.
  using PutCallback = std::function<void(PlatformStatus, std::uint64_t revision)>;
  using ListCallback = std::function<void(PlatformStatus, std::vector<KeyValue>)>;
  using VmListCallback = std::function<void(PlatformStatus, VmList)>;

  std::function<void(const std::string& key, GetCallback)> get;
  /// Writes `value` if the key's revision equals `expected_revision`.
  std::function<void(const std::string& key, const std::string& value,
                     std::uint64_t expected_revision, PutCallback)>
      put;
  /// Returns at most `limit` keys with `prefix` that sort after `after`, in ascending order.
  std::function<void(const std::string& prefix, const std::string& after, int limit, ListCallback)>
      list;
  /// Waits until a key with `prefix` has a revision above `after_revision` and returns all such
  /// keys, or an empty list after `timeout`.
  std::function<void(const std::string& prefix, std::uint64_t after_revision, Duration timeout,
                     ListCallback)>
      watch;
  std::function<void(VmListCallback)> list_vms;
};

}  // namespace sycamoredrum
