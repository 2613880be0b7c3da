#include "relay_log.h"

#include <utility>

namespace sycamoredrum {

LogRequest RelayLog::NextRequest() {
  const LogRequest applied = this->model.NextLogRequest();
  if (this->received.empty() || this->received.front().request.term != applied.term) {
    this->received.clear();
    this->next.reset();
  }
  return this->next.value_or(applied);
}

void RelayLog::Receive(const std::string& primary, const LogRequest& request, const LogPage& page) {
  const LogRequest expected = this->NextRequest();
  if (!page.served || expected.term != request.term || expected.last_index != request.last_index) {
    return;
  }
  // An empty page that ends where the log ends changes nothing, but records that the primary was
  // heard.
  LogPage heard;
  const LogRequest applied = this->model.NextLogRequest();
  heard.served = true;
  heard.common_index = applied.last_index;
  this->model.ApplyLog(primary, applied, heard);

  if (page.entries.empty() && page.common_index == request.last_index) {
    return;
  }
  LogRequest after = request;
  after.history = request.history.TruncatedTo(page.common_index);
  after.last_index = page.common_index;
  for (const LogEntry& entry : page.entries) {
    ++after.last_index;
    after.history = after.history.WithTerm(entry.term, after.last_index);
  }
  this->next = std::move(after);
  this->received.push_back(Received{this->clock.Now(), primary, request, page});
  this->ApplyDue();
}

void RelayLog::ApplyDue() {
  while (!this->received.empty() && this->received.front().at + this->lag <= this->clock.Now()) {
    const Received due = std::move(this->received.front());
    this->received.pop_front();
    this->model.ApplyLog(due.primary, due.request, due.page);
  }
  if (this->received.empty()) {
    this->next.reset();
  }
}

}  // namespace sycamoredrum
