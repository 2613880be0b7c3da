#include "statement_exchange.h"

#include <utility>

#include "statement_messages.h"

namespace sycamoredrum {
namespace {

const char* const kStatementKind = "statement";
const char* const kEndKind = "end";
const char* const kUnreadable = "unreadable";

}  // namespace

// A request that PeerLink reports as kNotSent was never passed to a connection. One that the peer
// refused before its handler ran did not run either; a peer that cannot send its answer
// ("too_large" or "bad_answer") has run it.
ForwardAnswer ToForwardAnswer(const PeerAnswer& reply) {
  ForwardAnswer answer;
  answer.reason = reply.message;
  switch (reply.error) {
    case PeerError::kNone: {
      std::optional<ForwardAnswer> parsed = ParseForwardAnswer(reply.body);
      answer.responded = true;
      answer.reason = "the holder's answer cannot be read";
      return parsed ? std::move(*parsed) : answer;
    }
    case PeerError::kNotSent:
      answer.outcome = ForwardOutcome::kNotRun;
      return answer;
    case PeerError::kRefused: {
      const bool not_handled =
          reply.code == "unknown_kind" || reply.code == "stopping" || reply.code == kUnreadable;
      answer.outcome = not_handled ? ForwardOutcome::kNotRun : ForwardOutcome::kUnknown;
      answer.responded = true;
      return answer;
    }
    case PeerError::kMaybeReceived:
      break;
  }
  answer.outcome = ForwardOutcome::kUnknown;
  return answer;
}

StatementExchange::StatementExchange(std::string incarnation, StatementExchangeHooks hooks,
                                     ForwardedSessions& sessions)
    : incarnation(std::move(incarnation)), hooks(std::move(hooks)), sessions(sessions) {}

void StatementExchange::Send(const ConnectionHolder& holder, const ForwardedStatement& statement,
                             Duration timeout, const ForwardCallback& done) {
  const auto send = [this, endpoint = holder.endpoint, timeout, done,
                     body = ToJson(StatementMessage{this->incarnation, statement})] {
    this->hooks.call(endpoint, kStatementKind, body, timeout,
                     [done](const PeerAnswer& reply) { done(ToForwardAnswer(reply)); });
  };
  if (this->hooks.link_open(holder.endpoint)) {
    send();
    return;
  }
  this->hooks.call(holder.endpoint, kEndKind, ToJson(EndMessage{this->incarnation, 0}),
                   kConnectTimeout, [send, done](const PeerAnswer& reply) {
                     if (reply.Ok()) {
                       send();
                       return;
                     }
                     ForwardAnswer answer;
                     answer.outcome = ForwardOutcome::kNotRun;
                     answer.reason = "the holder cannot be reached: " + reply.message;
                     done(answer);
                   });
}

void StatementExchange::SendEnd(const Endpoint& endpoint, std::uint64_t session, int attempt) {
  this->hooks.call(endpoint, kEndKind, ToJson(EndMessage{this->incarnation, session}), kEndTimeout,
                   [this, endpoint, session, attempt](const PeerAnswer& reply) {
                     if (!reply.Ok() && attempt < kEndAttempts) {
                       this->SendEnd(endpoint, session, attempt + 1);
                     }
                   });
}

std::map<std::string, PeerHandler> StatementExchange::Handlers() {
  std::map<std::string, PeerHandler> handlers;
  handlers[kStatementKind] = [this](const PeerRequest& request, const PeerRespond& respond) {
    const std::optional<StatementMessage> message = ParseStatementMessage(request.body);
    if (!message) {
      respond(PeerReply{"null", kUnreadable, "the message cannot be read"});
      return;
    }
    this->sessions.Handle(request.member, message->incarnation, message->statement,
                          [respond](const ForwardAnswer& answer) {
                            respond(PeerReply{ToJson(answer), "", ""});
                          });
  };
  handlers[kEndKind] = [this](const PeerRequest& request, const PeerRespond& respond) {
    const std::optional<EndMessage> message = ParseEndMessage(request.body);
    if (!message) {
      respond(PeerReply{"null", kUnreadable, "the message cannot be read"});
      return;
    }
    if (message->session != 0) {
      this->sessions.End(request.member, message->incarnation, message->session);
    }
    respond(PeerReply{});
  };
  return handlers;
}

}  // namespace sycamoredrum
