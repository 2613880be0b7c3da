#include "allowance_leader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "sycamoredrum/leadership.h"

namespace sycamoredrum {

AllowanceLeader::AllowanceLeader(
    const CoordinationStore& store, std::string leader_key,
    std::function<std::optional<MemberRecord>(const std::string&)> member_record,
    const Clock& clock, Logger& logger)
    : store(store),
      leader_key(std::move(leader_key)),
      member_record(std::move(member_record)),
      clock(clock),
      logger(logger),
      assignment(LeadershipOptions{}.lease, clock),
      next_write(clock.Now()) {}

void AllowanceLeader::Begin(std::uint64_t new_epoch, const StorePage& page,
                            TimePoint era_observed_at, bool uninterrupted) {
  this->epoch = new_epoch;
  this->revision = 0;
  this->write_in_progress = false;
  StoredAllowances stored;
  std::optional<TimePoint> restored_at;
  const auto item = std::find_if(page.items.begin(), page.items.end(),
                                 [](const KeyValue& other) { return other.key == kAllowancesKey; });
  if (item != page.items.end()) {
    this->revision = item->revision;
    if (const auto parsed = ParseStoredAllowances(item->value)) {
      stored = *parsed;
    } else {
      // The holders are unknown, as after a restore.
      this->logger.Error("allowances_unreadable", {{"key", kAllowancesKey}});
      restored_at = this->clock.Now();
    }
  }
  if (stored.era != EraOf(new_epoch) && !restored_at) {
    restored_at = era_observed_at;
  }
  this->assignment.Begin(new_epoch, stored.record, restored_at, uninterrupted);
}

void AllowanceLeader::End() {
  this->epoch = 0;
  this->assignment.End();
}

void AllowanceLeader::OnHeartbeat(const HeartbeatMessage& message, HeartbeatAnswer& answer) {
  const std::optional<MemberRecord> record =
      message.allowance && answer.registered && message.registration != 0 && this->member_record
          ? this->member_record(message.member)
          : std::nullopt;
  if (!record || !this->assignment.Active()) {
    return;
  }
  const AllowanceHeartbeat& own = *message.allowance;
  AllowanceReport report;
  report.member = AllowanceMember{message.member,      own.incarnation,     message.registration,
                                  record->data_centre, own.processor_share, record->endpoint};
  report.epoch_adopted = message.epoch == this->epoch;
  report.echoed_stamp = report.epoch_adopted ? message.echoed_stamp : 0;
  report.held = own.held;
  AllowanceLeases leases;
  leases.leases = this->assignment.OnReport(report, answer.stamp);
  leases.holders_version = this->revision;
  if (own.holders_version != this->revision) {
    leases.holders.emplace();
    const AllowanceRecord& all = this->assignment.Record();
    for (int slot = 0; slot < kAllowanceSlots; ++slot) {
      const SlotRecord& holder = all[static_cast<std::size_t>(slot)];
      if (!holder.member.empty()) {
        (*leases.holders)[slot] =
            SlotHolder{holder.member, holder.data_centre, holder.endpoint, holder.generation};
      }
    }
  }
  answer.allowance = std::move(leases);
}

void AllowanceLeader::Tick() {
  if (this->write_in_progress || this->clock.Now() < this->next_write) {
    return;
  }
  const std::optional<AllowanceRecord> next = this->assignment.Next();
  if (!next) {
    return;
  }
  const StoredAllowances wanted{EraOf(this->epoch), *next};
  const std::string value = ToJson(wanted);
  this->write_in_progress = true;
  // The write fails once another process has taken the leader's key.
  this->store.write(ConditionalWrite{kAllowancesKey, this->revision, value, 0},
                    {{this->leader_key, this->epoch}},
                    [this, weak = std::weak_ptr<bool>(this->alive), began = this->epoch, wanted,
                     value](PlatformStatus status, std::uint64_t written) {
                      if (weak.expired() || this->epoch != began) {
                        return;
                      }
                      if (status == PlatformStatus::kOk) {
                        this->OnWritten(wanted, written);
                      } else {
                        this->Resolve(wanted, value);
                      }
                    });
}

// Reads the record to find out whether the write took effect. If it has not, it may do so later; a
// further write from the same revision excludes that.
void AllowanceLeader::Resolve(const StoredAllowances& wanted, const std::string& value) {
  this->store.list(kAllowancesKey, [this, weak = std::weak_ptr<bool>(this->alive),
                                    began = this->epoch, wanted,
                                    value](PlatformStatus status, const StorePage& page) {
    if (weak.expired() || this->epoch != began) {
      return;
    }
    const auto item = std::find_if(page.items.begin(), page.items.end(), [](const KeyValue& other) {
      return other.key == kAllowancesKey;
    });
    if (status != PlatformStatus::kOk || EraOf(page.revision) != EraOf(began)) {
      this->OnUnresolved();
      return;
    }
    if (item == page.items.end()) {
      this->revision = 0;
      this->OnUnresolved();
      return;
    }
    const std::optional<StoredAllowances> stored = ParseStoredAllowances(item->value);
    const bool changed = item->revision != this->revision;
    if (changed && item->value == value) {
      this->OnWritten(wanted, item->revision);
    } else if (changed && stored) {
      this->OnWritten(*stored, item->revision);
    } else {
      this->revision = item->revision;
      this->OnUnresolved();
    }
  });
}

void AllowanceLeader::OnWritten(const StoredAllowances& stored, std::uint64_t written) {
  this->write_in_progress = false;
  this->revision = written;
  this->assignment.OnWritten(stored.record);
  this->logger.Info("allowances_assigned", {{"revision", absl::StrCat(written)}});
}

void AllowanceLeader::OnUnresolved() {
  this->write_in_progress = false;
  this->next_write = this->clock.Now() + kRetryDelay;
  this->assignment.OnUnresolved();
}

}  // namespace sycamoredrum
