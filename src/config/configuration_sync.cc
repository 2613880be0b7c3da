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
  this->log.AddListener([this](const auto&) { this->LogAdvanced(); });
}

void ConfigurationSync::Start() { this->Tick(); }

void ConfigurationSync::Tick() {
  if (this->stopped) {
    return;
  }
  this->scheduler.RunAfter(kTickInterval, [this] { this->Tick(); });
  this->ExpirePulls();
  if (!this->is_ready || this->clock.Now() - this->peers_checked_at >= kPeerCheckInterval) {
    this->ForgetLostPeers();
  }
  this->UsePlatform();
  if (!this->is_ready && this->platform_failures > 0) {
    this->AskUnheardMembers();
  }
  this->PullFromPeerAhead();
  this->UpdateReady();
}

void ConfigurationSync::LogAdvanced() {
  this->Announce();
  this->UpdateReady();
}

void ConfigurationSync::Announce() {
  for (const std::string& member : this->PickMembers(this->hooks.members(), kAnnouncementFanOut)) {
    ++this->counters.announcements;
    this->hooks.announce(member, this->log.Number());
  }
}

std::vector<std::string> ConfigurationSync::PickMembers(std::vector<std::string> candidates,
                                                        std::size_t count) {
  const std::size_t picked = std::min(count, candidates.size());
  for (std::size_t i = 0; i < picked; ++i) {
    std::swap(candidates[i], candidates[i + this->random() % (candidates.size() - i)]);
  }
  candidates.resize(picked);
  return candidates;
}

void ConfigurationSync::UsePlatform() {
  if (this->platform_call_waiting || this->clock.Now() < this->platform_retry_at) {
    return;
  }
  const bool watch = this->hooks.should_watch();
  if (!this->platform_read && (watch || !this->is_ready)) {
    this->ReadPlatform();
  } else if (watch) {
    this->WatchPlatform();
  } else {
    // Revisions seen so far become stale while others watch; the next duty begins with a read.
    this->platform_read = false;
  }
}

// Lists the tickets from the last applied one on, so that its revision becomes known even if the
// ticket came from a peer.
void ConfigurationSync::ReadPlatform() {
  this->platform_call_waiting = true;
  ++this->counters.platform_calls;
  const std::uint64_t number = this->log.Number();
  this->platform.list(std::string(kTicketKeyPrefix), TicketKey(number == 0 ? 0 : number - 1),
                      static_cast<int>(kTicketsPerMessage),
                      [this](PlatformStatus status, const std::vector<KeyValue>& page) {
                        this->HandlePage(status, page);
                      });
}

void ConfigurationSync::HandlePage(PlatformStatus status, const std::vector<KeyValue>& page) {
  this->platform_call_waiting = false;
  if (status != PlatformStatus::kOk) {
    this->PlatformFailed();
    return;
  }
  const std::uint64_t number_before = this->log.Number();
  this->TakePlatformTickets(page);
  if (page.size() < kTicketsPerMessage) {
    this->platform_read = true;
    this->BecomeReady();
    this->UsePlatform();
  } else if (this->log.Number() > number_before) {
    this->ReadPlatform();
  } else {
    // A full page without progress holds a ticket that cannot be applied; the log says why.
    this->PlatformFailed();
  }
}

void ConfigurationSync::WatchPlatform() {
  this->platform_call_waiting = true;
  ++this->counters.platform_calls;
  this->platform.watch(std::string(kTicketKeyPrefix), this->platform_revision, kWatchTimeout,
                       [this](PlatformStatus status, const std::vector<KeyValue>& changed) {
                         this->HandleWatch(status, changed);
                       });
}

void ConfigurationSync::HandleWatch(PlatformStatus status, const std::vector<KeyValue>& changed) {
  this->platform_call_waiting = false;
  if (status != PlatformStatus::kOk) {
    this->PlatformFailed();
    return;
  }
  this->TakePlatformTickets(changed);
  if (this->log.HasGap()) {
    this->platform_read = false;
  }
  if (changed.empty()) {
    // Bounds the calls if the platform answers empty watches at once.
    this->platform_retry_at = this->clock.Now() + kFirstBackoff;
  }
  if (!this->stopped) {
    this->UsePlatform();
  }
}

void ConfigurationSync::TakePlatformTickets(const std::vector<KeyValue>& page) {
  this->platform_failures = 0;
  for (const KeyValue& item : page) {
    this->platform_revision = std::max(this->platform_revision, item.revision);
  }
  this->log.Offer(TicketsOf(page));
}

void ConfigurationSync::PlatformFailed() {
  ++this->counters.platform_errors;
  // A lost watch may have missed tickets only if its revision is wrong; a read is cheap and
  // certain.
  this->platform_read = false;
  this->platform_retry_at = this->clock.Now() + this->Backoff(this->platform_failures++);
}

