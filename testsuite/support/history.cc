#include "history.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <set>

namespace sycamoredrum {
namespace {

constexpr char kItemEnd = ';';
constexpr std::size_t kMaxDescribedViolations = 20;

using Items = std::vector<std::string>;

Items SplitItems(const std::string& list) {
  return absl::StrSplit(list, kItemEnd, absl::SkipEmpty());
}

std::string StripItemEnd(const std::string& item) {
  return !item.empty() && item.back() == kItemEnd ? item.substr(0, item.size() - 1) : item;
}

bool Contains(const Items& items, const std::string& item) {
  return std::find(items.begin(), items.end(), item) != items.end();
}

/// All attempts of one write.
struct Write {
  std::string key;
  std::string item;  ///< Without kItemEnd.
  bool acknowledged = false;
  bool refused = true;  ///< Every attempt ended with not_run or failed.
};

class Checker {
 public:
  Checker(const std::vector<Attempt>& attempts, const FinalValues& values)
      : attempts(attempts), values(values) {}

  std::vector<Violation> Run() {
    this->CollectWrites();
    for (const Attempt& attempt : this->attempts) {
      this->CheckAnswer(attempt);
    }
    this->CheckOwnReads();
    this->CheckFinalValues();
    return std::move(this->violations);
  }

 private:
  void AddViolation(Rule rule, const std::string& message) {
    this->violations.push_back(Violation{rule, message});
  }

  void CollectWrites() {
    for (const Attempt& attempt : this->attempts) {
      this->keys.insert(attempt.key);
      if (!attempt.write) {
        continue;
      }
      Write& write = this->writes[attempt.request_id];
      write.key = attempt.key;
      write.item = StripItemEnd(attempt.item);
      write.acknowledged |= attempt.outcome == Outcome::kResult;
      write.refused &= attempt.outcome == Outcome::kNotRun || attempt.outcome == Outcome::kFailed;
    }
  }

  static std::string DescribeAttempt(const Attempt& attempt) {
    return absl::StrCat(attempt.write ? "write " : "read ", attempt.request_id, " of ", attempt.key,
                        " through proxy ", attempt.proxy);
  }

  /// Checks that an answer holds the list and the counter of the request's own key, and that they
  /// match.
  void CheckAnswer(const Attempt& attempt) {
    if (attempt.outcome != Outcome::kResult) {
      return;
    }
    if (attempt.results.size() != 2) {
      this->AddViolation(Rule::kForeignAnswer,
                         absl::StrCat(DescribeAttempt(attempt), " has ", attempt.results.size(),
                                      " results instead of 2"));
      return;
    }
    const Items items = SplitItems(attempt.results[0]);
    this->CheckItemKeys(DescribeAttempt(attempt), attempt.key, items);
    if (attempt.write && attempt.answered_request_id != attempt.request_id) {
      this->AddViolation(
          Rule::kForeignAnswer,
          absl::StrCat(DescribeAttempt(attempt), " was answered as ", attempt.answered_request_id));
    }
    if (attempt.write && (items.empty() || items.back() != StripItemEnd(attempt.item))) {
      this->AddViolation(Rule::kForeignAnswer,
                         absl::StrCat(DescribeAttempt(attempt), " does not end with its item"));
    }
    this->CheckCounter(DescribeAttempt(attempt), items, attempt.results[1]);
  }

  void CheckItemKeys(const std::string& name, const std::string& key, const Items& items) {
    for (const std::string& item : items) {
      if (!absl::StartsWith(item, absl::StrCat(key, "/"))) {
        this->AddViolation(Rule::kForeignAnswer, absl::StrCat(name, " contains \"", item, "\""));
      }
    }
  }

  void CheckCounter(const std::string& name, const Items& items, const std::string& counter) {
    std::size_t count = 0;
    const bool number = counter.empty() || absl::SimpleAtoi(counter, &count);
    if (!number || count != items.size()) {
      this->AddViolation(
          Rule::kPartialTransaction,
          absl::StrCat(name, " has ", items.size(), " items, but counter \"", counter, "\""));
    }
  }

