#include "sycamoredrum/grant_holders.h"

#include <algorithm>
#include <iterator>

namespace sycamoredrum {

void GrantHolders::AddPredecessorGrants(const std::string& member, TimePoint end) {
  Holder& holder = this->holders[member];
  holder.predecessors_until = std::max(holder.predecessors_until, end);
}

void GrantHolders::LimitPredecessorGrants(const std::string& member, TimePoint end) {
  const auto found = this->holders.find(member);
  if (found != this->holders.end()) {
    found->second.predecessors_until = std::min(found->second.predecessors_until, end);
  }
}

void GrantHolders::Granted(const std::string& member, std::uint64_t registration, TimePoint end) {
  Holder& holder = this->holders[member];
  holder.granted_until = std::max(holder.granted_until, end);
  holder.registration = std::max(holder.registration, registration);
}

void GrantHolders::GaveBack(const std::string& member, std::uint64_t registration) {
  const auto found = this->holders.find(member);
  if (found != this->holders.end() && registration >= found->second.registration) {
    this->holders.erase(found);
  }
}

TimePoint GrantHolders::End(const Holder& holder) {
  return std::max(holder.granted_until, holder.predecessors_until);
}

TimePoint GrantHolders::End(const std::string& member) const {
  const auto found = this->holders.find(member);
  return found == this->holders.end() ? TimePoint::min() : End(found->second);
}

std::set<std::string> GrantHolders::HoldersAt(TimePoint time) const {
  std::set<std::string> result;
  for (const auto& [member, holder] : this->holders) {
    if (End(holder) > time) {
      result.insert(member);
    }
  }
  return result;
}

std::uint64_t GrantHolders::Registration(const std::string& member) const {
  const auto found = this->holders.find(member);
  return found == this->holders.end() ? 0 : found->second.registration;
}

TimePoint GrantHolders::ForgetExpired(TimePoint now) {
  TimePoint last = TimePoint::min();
  for (auto holder = this->holders.begin(); holder != this->holders.end();) {
    const TimePoint end = End(holder->second);
    last = end <= now ? std::max(last, end) : last;
    holder = end <= now ? this->holders.erase(holder) : std::next(holder);
  }
  return last;
}

}  // namespace sycamoredrum
