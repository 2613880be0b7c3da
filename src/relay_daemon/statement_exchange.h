#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/forwarded_sessions.h"
#include "sycamoredrum/peer_link.h"
#include "sycamoredrum/statement_forwarding.h"

namespace sycamoredrum {

struct StatementExchangeHooks {
  /// As PeerLink::Call, on the link to `endpoint`.
  std::function<void(const Endpoint&, const std::string& kind, const std::string& body,
                     Duration timeout, PeerCallback)>
      call;
  /// True if the link to `endpoint` is open.
  std::function<bool(const Endpoint&)> link_open;
};

/// Exchanges forwarded statements with other relays by the requests `statement` and `end`. Not
/// thread-safe; all callbacks run on the only worker thread of the loop.
class StatementExchange {
 public:
  /// Time for opening a link before its first statement. A statement whose link cannot be opened
  /// was certainly not sent, and can be tried elsewhere while there is time. Covers four crossings
  /// between regions (20 ms each) and the work of a small VM.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
  static constexpr Duration kEndTimeout = std::chrono::milliseconds(700);
  /// Attempts to tell a holder that a transaction has ended. It ends by itself when it is idle for
  /// too long.
  static constexpr int kEndAttempts = 3;

  StatementExchange(std::string incarnation, StatementExchangeHooks hooks,
                    ForwardedSessions& sessions);

  /// Sends a statement; see ForwardStatement.
  void Send(const ConnectionHolder& holder, const ForwardedStatement& statement, Duration timeout,
            const ForwardCallback& done);
  /// Tells the holder that a session has ended.
  void End(const ConnectionHolder& holder, std::uint64_t session) {
    this->SendEnd(holder.endpoint, session, 1);
  }
  /// Handlers of the requests from other relays.
  std::map<std::string, PeerHandler> Handlers();

 private:
  void SendEnd(const Endpoint& endpoint, std::uint64_t session, int attempt);

  const std::string incarnation;
  const StatementExchangeHooks hooks;
  ForwardedSessions& sessions;
};

/// What an answer to the request `statement` says about the statement.
ForwardAnswer ToForwardAnswer(const PeerAnswer& reply);

}  // namespace sycamoredrum
