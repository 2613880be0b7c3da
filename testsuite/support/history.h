#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// One attempt of a caller's request and the answer that the caller received. Each caller has one
/// session and sends one request at a time.
///
/// A write runs "APPEND <key> <item>" and "ADD <CounterKey(key)> 1" in one transaction. A read runs
/// "GET <key>" and "GET <CounterKey(key)>". Keys belong to one caller.
struct Attempt {
  int caller = 0;
  int proxy = 0;
  bool write = false;
  std::string key;
  std::string item;                 ///< Writes: from ItemText.
  std::string request_id;           ///< Writes: the Idempotency-Key, the same in all attempts.
  std::string answered_request_id;  ///< Request id stated in the answer, or empty.
  std::chrono::steady_clock::time_point start;
  std::chrono::steady_clock::time_point end;
  Outcome outcome = Outcome::kUnknown;
  std::vector<std::string> results;
  std::string reason;  ///< Reason code of the answer, or why there is none; for messages.
};

/// Text of the item with `number` in the list `key`. It contains the key, so that an answer for
/// another key is recognised.
std::string ItemText(const std::string& key, int number);

/// Key of the counter of the items in the list `key`. Each write changes both in one transaction.
std::string CounterKey(const std::string& key);

/// Committed values at the end of a run, by key. A missing key stands for an empty value.
using FinalValues = std::map<std::string, std::string>;

/// Consistency rules that a history can violate.
enum class Rule {
  kStaleOwnRead,        ///< A read missed an acknowledged write of its own session.
  kLostWrite,           ///< An acknowledged write is missing at the end.
  kRunTwice,            ///< A request id took effect more than once.
  kNotRunHasEffect,     ///< A write is present though all its attempts were not run or failed.
  kPartialTransaction,  ///< The statements of one request did not take effect together.
  kForeignAnswer,       ///< An answer belongs to another request.
};

std::string_view ToString(Rule rule);

struct Violation {
  Rule rule;
  std::string message;
};

/// Checks all rules. `attempts` may be in any order. `values` holds the lists and counters of the
/// primary, read after the last attempt had ended and no request was in flight.
std::vector<Violation> CheckHistory(const std::vector<Attempt>& attempts,
                                    const FinalValues& values);

/// Number of violations and one line for each of the first 20.
std::string Describe(const std::vector<Violation>& violations);

}  // namespace sycamoredrum
