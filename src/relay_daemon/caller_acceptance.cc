#include "caller_acceptance.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>
#include <utility>

#include "sycamoredrum/process_limits.h"

namespace sycamoredrum {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);
// More than the product of bandwidth and delay of a VM's link: 10 Mbit/s and 40 ms give 50 KB.
constexpr std::size_t kSystemBufferBytes = std::size_t{128} * 1024;
constexpr std::size_t kMaxCheckHeaderBytes = std::size_t{8} * 1024;
constexpr Duration kCheckRequestTimeout = std::chrono::seconds(5);

constexpr std::array<LimitKind, kLimitKinds> kAllKinds = {
    LimitKind::kOpenSession,    LimitKind::kUnopenedSessions, LimitKind::kMessageProgress,
    LimitKind::kAnswerProgress, LimitKind::kMemory,           LimitKind::kSessions};

std::size_t MemoryLimit(const RelaySettings& settings) {
  return settings.memory_limit > 0 ? settings.memory_limit
                                   : std::max(AvailableMemory(), RelaySettings::kMinMemoryLimit);
}

CallerLimitOptions MakeOptions(const RelaySettings& settings) {
  CallerLimitOptions options;
  DivideMemory(MemoryLimit(settings), options);
  options.open_session_timeout = settings.open_session_timeout;
  options.message_progress_timeout = settings.message_progress_timeout;
  options.answer_progress_timeout = settings.answer_progress_timeout;
  options.max_unopened = settings.max_unopened_sessions;
  return options;
}

std::size_t CallersForDescriptors(std::size_t reserve) {
  const std::size_t limit = DescriptorLimit();
  // A process with very few descriptors still serves callers.
  return limit - std::min(reserve, limit / 2);
}

}  // namespace

ByteStreamOptions CallerStreamOptions() {
  ByteStreamOptions options;
  options.system_buffer_bytes = kSystemBufferBytes;
  return options;
}

HttpServerLimits CheckPortLimits(const RelaySettings& settings) {
  HttpServerLimits limits;
  limits.max_body_bytes = 0;
  limits.max_header_bytes = kMaxCheckHeaderBytes;
  limits.request_timeout = kCheckRequestTimeout;
  limits.max_connections = settings.max_http_connections;
  limits.replace_oldest = true;
  return limits;
}

CallerAcceptance::CallerAcceptance(const RelaySettings& settings, const Clock& clock,
                                   Logger& logger, Metrics& metrics)
    : logger(logger),
      metrics(metrics),
      clock(clock),
      memory_limit(MemoryLimit(settings)),
      descriptor_limit(CallersForDescriptors(settings.descriptor_reserve)),
      max_sessions(settings.max_sessions),
      limits(MakeOptions(settings),
             CallerLimitHooks{
                 [this](std::uint64_t number) { this->hooks.resume(number); },
                 [this](std::uint64_t number, LimitKind kind) { this->hooks.close(number, kind); }},
             clock) {
  ReturnFreedMemory();
}

void CallerAcceptance::Start(CallerLimitHooks new_hooks) {
  this->hooks = std::move(new_hooks);
  this->logger.Info("caller_limits",
                    {{"memory_bytes", absl::StrCat(this->memory_limit)},
                     {"shared_bytes", absl::StrCat(this->limits.Options().budget_bytes)},
                     {"large_messages", absl::StrCat(this->limits.Options().large_messages)},
                     {"descriptors", absl::StrCat(this->descriptor_limit)}});
}

bool CallerAcceptance::MayAccept(std::size_t callers) {
  if (callers < std::min(this->max_sessions, this->descriptor_limit)) {
    return true;
  }
  this->limits.Count(LimitKind::kSessions);
  return false;
}

void CallerAcceptance::Tick() {
  this->limits.Tick();
  if (this->clock.Now() - this->last_log >= kLogInterval) {
    this->LogReachedLimits();
  }
}

// One line for each kind and second, because a crowd may reach a limit thousands of times a second.
void CallerAcceptance::LogReachedLimits() {
  this->last_log = this->clock.Now();
  for (const LimitKind kind : kAllKinds) {
    const std::uint64_t hits = this->limits.Hits(kind);
    std::uint64_t& before = this->logged[static_cast<std::size_t>(kind)];
    if (hits > before) {
      this->logger.Warning("caller_limit", {{"limit", std::string(ToString(kind))},
                                            {"connections", absl::StrCat(hits - before)}});
      before = hits;
    }
  }
}

void CallerAcceptance::PublishMetrics() {
  for (const LimitKind kind : kAllKinds) {
    this->metrics.RaiseTo(Metric::kCallerLimits, {std::string(ToString(kind))},
                          static_cast<double>(this->limits.Hits(kind)));
  }
  for (const BudgetPart part :
       {BudgetPart::kInput, BudgetPart::kStatements, BudgetPart::kResponses}) {
    this->metrics.Set(Metric::kCallerMemory, {std::string(ToString(part))},
                      static_cast<double>(this->limits.Used(part)));
  }
  this->metrics.Set(Metric::kCallerMemory, {"budget"},
                    static_cast<double>(this->limits.Options().budget_bytes));
}

}  // namespace sycamoredrum
