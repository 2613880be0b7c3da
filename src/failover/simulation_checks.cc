#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "simulation.h"

namespace sycamoredrum {

// An attempt must send `promote` to one server only, also if an answer is lost.
void Simulation::CheckPromote(const std::string& server, const std::string& attempt) {
  const auto [entry, added] = this->promoted_by_attempt.emplace(attempt, server);
  if (!added && entry->second != server) {
    this->violations.push_back("two servers promoted in term " + attempt);
  }
}

void Simulation::CheckServer(int server) {
  this->CheckRoles(server);
  this->CheckWrites(server);
}

// A term must have at most one primary, and a new primary must contain every confirmed write of
// earlier terms.
void Simulation::CheckRoles(int server) {
  const BackendServerStatus status = this->Server(server).Status();
  if (status.role != Role::kPrimary || status.term <= this->servers[server].last_role_term) {
    return;
  }
  this->servers[server].last_role_term = status.term;
  const auto [entry, added] = this->primary_of_term.emplace(status.term, server);
  if (!added && entry->second != server) {
    this->violations.push_back(absl::StrCat("two primaries in term ", status.term));
  }
  for (const LogPosition& position : this->confirmed_positions) {
    if (position.term < status.term && !status.Contains(position)) {
      this->violations.push_back(absl::StrCat("primary of term ", status.term,
                                              " lacks confirmed write ", position.ToString()));
    }
  }
}

void Simulation::CheckWrites(int server) {
  const BackendServerStatus status = this->Server(server).Status();
  const std::size_t majority = this->servers.size() / 2 + 1;
  std::vector<PendingWrite> open;
  for (PendingWrite& write : this->pending_writes) {
    if (status.promised_term <= write.position.term && status.Contains(write.position)) {
      write.stored_on.insert(server);
    }
    if (write.stored_on.size() >= majority) {
      this->ConfirmWrite(write);
    } else {
      open.push_back(std::move(write));
    }
  }
  this->pending_writes = std::move(open);
}

// When a write becomes confirmed, every primary of a later term must already contain it: that
// primary had the highest position of a fenced majority, and each majority includes a server that
// stored the write.
void Simulation::ConfirmWrite(const PendingWrite& write) {
  ++this->confirmed;
  this->last_confirmed_at = this->clock.Now();
  this->last_confirmed_term = std::max(this->last_confirmed_term, write.position.term);
  this->confirmed_positions.push_back(write.position);
  for (const auto& [term, primary] : this->primary_of_term) {
    const BackendServerStatus status = this->Server(primary).Status();
    const bool later = term > write.position.term && status.term == term;
    if (later && status.role == Role::kPrimary && !status.Contains(write.position)) {
      this->violations.push_back(absl::StrCat("write ", write.position.ToString(),
                                              " confirmed although term ", term, " lacks it"));
    }
  }
}

int Simulation::Primary() const {
  int best = -1;
  std::uint64_t best_term = 0;
  for (int i = 0; i < this->options.servers; ++i) {
    const BackendServerStatus status = this->servers[i].model->Status();
    const bool up = !this->servers[i].killed && this->frozen.count(ServerId(i)) == 0;
    const bool acts = status.role == Role::kPrimary && status.promised_term == status.term;
    if (up && acts && status.term > best_term) {
      best = i;
      best_term = status.term;
    }
  }
  return best;
}

std::uint64_t Simulation::HighestTerm() const {
  return this->primary_of_term.empty() ? 0 : this->primary_of_term.rbegin()->first;
}

bool Simulation::AllServersFollowPrimary() const {
  const int primary = this->Primary();
  if (primary < 0) {
    return false;
  }
  const BackendServerStatus expected = this->servers[primary].model->Status();
  return std::all_of(this->servers.begin(), this->servers.end(), [&](const SimulatedServer& s) {
    const BackendServerStatus status = s.model->Status();
    const bool is_primary = status.backend_server == expected.backend_server;
    return status.term == expected.term && status.promised_term == expected.term &&
           (is_primary || status.follows == expected.backend_server);
  });
}

bool Simulation::AllServersHoldConfirmedWrites() const {
  return std::all_of(this->servers.begin(), this->servers.end(), [&](const SimulatedServer& s) {
    const BackendServerStatus status = s.model->Status();
    return std::all_of(this->confirmed_positions.begin(), this->confirmed_positions.end(),
                       [&](const LogPosition& position) { return status.Contains(position); });
  });
}

}  // namespace sycamoredrum
