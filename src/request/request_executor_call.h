#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "sycamoredrum/request_executor.h"

namespace sycamoredrum {

/// State of one request in progress.
struct RequestExecutor::Call {
  CallerRequest request;
  RequestCallback callback;
  SessionToken session;
  std::string request_id;
  std::string fingerprint;

  /// Number of the present wait. Answers and timers that carry another number are ignored.
  std::uint64_t wait = 0;
  bool done = false;
  int attempts = 0;
  int backoffs = 0;
  DatabaseViewPtr view;  ///< View that the present attempt is based on.
  std::string backend_server;
  std::uint64_t sent_term = 0;
  bool in_flight = false;

  bool unknown = false;            ///< An attempt ended without a definite answer.
  std::uint64_t unknown_term = 0;  ///< Highest term in which such an attempt was sent.
  std::uint64_t fenced_term = 0;   ///< Highest term that was refused as replaced.
  ExecuteAnswer last_refusal;

  TimePoint not_before;  ///< Reads: the proof must not be older.
  LogPosition require;
  std::deque<ReadChoice> choices;
  PrimaryReason primary_reason = PrimaryReason::kNone;

  SessionPosition Required() const { return this->session.For(this->request.database); }
};

/// True for refusals that another attempt may overcome.
bool IsTransient(Reason reason);

}  // namespace sycamoredrum
