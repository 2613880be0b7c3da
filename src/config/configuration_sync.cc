#include "sycamoredrum/configuration_sync.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "ticket_pages.h"

namespace sycamoredrum {

ConfigurationSync::ConfigurationSync(ConfigurationSyncHooks hooks, PlatformClient platform,
                                     ConfigurationLog& log, const Clock& clock,
                                     Scheduler& scheduler, RandomSource random)
    : hooks(std::move(hooks)),
      platform(std::move(platform)),
      log(log),
      clock(clock),
      scheduler(scheduler),
      random(std::move(random)) {
  this->log.AddListener([this](const auto&) { this->HandleLogAdvance(); });
}

void ConfigurationSync::Start() { this->Tick(); }

void ConfigurationSync::Tick() {
  if (this->stopped) {
    return;
  }
  this->scheduler.RunAfter(kTickInterval, [this] { this->Tick(); });
  this->ExpirePulls();
  if (!this->is_ready || this->clock.Now() - this->peers_checked_at >= kPeerCheckInterval) {
    this->RemoveUnreachablePeers();
  }
  this->ReadOrWatchPlatform();
  if (!this->is_ready && this->platform_failures > 0) {
    this->QueryMembersWithUnknownNumber();
  }
  this->PullFromPeerAhead();
  this->UpdateReady();
}

void ConfigurationSync::HandleLogAdvance() {
  this->Announce();
  this->UpdateReady();
}

void ConfigurationSync::Announce() {
  for (const std::string& member :
       this->PickRandomMembers(this->hooks.members(), kAnnouncementFanOut)) {
    ++this->counters.announcements;
    this->hooks.announce(member, this->log.Number());
  }
}

std::vector<std::string> ConfigurationSync::PickRandomMembers(std::vector<std::string> candidates,
                                                              std::size_t count) {
  const std::size_t picked = std::min(count, candidates.size());
  for (std::size_t i = 0; i < picked; ++i) {
    std::swap(candidates[i], candidates[i + this->random() % (candidates.size() - i)]);
  }
  candidates.resize(picked);
  return candidates;
}

void ConfigurationSync::ReadOrWatchPlatform() {
  if (this->platform_call_in_flight || this->clock.Now() < this->platform_retry_at) {
    return;
  }
  const bool watch = this->hooks.should_watch();
  if (!this->platform_fully_read && (watch || !this->is_ready)) {
    this->ReadPlatform();
  } else if (watch) {
    this->WatchPlatform();
  } else {
    // `platform_revision` becomes stale while only other members watch, so the next watch must be
    // preceded by a full read.
    this->platform_fully_read = false;
  }
}

// The list includes the last applied ticket: if it came from a peer, its platform revision is not
// known yet.
void ConfigurationSync::ReadPlatform() {
  this->platform_call_in_flight = true;
  ++this->counters.platform_calls;
  const std::uint64_t number = this->log.Number();
  this->platform.list(std::string(kTicketKeyPrefix), TicketKey(number == 0 ? 0 : number - 1),
                      static_cast<int>(kTicketsPerMessage),
                      [this](PlatformStatus status, const std::vector<KeyValue>& page) {
                        this->HandlePage(status, page);
                      });
}

void ConfigurationSync::HandlePage(PlatformStatus status, const std::vector<KeyValue>& page) {
  this->platform_call_in_flight = false;
  if (status != PlatformStatus::kOk) {
    this->HandlePlatformFailure();
    return;
  }
  const std::uint64_t number_before = this->log.Number();
  this->ApplyPlatformTickets(page);
  if (page.size() < kTicketsPerMessage) {
    this->platform_fully_read = true;
    this->BecomeReady();
    this->ReadOrWatchPlatform();
  } else if (this->log.Number() > number_before) {
    this->ReadPlatform();
  } else {
    // A full page that does not advance the log contains a ticket that cannot be applied; the log's
    // LastReason() gives the reason.
    this->HandlePlatformFailure();
  }
}

void ConfigurationSync::WatchPlatform() {
  this->platform_call_in_flight = true;
  ++this->counters.platform_calls;
  this->platform.watch(std::string(kTicketKeyPrefix), this->platform_revision, kWatchTimeout,
                       [this](PlatformStatus status, const std::vector<KeyValue>& changed) {
                         this->HandleWatch(status, changed);
                       });
}

void ConfigurationSync::HandleWatch(PlatformStatus status, const std::vector<KeyValue>& changed) {
  this->platform_call_in_flight = false;
  if (status != PlatformStatus::kOk) {
    this->HandlePlatformFailure();
    return;
  }
  this->ApplyPlatformTickets(changed);
  if (this->log.HasGap()) {
    this->platform_fully_read = false;
  }
  if (changed.empty()) {
    // Limits the call rate if the platform answers a watch without changes before its timeout.
    this->platform_retry_at = this->clock.Now() + kFirstBackoff;
  }
  if (!this->stopped) {
    this->ReadOrWatchPlatform();
  }
}

void ConfigurationSync::ApplyPlatformTickets(const std::vector<KeyValue>& page) {
  this->platform_failures = 0;
  for (const KeyValue& item : page) {
    this->platform_revision = std::max(this->platform_revision, item.revision);
  }
  this->log.Offer(ExtractTickets(page));
}

void ConfigurationSync::HandlePlatformFailure() {
  ++this->counters.platform_errors;
  // Another watch from `platform_revision` would miss tickets only if that revision is wrong. A
  // full read is cheap and cannot miss any.
  this->platform_fully_read = false;
  this->platform_retry_at = this->clock.Now() + this->Backoff(this->platform_failures++);
}

// Exponential back-off with jitter: a random duration in the upper half of each step.
Duration ConfigurationSync::Backoff(int failures) {
  constexpr int kMaxDoublings = 16;
  const Duration step =
      std::min<Duration>(kMaxBackoff, kFirstBackoff * (1 << std::min(failures, kMaxDoublings)));
  const Duration half = step / 2;
  return half + Duration(static_cast<Duration::rep>(this->random() %
                                                    static_cast<std::uint64_t>(half.count() + 1)));
}

void ConfigurationSync::HandleNumber(const std::string& member, std::uint64_t number) {
  if (!this->first_number_received_at) {
    this->first_number_received_at = this->clock.Now();
  }
  Peer& peer = this->peers[member];
  peer.number_known = true;
  // Datagrams may arrive out of order, so a lower number is ignored. If the member restarted and
  // its number is now lower, the answer to the next pull corrects it.
  peer.number = std::max(peer.number, number);
  if (peer.number > this->log.Number()) {
    this->PullFromPeerAhead();
  }
  this->UpdateReady();
}

TicketsAnswer ConfigurationSync::HandlePull(std::uint64_t after, std::size_t limit) const {
  TicketsAnswer answer;
  answer.number = this->log.Number();
  answer.tickets = this->log.TicketsAfter(after, std::min(limit, kTicketsPerMessage));
  return answer;
}

void ConfigurationSync::RemoveUnreachablePeers() {
  this->peers_checked_at = this->clock.Now();
  const std::vector<std::string> members = this->hooks.members();
  const std::unordered_set<std::string> reachable(members.begin(), members.end());
  for (auto peer = this->peers.begin(); peer != this->peers.end();) {
    const bool unreachable = reachable.count(peer->first) == 0;
    peer = unreachable ? this->peers.erase(peer) : std::next(peer);
  }
}

void ConfigurationSync::ExpirePulls() {
  for (auto pull = this->pull_deadlines.begin(); pull != this->pull_deadlines.end();) {
    const bool expired = pull->second <= this->clock.Now();
    if (expired) {
      this->HandlePullFailure(pull->first);
    }
    pull = expired ? this->pull_deadlines.erase(pull) : std::next(pull);
  }
}

bool ConfigurationSync::IsNumberKnown(const std::string& member) const {
  const auto peer = this->peers.find(member);
  return peer != this->peers.end() && peer->second.number_known;
}

void ConfigurationSync::QueryMembersWithUnknownNumber() {
  std::vector<std::string> candidates;
  for (std::string& member : this->hooks.members()) {
    const auto peer = this->peers.find(member);
    const bool may_query =
        peer == this->peers.end() ||
        (!peer->second.number_known && peer->second.retry_at <= this->clock.Now());
    if (may_query && this->pull_deadlines.count(member) == 0) {
      candidates.push_back(std::move(member));
    }
  }
  for (const std::string& member :
       this->PickRandomMembers(std::move(candidates), kStartupQueryFanOut)) {
    this->Pull(member);
  }
}

bool ConfigurationSync::PullInProgress() const {
  return std::any_of(this->pull_deadlines.begin(), this->pull_deadlines.end(),
                     [this](const auto& pull) {
                       return pull.second > this->clock.Now() && this->IsNumberKnown(pull.first);
                     });
}

// Pulls from one member that is ahead, chosen at random among those that are not in back-off after
// a failed pull.
void ConfigurationSync::PullFromPeerAhead() {
  if (this->PullInProgress()) {
    return;
  }
  std::vector<std::string> ahead;
  for (const auto& [member, peer] : this->peers) {
    if (peer.number > this->log.Number() && peer.retry_at <= this->clock.Now()) {
      ahead.push_back(member);
    }
  }
  for (const std::string& member : this->PickRandomMembers(std::move(ahead), 1)) {
    this->Pull(member);
  }
}

void ConfigurationSync::Pull(const std::string& member) {
  ++this->counters.pulls;
  this->pull_deadlines[member] = this->clock.Now() + kPullTimeout;
  const std::uint64_t number = this->log.Number();
  this->hooks.pull(member, number, kTicketsPerMessage,
                   [this, member, number](const std::optional<TicketsAnswer>& answer) {
                     this->HandlePullAnswer(member, number, answer);
                   });
}

void ConfigurationSync::HandlePullFailure(const std::string& member) {
  ++this->counters.failed_pulls;
  Peer& peer = this->peers[member];
  peer.retry_at = this->clock.Now() + this->Backoff(peer.failures++);
}

void ConfigurationSync::HandlePullAnswer(const std::string& member, std::uint64_t number_before,
                                         const std::optional<TicketsAnswer>& answer) {
  this->pull_deadlines.erase(member);
  if (!answer) {
    this->HandlePullFailure(member);
    this->PullFromPeerAhead();
    return;
  }
  this->log.Offer(answer->tickets);
  const bool progress = this->log.Number() > number_before || this->log.Number() >= answer->number;
  if (progress) {
    this->peers[member].failures = 0;
  } else {
    this->HandlePullFailure(member);
  }
  this->peers[member].number = answer->number;
  this->HandleNumber(member, answer->number);
}

void ConfigurationSync::UpdateReady() {
  if (!this->is_ready && this->CanBecomeReadyFromPeers()) {
    this->BecomeReady();
  }
}

bool ConfigurationSync::CanBecomeReadyFromPeers() const {
  const bool outage = this->platform_failures > 0;
  // Configuration 0 has no caller groups, so no request could be served. If all members report 0,
  // they may all be new and lack tickets that the platform has.
  if (!outage || this->log.Number() == 0 || !this->first_number_received_at) {
    return false;
  }
  for (const auto& [member, peer] : this->peers) {
    if (peer.number > this->log.Number()) {
      return false;
    }
  }
  const std::vector<std::string> members = this->hooks.members();
  const bool all_numbers_known =
      std::all_of(members.begin(), members.end(),
                  [this](const std::string& member) { return this->IsNumberKnown(member); });
  return all_numbers_known ||
         this->clock.Now() - *this->first_number_received_at >= kPeerReportTimeout;
}

void ConfigurationSync::BecomeReady() {
  if (this->is_ready) {
    return;
  }
  this->is_ready = true;
  this->hooks.ready();
}

}  // namespace sycamoredrum
