#include "sycamoredrum/forwarded_sessions.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "caller_session.h"
#include "relay_state.h"

namespace sycamoredrum {
namespace {

ForwardAnswer Unanswered(ForwardOutcome outcome, std::string reason) {
  ForwardAnswer answer;
  answer.outcome = outcome;
  answer.reason = std::move(reason);
  return answer;
}

// The statement did not run, and its transaction does not exist or is rolled back.
ForwardAnswer Aborted(const std::string& reason) {
  ForwardAnswer answer;
  answer.outcome = ForwardOutcome::kAnswered;
  answer.result.error = StatementError{StatementErrorCode::kAborted, reason};
  answer.result.state = TransactionState::kFailed;
  return answer;
}

}  // namespace

ForwardedSessions::ForwardedSessions(SessionRelay& relay, const Clock& clock, Metrics& metrics)
    : relay(relay), clock(clock), metrics(metrics) {}

ForwardedSessions::~ForwardedSessions() {
  for (auto& [name, sender] : this->senders) {
    for (auto& [id, session] : sender.open) {
      session.relay_session->OnCallerDisconnected();
    }
  }
}

void ForwardedSessions::Answer(const ForwardCallback& done, ForwardAnswer answer) {
  answer.responded = true;
  this->metrics.Increment(Metric::kForwardedStatements, {"received", ToString(answer.outcome)});
  done(answer);
}

ForwardedSessions::Sender* ForwardedSessions::FindSender(const std::string& name,
                                                         const std::string& incarnation) {
  Sender& sender = this->senders[name];
  if (sender.former_incarnations.count(incarnation) != 0) {
    return nullptr;
  }
  if (sender.incarnation != incarnation) {
    // The sender has started again, so that nobody waits for its former sessions.
    this->EndAllOf(name);
    std::set<std::string> former = std::move(sender.former_incarnations);
    if (!sender.incarnation.empty()) {
      former.insert(sender.incarnation);
    }
    // Messages of a former start arrive only while its connection is still read.
    constexpr std::size_t kMaxFormer = 16;
    if (former.size() > kMaxFormer) {
      former.clear();
    }
    sender = Sender{};
    sender.incarnation = incarnation;
    sender.former_incarnations = std::move(former);
  }
  sender.last_message = this->clock.Now();
  return &sender;
}

void ForwardedSessions::Handle(const std::string& sender, const std::string& incarnation,
                               const ForwardedStatement& statement, ForwardCallback done) {
  Sender* state = this->FindSender(sender, incarnation);
  if (state == nullptr) {
    this->Answer(done, Unanswered(ForwardOutcome::kUnknown, "of an earlier start of the sender"));
  } else if (statement.start == ForwardedStart::kInTransaction) {
    this->Continue(*state, statement, std::move(done));
  } else {
    this->Begin(sender, *state, statement, std::move(done));
  }
}

// A duplicate is not answered as "not run": that answer could arrive before the one to the message
// that ran.
void ForwardedSessions::Begin(const std::string& sender, Sender& state,
                              const ForwardedStatement& statement, ForwardCallback done) {
  const std::uint64_t id = statement.session;
  if (state.open.count(id) != 0 || state.ended.count(id) != 0 || id <= state.forgotten_up_to ||
      statement.number != 1) {
    this->Answer(done, Unanswered(ForwardOutcome::kUnknown, "a duplicate or late message"));
    return;
  }
  SessionRelay::Impl& impl = this->relay.Internal();
  const char* refusal = nullptr;
  if (!this->accepting || impl.refusal_reason) {
    refusal = "the holder stops";
  } else if (impl.cut_off) {
    refusal = "the holder is cut off";
  } else if (impl.configuration->routes.count(statement.route) == 0) {
    refusal = "the holder does not know the route";
  }
  const bool room =
      this->in_progress < kMaxInProgress && state.in_progress < kMaxInProgressPerSender;
  if (refusal != nullptr || !room) {
    Remember(state, id, statement.number);
    ForwardAnswer answer =
        Unanswered(refusal != nullptr ? ForwardOutcome::kNotRun : ForwardOutcome::kNoRoom,
                   refusal != nullptr ? refusal : "the holder has no room");
    answer.retry_after = kNoRoomRetryAfter;
    this->Answer(done, std::move(answer));
    return;
  }
  CallerSessionHooks hooks;
  hooks.reply = [this, weak = std::weak_ptr<bool>(this->alive), sender,
                 incarnation = state.incarnation, id](const StatementResult& result) {
    if (!weak.expired()) {
      this->OnReply(sender, incarnation, id, result);
    }
  };
  hooks.close = [] {};
  Session& session = state.open[id];
  session.relay_session = std::make_shared<RelayCallerSession>(
      impl, SessionRequest{statement.route, ""}, SessionIdentity{}, std::move(hooks));
  this->Run(state, session, statement, std::move(done));
}

void ForwardedSessions::Continue(Sender& state, const ForwardedStatement& statement,
                                 ForwardCallback done) {
  const auto found = state.open.find(statement.session);
  if (found == state.open.end()) {
    const auto ended = state.ended.find(statement.session);
    const bool may_have_run = ended != state.ended.end()
                                  ? statement.number <= ended->second
                                  : statement.session <= state.forgotten_up_to;
    this->Answer(done, may_have_run
                           ? Unanswered(ForwardOutcome::kUnknown, "a duplicate or late message")
                           : Aborted("the transaction is not open any more"));
    return;
  }
  Session& session = found->second;
  if (statement.number <= session.last_number) {
    this->Answer(done, Unanswered(ForwardOutcome::kUnknown, "a duplicate or late message"));
    return;
  }
  if (statement.number != session.last_number + 1 || session.done ||
      !session.relay_session->InTransaction()) {
    session.last_number = statement.number;
    this->Drop(state, statement.session);
    this->Answer(done, Aborted("the transaction was rolled back"));
    return;
  }
  this->Run(state, session, statement, std::move(done));
}

void ForwardedSessions::Run(Sender& state, Session& session, const ForwardedStatement& statement,
                            ForwardCallback done) {
  session.last_number = statement.number;
  session.done = std::move(done);
  ++state.in_progress;
  ++this->in_progress;
  // The reply may erase the session inside the call.
  const std::shared_ptr<RelayCallerSession> relay_session = session.relay_session;
  relay_session->RunForwarded(statement);
}

void ForwardedSessions::OnReply(const std::string& sender, const std::string& incarnation,
                                std::uint64_t session, const StatementResult& result) {
  const auto state = this->senders.find(sender);
  if (state == this->senders.end() || state->second.incarnation != incarnation) {
    return;
  }
  const auto found = state->second.open.find(session);
  if (found == state->second.open.end() || !found->second.done) {
    return;
  }
  const ForwardCallback done = std::exchange(found->second.done, nullptr);
  --state->second.in_progress;
  --this->in_progress;
  if (result.state != TransactionState::kOpen) {
    Remember(state->second, session, found->second.last_number);
    state->second.open.erase(found);
  }
  ForwardAnswer answer;
  answer.outcome = ForwardOutcome::kAnswered;
  answer.result = result;
  this->Answer(done, std::move(answer));
}

void ForwardedSessions::Drop(Sender& state, std::uint64_t session) {
  auto node = state.open.extract(session);
  if (node.empty()) {
    return;
  }
  Session& dropped = node.mapped();
  Remember(state, session, dropped.last_number);
  if (dropped.done) {
    --state.in_progress;
    --this->in_progress;
  }
  dropped.relay_session->OnCallerDisconnected();
  if (dropped.done) {
    this->Answer(dropped.done, Unanswered(ForwardOutcome::kUnknown, "the session was ended"));
  }
}

// The message `end` may overtake the statement that it ends, on another link.
void ForwardedSessions::End(const std::string& sender, const std::string& incarnation,
                            std::uint64_t session) {
  Sender* state = this->FindSender(sender, incarnation);
  if (state == nullptr) {
    return;
  }
  if (state->open.count(session) != 0) {
    this->Drop(*state, session);
  } else if (state->ended.count(session) == 0) {
    Remember(*state, session, 1);
  }
}

void ForwardedSessions::EndAllOf(const std::string& sender) {
  const auto state = this->senders.find(sender);
  while (state != this->senders.end() && !state->second.open.empty()) {
    this->Drop(state->second, state->second.open.begin()->first);
  }
}

void ForwardedSessions::Remember(Sender& state, std::uint64_t session, std::uint64_t last_number) {
  if (session <= state.forgotten_up_to) {
    return;
  }
  state.ended[session] = last_number;
  if (state.ended.size() > kMaxRemembered) {
    state.forgotten_up_to = state.ended.begin()->first;
    state.ended.erase(state.ended.begin());
  }
}

void ForwardedSessions::Tick() {
  const TimePoint now = this->clock.Now();
  for (auto sender = this->senders.begin(); sender != this->senders.end();) {
    Sender& state = sender->second;
    std::vector<std::uint64_t> finished;
    for (const auto& [id, session] : state.open) {
      if (!session.done && !session.relay_session->InTransaction()) {
        finished.push_back(id);
      }
    }
    for (const std::uint64_t id : finished) {
      this->Drop(state, id);
    }
    const bool unused = state.open.empty() && now - state.last_message > kForgetSenderAfter;
    sender = unused ? this->senders.erase(sender) : std::next(sender);
  }
}

std::size_t ForwardedSessions::Count() const {
  std::size_t count = 0;
  for (const auto& [name, sender] : this->senders) {
    count += sender.open.size();
  }
  return count;
}

}  // namespace sycamoredrum
