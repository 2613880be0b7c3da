#include "relay_log.h"

#include <utility>

namespace sycamoredrum {

LogRequest RelayLog::NextRequest() {
  const LogRequest applied = this->model.NextLogRequest();
  if (this->received.empty() || this->received.front().request.term != applied.term) {
    this->received.clear();
    this->next_request.reset();
  }
  return this->next_request.value_or(applied);
}

void RelayLog::Receive(const std::string& primary, const LogRequest& request, const LogPage& page) {
  const LogRequest expected = this->NextRequest();
  if (!page.served || expected.term != request.term || expected.last_index != request.last_index) {
    return;
  }
  // Applying an empty page at the end of the log changes no entry, but records the contact with the
  // primary.
  LogPage empty_page;
  const LogRequest applied = this->model.NextLogRequest();
  empty_page.served = true;
  empty_page.common_index = applied.last_index;
  this->model.ApplyLog(primary, applied, empty_page);

  if (page.entries.empty() && page.common_index == request.last_index) {
    return;
  }
  LogRequest request_after_page = request;
  request_after_page.history = request.history.TruncatedTo(page.common_index);
  request_after_page.last_index = page.common_index;
  for (const LogEntry& entry : page.entries) {
    ++request_after_page.last_index;
    request_after_page.history =
        request_after_page.history.WithTerm(entry.term, request_after_page.last_index);
  }
  this->next_request = std::move(request_after_page);
  this->received.push_back(ReceivedPage{this->clock.Now(), primary, request, page});
  this->ApplyDue();
}

void RelayLog::ApplyDue() {
  while (!this->received.empty() &&
         this->received.front().received_at + this->lag <= this->clock.Now()) {
    const ReceivedPage due = std::move(this->received.front());
    this->received.pop_front();
    this->model.ApplyLog(due.primary, due.request, due.page);
  }
  if (this->received.empty()) {
    this->next_request.reset();
  }
}

}  // namespace sycamoredrum