// Exponential, with the upper half of each step left to chance.
Duration ConfigurationSync::Backoff(int failures) {
  constexpr int kMaxDoublings = 16;
  const Duration step =
      std::min<Duration>(kMaxBackoff, kFirstBackoff * (1 << std::min(failures, kMaxDoublings)));
  const Duration half = step / 2;
  return half + Duration(static_cast<Duration::rep>(this->random() %
                                                    static_cast<std::uint64_t>(half.count() + 1)));
}

void ConfigurationSync::HandleNumber(const std::string& member, std::uint64_t number) {
  if (!this->first_peer_at) {
    this->first_peer_at = this->clock.Now();
  }
  Peer& peer = this->peers[member];
  peer.heard = true;
  // Datagrams may arrive out of order. The number of a member that restarted is corrected by the
  // answer to the next pull.
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

void ConfigurationSync::ForgetLostPeers() {
  this->peers_checked_at = this->clock.Now();
  const std::vector<std::string> members = this->hooks.members();
  const std::unordered_set<std::string> reachable(members.begin(), members.end());
  for (auto peer = this->peers.begin(); peer != this->peers.end();) {
    const bool lost = reachable.count(peer->first) == 0;
    peer = lost ? this->peers.erase(peer) : std::next(peer);
  }
}

void ConfigurationSync::ExpirePulls() {
  for (auto pull = this->pulls_until.begin(); pull != this->pulls_until.end();) {
    const bool over = pull->second <= this->clock.Now();
    if (over) {
      this->PullFailed(pull->first);
    }
    pull = over ? this->pulls_until.erase(pull) : std::next(pull);
  }
}

bool ConfigurationSync::Heard(const std::string& member) const {
  const auto peer = this->peers.find(member);
  return peer != this->peers.end() && peer->second.heard;
}

void ConfigurationSync::AskUnheardMembers() {
  std::vector<std::string> unheard;
  for (std::string& member : this->hooks.members()) {
    const auto peer = this->peers.find(member);
    const bool may_ask = peer == this->peers.end() ||
                         (!peer->second.heard && peer->second.retry_at <= this->clock.Now());
    if (may_ask && this->pulls_until.count(member) == 0) {
      unheard.push_back(std::move(member));
    }
  }
  for (const std::string& member : this->PickMembers(std::move(unheard), kStartupQuestions)) {
    this->Pull(member);
  }
}

bool ConfigurationSync::PullInProgress() const {
  return std::any_of(this->pulls_until.begin(), this->pulls_until.end(), [this](const auto& pull) {
    return pull.second > this->clock.Now() && this->Heard(pull.first);
  });
}

// Asks one of the members that are ahead, preferring those that did not fail lately.
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
  for (const std::string& member : this->PickMembers(std::move(ahead), 1)) {
    this->Pull(member);
  }
}

void ConfigurationSync::Pull(const std::string& member) {
  ++this->counters.pulls;
  this->pulls_until[member] = this->clock.Now() + kPullTimeout;
  const std::uint64_t number = this->log.Number();
  this->hooks.pull(member, number, kTicketsPerMessage,
                   [this, member, number](const std::optional<TicketsAnswer>& answer) {
                     this->HandlePulled(member, number, answer);
                   });
}

void ConfigurationSync::PullFailed(const std::string& member) {
  ++this->counters.failed_pulls;
  Peer& peer = this->peers[member];
  peer.retry_at = this->clock.Now() + this->Backoff(peer.failures++);
}

void ConfigurationSync::HandlePulled(const std::string& member, std::uint64_t number_before,
                                     const std::optional<TicketsAnswer>& answer) {
  this->pulls_until.erase(member);
  if (!answer) {
    this->PullFailed(member);
    this->PullFromPeerAhead();
    return;
  }
  this->log.Offer(answer->tickets);
  const bool progress = this->log.Number() > number_before || this->log.Number() >= answer->number;
  if (progress) {
    this->peers[member].failures = 0;
  } else {
    this->PullFailed(member);
  }
  this->peers[member].number = answer->number;
  this->HandleNumber(member, answer->number);
}

void ConfigurationSync::UpdateReady() {
  if (!this->is_ready && this->PeersAllowReady()) {
    this->BecomeReady();
  }
}

bool ConfigurationSync::PeersAllowReady() const {
  const bool outage = this->platform_failures > 0;
  // Number 0 has no caller groups, so nothing could be served; its members may all be new.
  if (!outage || this->log.Number() == 0 || !this->first_peer_at) {
    return false;
  }
  for (const auto& [member, peer] : this->peers) {
    if (peer.number > this->log.Number()) {
      return false;
    }
  }
  const std::vector<std::string> members = this->hooks.members();
  const bool heard_all =
      std::all_of(members.begin(), members.end(),
                  [this](const std::string& member) { return this->Heard(member); });
  return heard_all || this->clock.Now() - *this->first_peer_at >= kSettleTime;
}

void ConfigurationSync::BecomeReady() {
  if (this->is_ready) {
    return;
  }
  this->is_ready = true;
  this->hooks.ready();
}

}  // namespace sycamoredrum
