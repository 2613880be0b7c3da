#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sycamoredrum/connection_holders.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/relay_configuration.h"
#include "sycamoredrum/statement_forwarding.h"

namespace sycamoredrum {

/// The sender's side of forwarding that all sessions of a relay share: which holder gets a
/// statement, and which holders respond. Not thread-safe.
class StatementForwarder {
 public:
  /// Holders that are tried for one statement before the relay uses its own connections.
  static constexpr std::size_t kMaxHoldersTried = 2;
  /// A statement that is larger, with the session's state that goes with it, runs on an own
  /// connection. The 256 statements that a holder runs for others then hold at most 4 MiB of its
  /// memory; with 1 MiB each, they would exceed that of a small VM.
  static constexpr std::size_t kMaxMessageBytes = std::size_t{16} * 1024;
  /// The holder gets this much less time for a statement than is left. It covers the way there and
  /// back between regions (20 ms each), so that a refusal at the end of the time limit still
  /// arrives in time.
  static constexpr Duration kAnswerMargin = std::chrono::milliseconds(60);

  /// Nothing is forwarded if `send` is not set.
  StatementForwarder(std::string self, ForwardStatement send, EndForwardedSession end,
                     const Clock& clock, Logger& logger, Metrics& metrics);

  void SetHolders(const std::vector<ConnectionHolder>& holders) { this->holders.Set(holders); }
  /// True if statements for servers that admit `connection_cap` connections are forwarded in a
  /// fleet of `processes` relays.
  bool Applies(int connection_cap, std::size_t processes) const {
    return this->send && !this->holders.Empty() && ForwardingApplies(connection_cap, processes);
  }
  /// True if this relay is one of those that hold the connections to servers of `data_centre`.
  bool IsHolder(const std::string& data_centre) const {
    return this->holders.IsHolder(data_centre);
  }
  /// As ConnectionHolders::Choose.
  std::optional<ConnectionHolder> Choose(const BackendServerRecord& server,
                                         const std::string& organisation,
                                         const std::set<std::string>& tried) const;
  std::uint64_t NextSession() { return this->next_session++; }
  void Send(const ConnectionHolder& holder, const ForwardedStatement& statement, Duration timeout,
            ForwardCallback done);
  void End(const ConnectionHolder& holder, std::uint64_t session) { this->end(holder, session); }
  /// Records that a holder did not respond to a statement.
  void MarkUnresponsive(const std::string& member);
  bool AnsweredSince(const std::string& member, TimePoint time) const {
    return this->holders.AnsweredSince(member, time);
  }

 private:
  void UpdateHolder(const std::string& member, const ForwardAnswer& answer);

  const ForwardStatement send;
  const EndForwardedSession end;
  const Clock& clock;
  Logger& logger;
  Metrics& metrics;
  ConnectionHolders holders;
  std::uint64_t next_session = 1;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace sycamoredrum
