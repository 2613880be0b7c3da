#include "sycamoredrum/successor_selection.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "log_history.h"

namespace sycamoredrum {

std::string_view ToString(SuccessorBasis basis) {
  static constexpr std::string_view kNames[] = {"whole_log", "quorum", "all_probed", "time_limit",
                                                "rolled_back"};
  return kNames[static_cast<int>(basis)];
}

void SuccessorSelection::Begin(std::set<std::string> replicas_now, TimePoint now) {
  this->began = now;
  this->replicas = std::move(replicas_now);
  this->grants_ended.reset();
  this->servers.clear();
}

void SuccessorSelection::GrantsEnded(TimePoint now) { this->grants_ended = now; }

void SuccessorSelection::Forget() {
  for (auto& [id, server] : this->servers) {
    server.last_sent.reset();
    server.outcome.reset();
    server.answer.reset();
  }
}

const SuccessorSelection::Server* SuccessorSelection::Find(const std::string& server) const {
  const auto found = this->servers.find(server);
  return found == this->servers.end() ? nullptr : &found->second;
}

bool SuccessorSelection::ProbeDue(const std::string& server, bool urgent, TimePoint now) const {
  const Server* known = this->Find(server);
  if (known == nullptr || !known->last_sent) {
    return true;
  }
  if (known->probes_in_flight >= kMaxProbesInFlight) {
    return false;
  }
  const bool before_end = this->grants_ended && *known->last_sent < *this->grants_ended;
  const bool soon = urgent || known->outcome == ProbeOutcome::kBusy;
  return before_end || now - *known->last_sent >= (soon ? kBusyProbeInterval : kProbeInterval);
}

void SuccessorSelection::ProbeSent(const std::string& server, TimePoint now) {
  Server& known = this->servers[server];
  known.last_sent = now;
  ++known.probes_in_flight;
}

void SuccessorSelection::ProbeDone(const std::string& server, const BackendProbe& probe,
                                   TimePoint sent) {
  Server& known = this->servers[server];
  known.probes_in_flight = std::max(0, known.probes_in_flight - 1);
  if (!known.outcome || sent >= known.outcome_sent) {
    known.outcome = probe.outcome;
    known.outcome_sent = sent;
  }
  // An answer remains true when later probes find the server busy: the log only grows.
  if (probe.outcome == ProbeOutcome::kAnswered && (!known.answer || sent >= known.answer_sent)) {
    known.answer = probe;
    known.answer_sent = sent;
  }
}

std::optional<BackendProbe> SuccessorSelection::Answer(const std::string& server) const {
  const Server* known = this->Find(server);
  const bool runs = known != nullptr && (known->outcome == ProbeOutcome::kAnswered ||
                                         known->outcome == ProbeOutcome::kBusy);
  return runs ? known->answer : std::nullopt;
}

std::optional<BackendProbe> SuccessorSelection::FinalAnswer(const std::string& server) const {
  const Server* known = this->Find(server);
  const bool is_final = known != nullptr && known->answer && this->grants_ended &&
                        known->answer_sent >= *this->grants_ended;
  return is_final ? known->answer : std::nullopt;
}

bool SuccessorSelection::Covered(const std::string& server, const LogPosition& end) const {
  const std::optional<BackendProbe> answer = this->FinalAnswer(server);
  return answer && answer->received <= end;
}

bool SuccessorSelection::Settled(const std::string& server) const {
  const Server* known = this->Find(server);
  return known != nullptr &&
         (known->outcome == ProbeOutcome::kNotListening || this->FinalAnswer(server));
}

int SuccessorSelection::CountUncovered(const SuccessorRequirements& requirements,
                                       const std::vector<SuccessorCandidate>& candidates,
                                       const std::string& best, const LogPosition& end) const {
  std::set<std::string> others = this->replicas;
  for (const SuccessorCandidate& candidate : candidates) {
    others.insert(candidate.server);
  }
  others.erase(best);
  others.erase(requirements.old_primary);
  return static_cast<int>(
      std::count_if(others.begin(), others.end(),
                    [&](const std::string& other) { return !this->Covered(other, end); }));
}

bool SuccessorSelection::Replaced(const SuccessorRequirements& requirements,
                                  const BackendProbe& primary) {
  return !requirements.planned &&
         (primary.role == Role::kReplica || primary.term < requirements.known_term);
}

const SuccessorCandidate* SuccessorSelection::LongestLog(
    const SuccessorRequirements& requirements, const std::vector<SuccessorCandidate>& candidates,
    bool rolled_back) const {
  const SuccessorCandidate* best = nullptr;
  LogPosition end;
  for (const SuccessorCandidate& candidate : candidates) {
    const std::optional<BackendProbe> answer = this->Answer(candidate.server);
    if (!candidate.eligible || !answer ||
        (candidate.server == requirements.old_primary && !Replaced(requirements, *answer)) ||
        HasRolledBackEntries(requirements.history, answer->received) != rolled_back) {
      continue;
    }
    const bool better =
        best == nullptr || end < answer->received ||
        (end == answer->received && std::tie(best->preferred, candidate.unable_to_reach) <
                                        std::tie(candidate.preferred, best->unable_to_reach));
    if (better) {
      best = &candidate;
      end = answer->received;
    }
  }
  return best;
}

const SuccessorCandidate* SuccessorSelection::Best(
    const SuccessorRequirements& requirements, const std::vector<SuccessorCandidate>& candidates,
    bool* rolled_back) const {
  const SuccessorCandidate* best = this->LongestLog(requirements, candidates, false);
  const SuccessorCandidate* other = this->LongestLog(requirements, candidates, true);
  *rolled_back = best == nullptr;
  if (best == nullptr || other == nullptr) {
    return best == nullptr ? other : best;
  }
  const std::uint64_t end = this->Answer(best->server)->received.index;
  const LogPosition other_end = this->Answer(other->server)->received;
  const std::uint64_t shared = SharedEntries(requirements.history, other_end);
  const std::uint64_t lacking = shared - std::min(end, shared);
  const std::uint64_t coming_back = other_end.index - shared;
  *rolled_back = lacking > coming_back;
  return *rolled_back ? other : best;
}

bool SuccessorSelection::HasAll(const SuccessorRequirements& requirements,
                                const LogPosition& end) const {
  const std::optional<LogPosition>& known_end = requirements.final_end;
  const std::optional<BackendProbe> primary = this->FinalAnswer(requirements.old_primary);
  // A smaller position means that the old primary has restarted without its log.
  const bool end_known = primary && (!known_end || primary->received >= *known_end);
  if (end_known && end >= primary->received) {
    return true;
  }
  if (requirements.planned && (end_known || !known_end || end < *known_end)) {
    return false;
  }
  return requirements.confirmed_end_complete && end >= requirements.confirmed_end;
}

std::optional<SuccessorChoice> SuccessorSelection::Choose(
    const SuccessorRequirements& requirements, const std::vector<SuccessorCandidate>& candidates,
    TimePoint now) const {
  const std::string& old_primary = requirements.old_primary;
  bool rolled_back = false;
  const SuccessorCandidate* best = this->Best(requirements, candidates, &rolled_back);
  if (best == nullptr || !this->grants_ended) {
    return std::nullopt;
  }
  if (rolled_back) {
    const bool overdue = !requirements.planned && now - this->began > kConsistencyLimit;
    return overdue ? std::optional(SuccessorChoice{best->server, SuccessorBasis::kRolledBack})
                   : std::nullopt;
  }
  const LogPosition end = this->Answer(best->server)->received;
  if (this->HasAll(requirements, end)) {
    return SuccessorChoice{best->server, SuccessorBasis::kWholeLog};
  }
  if (requirements.planned) {
    return std::nullopt;
  }
  if (requirements.synchronous_replicas == 0) {
    const bool all_settled =
        std::all_of(candidates.begin(), candidates.end(), [&](const SuccessorCandidate& other) {
          return !other.eligible || other.server == old_primary || this->Settled(other.server);
        });
    if (all_settled) {
      return SuccessorChoice{best->server, SuccessorBasis::kAllProbed};
    }
    if (now - *this->grants_ended > kAsynchronousLimit) {
      return SuccessorChoice{best->server, SuccessorBasis::kTimeLimit};
    }
    return std::nullopt;
  }
  const int uncovered = this->CountUncovered(requirements, candidates, best->server, end);
  const LogPosition known_end = std::max(requirements.floor, requirements.confirmed_end);
  if (uncovered < requirements.synchronous_replicas && end >= known_end) {
    return SuccessorChoice{best->server, SuccessorBasis::kQuorum};
  }
  if (now - this->began > kConsistencyLimit) {
    return SuccessorChoice{best->server, SuccessorBasis::kTimeLimit};
  }
  return std::nullopt;
}

std::string SuccessorSelection::Describe(const TermHistory& history) const {
  static constexpr const char* kOutcomes[] = {"answered", "busy", "not_listening", "no_answer"};
  std::string text;
  for (const auto& [id, server] : this->servers) {
    absl::StrAppend(&text, text.empty() ? "" : " ", id, ":");
    if (server.answer) {
      absl::StrAppend(
          &text, server.answer->received.ToString(), this->FinalAnswer(id) ? "" : "(early)",
          HasRolledBackEntries(history, server.answer->received) ? "(rolled_back)" : "");
    }
    if (!server.answer || server.outcome != ProbeOutcome::kAnswered) {
      absl::StrAppend(&text, server.answer ? "," : "",
                      server.outcome ? kOutcomes[static_cast<int>(*server.outcome)] : "pending");
    }
  }
  return text;
}

}  // namespace sycamoredrum
