#include "sycamoredrum/configuration_log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace sycamoredrum {

ConfigurationLog::ConfigurationLog() : current(std::make_shared<const Configuration>()) {}

void ConfigurationLog::AddListener(Listener listener) {
  this->listeners.push_back(std::move(listener));
}

bool ConfigurationLog::Offer(const std::vector<SerializedTicket>& tickets) {
  for (const SerializedTicket& ticket : tickets) {
    this->AddPending(ticket);
  }
  if (!this->ApplyPending()) {
    return false;
  }
  for (const Listener& listener : this->listeners) {
    listener(this->current);
  }
  return true;
}

void ConfigurationLog::AddPending(const SerializedTicket& serialized) {
  // An accepted ticket never changes, so later copies of it are ignored.
  if (serialized.number <= this->Number() || this->pending.count(serialized.number) != 0) {
    return;
  }
  Findings findings;
  std::optional<Ticket> ticket = ParseTicket(serialized.json, findings);
  if (ticket && ticket->number != serialized.number) {
    findings.Add("number", absl::StrCat("is ", ticket->number, " in the ticket with key number ",
                                        serialized.number));
  }
  if (!findings.Empty()) {
    ++this->dropped;
    this->last_reason = absl::StrCat("ticket ", serialized.number, ": ", findings.ToString());
    return;
  }
  this->pending.emplace(serialized.number, PendingTicket{*std::move(ticket), serialized.json});
  if (this->pending.size() > kMaxPendingTickets &&
      this->pending.begin()->first != this->Number() + 1) {
    this->pending.erase(std::prev(this->pending.end()));
  }
}

bool ConfigurationLog::ApplyPending() {
  auto next = this->pending.begin();
  if (next == this->pending.end() || next->first != this->Number() + 1) {
    return false;
  }
  Configuration configuration = *this->current;
  while (next != this->pending.end() && next->first == configuration.Number() + 1) {
    configuration = std::move(configuration).With(next->second.ticket);
    this->numbers_by_id.emplace(next->second.ticket.id, next->first);
    this->applied.push_back(std::move(next->second.json));
    next = this->pending.erase(next);
  }
  this->current = std::make_shared<const Configuration>(std::move(configuration));
  return true;
}

std::vector<SerializedTicket> ConfigurationLog::TicketsAfter(std::uint64_t number,
                                                             std::size_t limit) const {
  std::vector<SerializedTicket> page;
  std::size_t bytes = 0;
  for (std::uint64_t next = number + 1; next <= this->Number() && page.size() < limit; ++next) {
    const std::string& json = this->applied[next - 1];
    bytes += json.size();
    if (bytes > kMaxPageBytes && !page.empty()) {
      break;
    }
    page.push_back(SerializedTicket{next, json});
  }
  return page;
}

std::optional<Ticket> ConfigurationLog::FindTicket(std::uint64_t number) const {
  if (number == 0 || number > this->Number()) {
    return std::nullopt;
  }
  Findings findings;
  return ParseTicket(this->applied[number - 1], findings);
}

Configuration ConfigurationLog::ConfigurationAt(std::uint64_t number) const {
  if (number == this->Number()) {
    return *this->current;
  }
  Configuration configuration;
  for (std::uint64_t next = 1; next <= number; ++next) {
    const std::optional<Ticket> ticket = this->FindTicket(next);
    if (ticket) {
      configuration = std::move(configuration).With(*ticket);
    }
  }
  return configuration;
}

std::uint64_t ConfigurationLog::FindNumberOfId(const std::string& id) const {
  const auto found = this->numbers_by_id.find(id);
  return found == this->numbers_by_id.end() ? 0 : found->second;
}

}  // namespace sycamoredrum
