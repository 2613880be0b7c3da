#include "sycamoredrum/connection_holders.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "sycamoredrum/connection_shares.h"

namespace sycamoredrum {
namespace {

// Smallest weight of a holder, so that a share that is missing in a message does not divide by 0.
constexpr double kMinWeight = 0.001;

// Weighted rendezvous hashing: with u uniform in (0, 1), the largest of -weight / ln(u) belongs to
// each candidate with a probability in proportion to its weight.
double Score(const std::string& member, double weight, std::uint64_t key) {
  constexpr double kMantissaRange = 9007199254740992.0;  // 2^53
  constexpr int kUnusedBits = 11;
  const std::uint64_t hash = XXH3_64bits_withSeed(member.data(), member.size(), key);
  const double u = (static_cast<double>(hash >> kUnusedBits) + 0.5) / kMantissaRange;
  return -std::max(weight, kMinWeight) / std::log(u);
}

}  // namespace

bool ForwardingApplies(int connection_cap, std::size_t processes) {
  return connection_cap < kMinShare * static_cast<double>(processes);
}

std::vector<ConnectionHolder> ChooseConnectionHolders(
    const std::vector<ConnectionHolder>& candidates, const std::set<std::string>& data_centres) {
  std::map<std::string, std::vector<ConnectionHolder>> by_data_centre;
  for (const ConnectionHolder& candidate : candidates) {
    if (data_centres.count(candidate.data_centre) != 0) {
      by_data_centre[candidate.data_centre].push_back(candidate);
    }
  }
  std::vector<ConnectionHolder> chosen;
  for (auto& [data_centre, members] : by_data_centre) {
    std::sort(
        members.begin(), members.end(), [](const ConnectionHolder& a, const ConnectionHolder& b) {
          return a.processor_share != b.processor_share ? a.processor_share > b.processor_share
                                                        : a.member < b.member;
        });
    members.resize(std::min(members.size(), kMaxHoldersPerDataCentre));
    chosen.insert(chosen.end(), members.begin(), members.end());
  }
  return chosen;
}

void ConnectionHolders::Set(const std::vector<ConnectionHolder>& holders) {
  this->by_data_centre.clear();
  std::map<std::string, State> kept;
  for (const ConnectionHolder& holder : holders) {
    this->by_data_centre[holder.data_centre].push_back(holder);
    kept[holder.member] = this->states[holder.member];
  }
  this->states = std::move(kept);
}

bool ConnectionHolders::IsHolder(const std::string& data_centre) const {
  const auto found = this->by_data_centre.find(data_centre);
  return found != this->by_data_centre.end() &&
         std::any_of(
             found->second.begin(), found->second.end(),
             [this](const ConnectionHolder& holder) { return holder.member == this->self; });
}

const ConnectionHolder* ConnectionHolders::Choose(const std::string& server,
                                                  const std::string& data_centre,
                                                  const std::string& organisation,
                                                  const std::set<std::string>& tried,
                                                  TimePoint now) const {
  const auto holders = this->by_data_centre.find(data_centre);
  if (holders == this->by_data_centre.end()) {
    return nullptr;
  }
  const std::uint64_t key = XXH3_64bits_withSeed(organisation.data(), organisation.size(),
                                                 XXH3_64bits(server.data(), server.size()));
  const ConnectionHolder* best = nullptr;
  double best_score = 0;
  for (const ConnectionHolder& holder : holders->second) {
    const auto state = this->states.find(holder.member);
    const bool excluded = state != this->states.end() && state->second.excluded_until &&
                          now < *state->second.excluded_until;
    if (tried.count(holder.member) != 0 || (excluded && holder.member != this->self)) {
      continue;
    }
    const double score = Score(holder.member, holder.processor_share, key);
    if (best == nullptr || score > best_score) {
      best = &holder;
      best_score = score;
    }
  }
  return best != nullptr && best->member == this->self ? nullptr : best;
}

bool ConnectionHolders::MarkAnswered(const std::string& member, TimePoint now) {
  const auto state = this->states.find(member);
  if (state == this->states.end()) {
    return false;
  }
  state->second.answered_at = now;
  state->second.excluded_until.reset();
  return std::exchange(state->second.unresponsive, false);
}

bool ConnectionHolders::MarkUnresponsive(const std::string& member, TimePoint now) {
  const auto state = this->states.find(member);
  if (state == this->states.end()) {
    return false;
  }
  state->second.excluded_until = now + kUnresponsiveBackOff;
  return !std::exchange(state->second.unresponsive, true);
}

bool ConnectionHolders::AnsweredSince(const std::string& member, TimePoint time) const {
  const auto state = this->states.find(member);
  return state != this->states.end() && state->second.answered_at &&
         *state->second.answered_at >= time;
}

}  // namespace sycamoredrum
