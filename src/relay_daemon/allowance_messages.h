#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/allowance_account.h"
#include "sycamoredrum/allowance_assignment.h"
#include "sycamoredrum/allowance_holder.h"

namespace sycamoredrum {

/// Part of a heartbeat; absent if no organisation has a rate.
struct AllowanceHeartbeat {
  std::string incarnation;
  double processor_share = 1;
  std::map<int, std::uint64_t> held;  ///< Generations of the held parts, by slot.
  std::uint64_t holders_version = 0;  ///< Of the list of holders in use; 0: none.
};

void to_json(nlohmann::json& json, const AllowanceHeartbeat& message);
void from_json(const nlohmann::json& json, AllowanceHeartbeat& message);

/// Part of the answer to a heartbeat with an AllowanceHeartbeat.
struct AllowanceLeases {
  std::map<int, std::uint64_t> leases;  ///< Generations of the parts that the member may hold.
  std::uint64_t holders_version = 0;
  /// Holders of all parts; absent if the member has this version.
  std::optional<std::map<int, SlotHolder>> holders;
};

void to_json(nlohmann::json& json, const AllowanceLeases& message);
void from_json(const nlohmann::json& json, AllowanceLeases& message);

/// Value of kAllowancesKey in the store.
struct StoredAllowances {
  std::uint64_t era = 0;  ///< Era of the store in which the value was written.
  AllowanceRecord record;
};

std::string ToJson(const StoredAllowances& stored);
std::optional<StoredAllowances> ParseStoredAllowances(const std::string& json);

/// Requests of one relay to one holder.
struct AllowanceBatch {
  std::uint64_t configuration = 0;  ///< Version in use by the sender.
  std::vector<AllowanceRequest> requests;
};

std::string ToJson(const AllowanceBatch& batch);
std::optional<AllowanceBatch> ParseAllowanceBatch(const std::string& json);

/// Answers in the order of the requests.
struct AllowanceBatchAnswer {
  std::uint64_t configuration = 0;
  std::vector<AllowanceAnswer> answers;
};

std::string ToJson(const AllowanceBatchAnswer& answer);
std::optional<AllowanceBatchAnswer> ParseAllowanceBatchAnswer(const std::string& json);

}  // namespace sycamoredrum