  void CheckOwnReads() {
    std::vector<Attempt> ordered = this->attempts;
    std::sort(ordered.begin(), ordered.end(),
              [](const Attempt& a, const Attempt& b) { return a.start < b.start; });
    std::map<std::pair<int, std::string>, Items> acknowledged;
    for (const Attempt& attempt : ordered) {
      if (attempt.outcome != Outcome::kResult) {
        continue;
      }
      Items& own = acknowledged[{attempt.caller, attempt.key}];
      if (attempt.write) {
        own.push_back(StripItemEnd(attempt.item));
      } else if (!attempt.results.empty()) {
        this->CheckOwnRead(attempt, own);
      }
    }
  }

  void CheckOwnRead(const Attempt& read, const Items& own) {
    const Items seen = SplitItems(read.results[0]);
    for (const std::string& item : own) {
      if (!Contains(seen, item)) {
        this->AddViolation(Rule::kStaleOwnRead,
                           absl::StrCat(DescribeAttempt(read), " does not show ", item));
      }
    }
  }

  std::string FinalValue(const std::string& key) const {
    const auto found = this->values.find(key);
    return found == this->values.end() ? "" : found->second;
  }

  void CheckFinalValues() {
    for (const std::string& key : this->keys) {
      const Items items = SplitItems(this->FinalValue(key));
      this->CheckItemKeys("final value", key, items);
      this->CheckCounter("final value of " + key, items, this->FinalValue(CounterKey(key)));
    }
    for (const auto& [request_id, write] : this->writes) {
      this->CheckFinalWrite(request_id, write);
    }
  }

  void CheckFinalWrite(const std::string& request_id, const Write& write) {
    const Items items = SplitItems(this->FinalValue(write.key));
    const auto count = std::count(items.begin(), items.end(), write.item);
    if (write.acknowledged && count == 0) {
      this->AddViolation(Rule::kLostWrite,
                         absl::StrCat("acknowledged write ", request_id, " is missing"));
    }
    if (count > 1) {
      this->AddViolation(Rule::kRunTwice,
                         absl::StrCat("write ", request_id, " ran ", count, " times"));
    }
    if (write.refused && count > 0) {
      this->AddViolation(
          Rule::kNotRunHasEffect,
          absl::StrCat("write ", request_id, " was refused in all attempts but ran"));
    }
  }

  const std::vector<Attempt>& attempts;
  const FinalValues& values;
  std::set<std::string> keys;
  std::map<std::string, Write> writes;
  std::vector<Violation> violations;
};

}  // namespace

std::string ItemText(const std::string& key, int number) {
  return absl::StrCat(key, "/", number, std::string(1, kItemEnd));
}

std::string CounterKey(const std::string& key) { return "count-" + key; }

std::string_view ToString(Rule rule) {
  switch (rule) {
    case Rule::kStaleOwnRead:
      return "stale_own_read";
    case Rule::kLostWrite:
      return "lost_write";
    case Rule::kRunTwice:
      return "run_twice";
    case Rule::kNotRunHasEffect:
      return "not_run_has_effect";
    case Rule::kPartialTransaction:
      return "partial_transaction";
    case Rule::kForeignAnswer:
      return "foreign_answer";
  }
  return "unknown_rule";
}

std::vector<Violation> CheckHistory(const std::vector<Attempt>& attempts,
                                    const FinalValues& values) {
  return Checker(attempts, values).Run();
}

std::string Describe(const std::vector<Violation>& violations) {
  std::string text = absl::StrCat(violations.size(), " violations\n");
  for (std::size_t i = 0; i < std::min(violations.size(), kMaxDescribedViolations); ++i) {
    absl::StrAppend(&text, std::string(ToString(violations[i].rule)), ": ", violations[i].message,
                    "\n");
  }
  return text;
}

}  // namespace sycamoredrum
