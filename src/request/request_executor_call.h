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

  /// Identifies the current wait for an answer or a timer. Those of an earlier wait are ignored.
  std::uint64_t wait_id = 0;
  bool done = false;
  int attempts = 0;
  int backoffs = 0;
  DatabaseViewPtr view;         ///< View that the current attempt is based on.
  std::string backend_server;   ///< Backend server of the last command.
  std::uint64_t sent_term = 0;  ///< Term of the last command.
  bool in_flight = false;       ///< The last command is not answered yet.

  bool unknown = false;            ///< An attempt ended with an unknown outcome.
  std::uint64_t unknown_term = 0;  ///< Highest term in which such an attempt was sent.
  std::uint64_t fenced_term = 0;   ///< Highest term that was refused with kFenced.
  ExecuteAnswer last_refusal;      ///< Basis of the answer if no attempt gives a result.

  TimePoint not_before;            ///< Reads: earliest time of an acceptable proof.
  LogPosition require;             ///< Reads: position that the backend server must contain.
  std::deque<ReadChoice> choices;  ///< Reads: servers that are still to be tried, in order.
  PrimaryReason primary_reason = PrimaryReason::kNone;

  SessionPosition GetSessionPosition() const { return this->session.For(this->request.database); }
};

/// True for refusals after which another attempt may succeed.
bool IsTransient(Reason reason);

}  // namespace sycamoredrum
