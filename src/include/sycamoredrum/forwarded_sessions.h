#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/session_relay.h"
#include "sycamoredrum/statement_forwarding.h"

namespace sycamoredrum {

class RelayCallerSession;

/// The holder's side of forwarding: runs the statements that other relays send, each as a statement
/// of a session without a caller connection. A session is kept only while a transaction is open on
/// it, and belongs to one start (incarnation) of the sender. No statement number of a session runs
/// twice. Not thread-safe; it must be destroyed before the relay.
class ForwardedSessions {
 public:
  /// Bounds of the statements in progress, in total and for one sender. A first statement beyond
  /// them is refused; later statements of a transaction hold a connection already and are accepted.
  static constexpr std::size_t kMaxInProgress = 256;
  static constexpr std::size_t kMaxInProgressPerSender = 64;
  /// Delay that is given to the sender of a statement for which there is no room: a few service
  /// times of a backend server, in which a part of the waiting statements has been run.
  static constexpr Duration kNoRoomRetryAfter = std::chrono::milliseconds(50);
  /// Ended sessions of one sender that are remembered, so that a late or duplicate message does not
  /// run. Messages of sessions older than these are not run either.
  static constexpr std::size_t kMaxRemembered = 1024;
  /// A sender that sent nothing and has no session for this time is forgotten.
  static constexpr Duration kForgetSenderAfter = std::chrono::seconds(60);

  ForwardedSessions(SessionRelay& relay, const Clock& clock, Metrics& metrics);
  ~ForwardedSessions();
  ForwardedSessions(const ForwardedSessions&) = delete;
  ForwardedSessions& operator=(const ForwardedSessions&) = delete;

  /// Runs a statement of `sender`. Calls `done` exactly once, possibly before it returns.
  void Handle(const std::string& sender, const std::string& incarnation,
              const ForwardedStatement& statement, ForwardCallback done);
  /// Rolls back the transaction of a session, or cancels its statement if it was not sent yet.
  void End(const std::string& sender, const std::string& incarnation, std::uint64_t session);
  /// Ends all sessions of a sender to which no link is left.
  void EndAllOf(const std::string& sender);
  /// Refuses new sessions from now on, because the process stops. Open transactions continue.
  void StopAccepting() { this->accepting = false; }
  /// Drops the sessions whose transaction was ended, for example because it was idle for too long.
  /// To be called about every 50 ms.
  void Tick();
  /// Sessions with an open transaction or a statement in progress.
  std::size_t Count() const;

 private:
  struct Session {
    std::shared_ptr<RelayCallerSession> relay_session;
    std::uint64_t last_number = 0;
    ForwardCallback done;  ///< Of the statement in progress; null if there is none.
  };
  struct Sender {
    std::string incarnation;
    std::set<std::string> former_incarnations;
    std::map<std::uint64_t, Session> open;
    std::map<std::uint64_t, std::uint64_t> ended;  ///< Last number, by session.
    std::uint64_t forgotten_up_to = 0;             ///< Sessions up to it are not remembered.
    std::size_t in_progress = 0;
    TimePoint last_message;
  };

  /// Returns null if `incarnation` is not the latest one of the sender.
  Sender* FindSender(const std::string& name, const std::string& incarnation);
  void Begin(const std::string& sender, Sender& state, const ForwardedStatement& statement,
             ForwardCallback done);
  void Continue(Sender& state, const ForwardedStatement& statement, ForwardCallback done);
  void Run(Sender& state, Session& session, const ForwardedStatement& statement,
           ForwardCallback done);
  void OnReply(const std::string& sender, const std::string& incarnation, std::uint64_t session,
               const StatementResult& result);
  /// Ends a session; a statement in progress is answered with an unknown outcome.
  void Drop(Sender& state, std::uint64_t session);
  static void Remember(Sender& state, std::uint64_t session, std::uint64_t last_number);
  void Answer(const ForwardCallback& done, ForwardAnswer answer);

  SessionRelay& relay;
  const Clock& clock;
  Metrics& metrics;
  std::map<std::string, Sender> senders;
  std::size_t in_progress = 0;
  bool accepting = true;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace sycamoredrum
