#include "load.h"

#include <absl/strings/str_cat.h>
#include <poll.h>

#include <algorithm>
#include <set>

namespace sycamoredrum {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Limits the size of answers, since each answer contains the whole list.
constexpr int kItemsPerKey = 25;
constexpr milliseconds kReadyPollInterval(50);
constexpr milliseconds kReadyTimeout(500);

void Sleep(milliseconds time) { poll(nullptr, 0, static_cast<int>(time.count())); }

json MakeRequestBody(const Attempt& attempt) {
  const std::string counter = CounterKey(attempt.key);
  if (attempt.write) {
    return {
        {"statements", {"APPEND " + attempt.key + " " + attempt.item, "ADD " + counter + " 1"}}};
  }
  return {{"statements", {"GET " + attempt.key, "GET " + counter}}, {"read_only", true}};
}

void RecordAnswer(const CallerAnswer& answer, Attempt& attempt) {
  attempt.outcome = ParseOutcome(answer.outcome).value_or(Outcome::kUnknown);
  if (!answer.body.is_object()) {
    attempt.reason = absl::StrCat("no complete answer, status ", answer.status);
    return;
  }
  attempt.reason = answer.body.value("reason", "");
  attempt.answered_request_id = answer.body.value("request_id", "");
  attempt.results = answer.body.value("results", std::vector<std::string>());
}

}  // namespace

Load::Load(Fleet& fleet, LoadOptions options) : fleet(fleet), options(std::move(options)) {
  for (int number = 0; number < this->options.callers; ++number) {
    this->threads.emplace_back([this, number] { this->Run(number); });
  }
}

Load::~Load() { this->Stop(); }

void Load::Stop() {
  this->stopping = true;
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
}

void Load::Run(int number) {
  Caller caller;
  caller.number = number;
  for (int count = 0; !this->stopping; ++count) {
    this->Write(caller, count);
    this->Read(caller, count);
  }
}

std::string Load::Key(const Caller& caller, int number) const {
  return absl::StrCat(this->options.name, caller.number, "-", number / kItemsPerKey);
}

void Load::Write(Caller& caller, int number) {
  Attempt attempt;
  attempt.write = true;
  attempt.key = this->Key(caller, number);
  attempt.item = ItemText(attempt.key, number);
  attempt.request_id = absl::StrCat(this->options.name, "-", caller.number, "-", number);
  for (int i = 0; i < this->options.max_attempts; ++i) {
    this->Pause();
    const Attempt done = this->Send(caller, attempt);
    caller.unconfirmed |= done.outcome == Outcome::kUnknown;
    if (done.outcome == Outcome::kResult) {
      ++this->acknowledged;
      return;
    }
  }
}

void Load::Read(Caller& caller, int number) {
  Attempt attempt;
  attempt.key = this->Key(caller, number);
  this->Pause();
  if (this->Send(caller, attempt).outcome == Outcome::kResult) {
    caller.unconfirmed = false;
  }
}

Attempt Load::Send(Caller& caller, Attempt attempt) {
  HttpHeaders headers;
  if (!attempt.request_id.empty()) {
    headers.push_back(HttpHeader{"Idempotency-Key", attempt.request_id});
  }
  if (!caller.session.empty()) {
    headers.push_back(HttpHeader{"Sycamoredrum-Session", caller.session});
  }
  if (!attempt.write && caller.unconfirmed) {
    headers.push_back(HttpHeader{"Sycamoredrum-Unconfirmed", "1"});
  }
  attempt.caller = caller.number;
  attempt.proxy = this->ChooseProxy(caller);
  attempt.start = steady_clock::now();
  const CallerAnswer answer =
      this->fleet.Execute(attempt.proxy, this->options.database, MakeRequestBody(attempt), headers,
                          this->options.timeout);
  attempt.end = steady_clock::now();
  RecordAnswer(answer, attempt);
  if (answer.body.is_object()) {
    caller.session = answer.body.value("session", caller.session);
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->attempts.push_back(attempt);
  return attempt;
}

int Load::ChooseProxy(Caller& caller) const {
  const int count = this->fleet.ProxyCount();
  int proxy = 0;
  for (int i = 0; i < count; ++i) {
    proxy = (caller.number + caller.requests++) % count;
    if (!this->options.may_use || this->options.may_use(proxy)) {
      return proxy;
    }
  }
  return proxy;
}

void Load::Pause() const { Sleep(this->options.pause); }

bool Load::WaitForWrites(int count, milliseconds limit) const {
  const int target = this->acknowledged + count;
  return Fleet::WaitUntil([&] { return this->acknowledged >= target; }, limit);
}

std::optional<milliseconds> Load::GapAfter(steady_clock::time_point from,
                                           milliseconds limit) const {
  std::optional<steady_clock::time_point> first;
  Fleet::WaitUntil(
      [&] {
        for (const Attempt& attempt : this->Attempts()) {
          const bool qualifies =
              attempt.write && attempt.outcome == Outcome::kResult && attempt.start >= from;
          if (qualifies && (!first || attempt.end < *first)) {
            first = attempt.end;
          }
        }
        return first.has_value();
      },
      limit);
  if (!first) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<milliseconds>(*first - from);
}

std::vector<Attempt> Load::Attempts() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->attempts;
}

std::vector<Violation> Load::Check(const std::string& primary) const {
  const std::vector<Attempt> all = this->Attempts();
  std::set<std::string> keys;
  for (const Attempt& attempt : all) {
    keys.insert(attempt.key);
    keys.insert(CounterKey(attempt.key));
  }
  FinalValues values;
  for (const std::string& key : keys) {
    values[key] = this->fleet.Value(primary, key);
  }
  return CheckHistory(all, values);
}

Balancer::Balancer(Fleet& fleet) : fleet(fleet), ready(fleet.ProxyCount()) {
  for (std::atomic<bool>& entry : this->ready) {
    entry = true;
  }
  this->thread = std::thread([this] { this->Run(); });
}

Balancer::~Balancer() {
  this->stopping = true;
  this->thread.join();
}

void Balancer::Run() {
  while (!this->stopping) {
    for (int proxy = 0; proxy < this->fleet.ProxyCount(); ++proxy) {
      const HttpResult result = this->fleet.Call(this->fleet.AdminAddress(proxy), "GET", "/readyz",
                                                 "", {}, kReadyTimeout);
      this->ready.at(proxy) = result.Ok() && result.response.status == 200;
    }
    Sleep(kReadyPollInterval);
  }
}

}  // namespace sycamoredrum
