#include "allowance_exchange.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "sycamoredrum/organisation_directory.h"

namespace sycamoredrum {

RateLimits RateLimitsOf(const RelayConfiguration& configuration) {
  RateLimits limits{configuration.version, {}};
  if (configuration.organisations) {
    for (const auto& [name, organisation] : configuration.organisations->Organisations()) {
      if (organisation.rate) {
        limits.organisations.emplace(name, RateLimit{*organisation.rate, organisation.burst});
      }
    }
  }
  return limits;
}

AllowanceExchange::AllowanceExchange(MemberRecord self, double processor_share,
                                     AllowanceOptions options, AllowanceExchangeHooks hooks,
                                     const Clock& clock, Scheduler& scheduler, RandomSource random,
                                     Logger& logger, Metrics& metrics)
    : self(std::move(self)),
      processor_share(processor_share),
      hooks(std::move(hooks)),
      clock(clock),
      scheduler(scheduler),
      logger(logger),
      metrics(metrics),
      holder(options, clock),
      account(this->self.data_centre,
              AllowanceAccountHooks{
                  [this](int slot, const std::string& organisation, const TokenRequest& wanted) {
                    this->Request(slot, organisation, wanted);
                  },
                  [this](const std::string& organisation, bool admitted) {
                    this->metrics.Increment(
                        Metric::kOrganisationOperations,
                        {this->LabelOf(organisation), admitted ? "admitted" : "rate"});
                  }},
              clock, scheduler, std::move(random)),
      reported_at(clock.Now()) {}

const std::string& AllowanceExchange::LabelOf(const std::string& organisation) const {
  static const std::string other = "other";
  const auto label = this->labels.find(organisation);
  return label != this->labels.end() ? *label : other;
}

void AllowanceExchange::SetLimits(const RateLimits& new_limits) {
  if (new_limits.version < this->limits.version) {
    return;
  }
  this->limits = new_limits;
  std::vector<std::pair<double, std::string>> by_rate;
  for (const auto& [name, limit] : new_limits.organisations) {
    by_rate.emplace_back(-limit.rate, name);
  }
  std::sort(by_rate.begin(), by_rate.end());
  for (const auto& [rate, name] : by_rate) {
    if (this->labels.size() < kMaxLabels) {
      this->labels.insert(name);
    }
  }
  this->holder.SetLimits(new_limits);
  this->account.SetLimits(new_limits);
}

void AllowanceExchange::AddTo(HeartbeatMessage& message) const {
  const std::map<int, std::uint64_t> held = this->holder.Held();
  if (this->stopped || (this->limits.organisations.empty() && held.empty())) {
    return;
  }
  message.allowance = AllowanceHeartbeat{this->self.incarnation, this->processor_share, held,
                                         this->holders_version};
}

// Answers may arrive out of order.
void AllowanceExchange::OnAnswer(const HeartbeatAnswer& answer, TimePoint sent) {
  const bool older = answer.epoch < this->answer_epoch ||
                     (answer.epoch == this->answer_epoch && answer.stamp <= this->answer_stamp);
  if (!answer.allowance || older || this->stopped) {
    return;
  }
  this->answer_epoch = answer.epoch;
  this->answer_stamp = answer.stamp;
  this->LogChanges(this->holder.SetLeases(answer.allowance->leases, sent + kHolderValidity));
  if (answer.allowance->holders) {
    this->holders = *answer.allowance->holders;
    this->holders_version = answer.allowance->holders_version;
    this->account.SetHolders(this->holders);
  }
}

void AllowanceExchange::Request(int slot, const std::string& organisation,
                                const TokenRequest& wanted) {
  const SlotHolder& target = this->holders.at(slot);
  Pending& batch = this->pending[target.member];
  batch.endpoint = target.endpoint;
  AllowanceRequest& request = batch.requests[slot];
  request.slot = slot;
  request.generation = target.generation;
  request.wanted[organisation] = wanted;
  if (!std::exchange(batch.scheduled, true)) {
    this->scheduler.RunAfter(
        batch.last_sent + kBatchInterval - this->clock.Now(),
        [this, weak = std::weak_ptr<bool>(this->alive), member = target.member] {
          if (!weak.expired()) {
            this->SendBatch(member);
          }
        });
  }
}

void AllowanceExchange::SendBatch(const std::string& member) {
  Pending& waiting = this->pending[member];
  const TimePoint sent = this->clock.Now();
  waiting.scheduled = false;
  waiting.last_sent = sent;
  AllowanceBatch batch;
  batch.configuration = this->limits.version;
  for (auto& [slot, request] : waiting.requests) {
    batch.requests.push_back(std::move(request));
  }
  waiting.requests.clear();
  if (member == this->self.member) {
    this->OnBatchAnswer(member, batch, this->Grant(member, batch), sent);
    return;
  }
  this->hooks.call(waiting.endpoint, ToJson(batch),
                   [this, weak = std::weak_ptr<bool>(this->alive), member, batch,
                    sent](const std::optional<std::string>& body) {
                     if (!weak.expired()) {
                       this->OnBatchAnswer(member, batch,
                                           body ? ParseAllowanceBatchAnswer(*body) : std::nullopt,
                                           sent);
                     }
                   });
}

void AllowanceExchange::OnBatchAnswer(const std::string& member, const AllowanceBatch& batch,
                                      const std::optional<AllowanceBatchAnswer>& answer,
                                      TimePoint sent) {
  if (answer) {
    this->account.ObserveResponseTime(member, this->clock.Now() - sent);
    if (answer->configuration > this->limits.version) {
      this->hooks.request_configuration();
    }
  }
  for (std::size_t i = 0; i < batch.requests.size(); ++i) {
    const AllowanceRequest& request = batch.requests[i];
    static const AllowanceAnswer none;
    const AllowanceAnswer& granted =
        answer && i < answer->answers.size() ? answer->answers[i] : none;
    for (const auto& [name, wanted] : request.wanted) {
      const auto tokens = granted.granted.find(name);
      if (granted.holds && tokens != granted.granted.end()) {
        this->account.OnGranted(request.slot, name, tokens->second, sent);
      } else {
        this->account.OnFailed(request.slot, name);
      }
    }
  }
}

AllowanceBatchAnswer AllowanceExchange::Grant(const std::string& member,
                                              const AllowanceBatch& batch) {
  AllowanceBatchAnswer answer;
  answer.configuration = this->limits.version;
  answer.answers.reserve(batch.requests.size());
  for (const AllowanceRequest& request : batch.requests) {
    answer.answers.push_back(this->holder.Grant(member, request));
  }
  return answer;
}

std::optional<std::string> AllowanceExchange::OnRequest(const std::string& member,
                                                        const std::string& body) {
  const std::optional<AllowanceBatch> batch = ParseAllowanceBatch(body);
  if (!batch) {
    return std::nullopt;
  }
  if (batch->configuration > this->limits.version) {
    this->hooks.request_configuration();
  }
  return ToJson(this->Grant(member, *batch));
}

void AllowanceExchange::Stop() {
  this->stopped = true;
  this->LogChanges(this->holder.DropAll());
}

void AllowanceExchange::LogChanges(const SlotChanges& changes) {
  const auto log = [this](const char* event, const std::vector<int>& slots) {
    if (slots.empty()) {
      return;
    }
    std::vector<std::string> names;
    names.reserve(slots.size());
    for (const int slot : slots) {
      names.push_back(absl::StrCat(GroupOfSlot(slot), "/", PartOfSlot(slot)));
    }
    this->logger.Info(event, {{"parts", absl::StrJoin(names, ",")},
                              {"held", absl::StrCat(this->holder.Held().size())}});
  };
  log("allowance_parts_acquired", changes.acquired);
  log("allowance_parts_lost", changes.lost);
}

void AllowanceExchange::LogLimited() {
  const std::map<std::string, TimePoint> limited = this->account.Limited();
  const auto log = [this](const char* event, const std::map<std::string, TimePoint>& before,
                          const std::map<std::string, TimePoint>& present) {
    std::vector<std::string> names;
    std::size_t count = 0;
    TimePoint since = this->clock.Now();
    for (const auto& [name, from] : present) {
      if (before.count(name) == 0) {
        ++count;
        since = std::min(since, from);
        if (names.size() < kMaxLoggedNames) {
          names.push_back(name);
        }
      }
    }
    if (count > 0) {
      this->logger.Info(event, {{"organisations", absl::StrJoin(names, ",")},
                                {"count", absl::StrCat(count)},
                                {"since_ms", LogMilliseconds(this->clock.Now() - since)}});
    }
  };
  log("organisations_at_limit", this->logged_limited, limited);
  log("organisations_below_limit", limited, this->logged_limited);
  this->logged_limited = limited;
}

void AllowanceExchange::Tick() {
  this->LogChanges(this->holder.Expire());
  if (this->clock.Now() - this->reported_at < kReportInterval) {
    return;
  }
  this->reported_at = this->clock.Now();
  this->LogLimited();
  this->metrics.Set(Metric::kAllowanceTokens, {}, static_cast<double>(this->account.Tokens()));
  this->metrics.Set(Metric::kAllowanceParts, {}, static_cast<double>(this->holder.Held().size()));
}

}  // namespace sycamoredrum
