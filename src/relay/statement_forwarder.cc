#include "statement_forwarder.h"

#include <utility>

namespace sycamoredrum {

const char* ToString(ForwardOutcome outcome) {
  switch (outcome) {
    case ForwardOutcome::kAnswered:
      return "answered";
    case ForwardOutcome::kNotRun:
      return "not_run";
    case ForwardOutcome::kNoRoom:
      return "no_room";
    case ForwardOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

StatementForwarder::StatementForwarder(std::string self, ForwardStatement send,
                                       EndForwardedSession end, const Clock& clock, Logger& logger,
                                       Metrics& metrics)
    : send(std::move(send)),
      end(std::move(end)),
      clock(clock),
      logger(logger),
      metrics(metrics),
      holders(std::move(self)) {}

std::optional<ConnectionHolder> StatementForwarder::Choose(
    const BackendServerRecord& server, const std::string& organisation,
    const std::set<std::string>& tried) const {
  const ConnectionHolder* holder =
      this->holders.Choose(server.id, server.data_centre, organisation, tried, this->clock.Now());
  return holder == nullptr ? std::nullopt : std::optional(*holder);
}

void StatementForwarder::Send(const ConnectionHolder& holder, const ForwardedStatement& statement,
                              Duration timeout, ForwardCallback done) {
  this->send(
      holder, statement, timeout,
      [this, weak = std::weak_ptr<bool>(this->alive), member = holder.member,
       sent = this->clock.Now(), timeout, done = std::move(done)](const ForwardAnswer& answer) {
        if (weak.expired()) {
          return;
        }
        const bool expired = this->clock.Now() - sent >= timeout;
        if (!(expired && this->AnsweredSince(member, sent))) {
          // Otherwise the holder responds, and only this statement took too long.
          this->UpdateHolder(member, answer);
        }
        this->metrics.Increment(Metric::kForwardedStatements, {"sent", ToString(answer.outcome)});
        done(answer);
      });
}

void StatementForwarder::UpdateHolder(const std::string& member, const ForwardAnswer& answer) {
  if (!answer.responded) {
    this->MarkUnresponsive(member);
    return;
  }
  if (this->holders.MarkAnswered(member, this->clock.Now())) {
    this->logger.Info("holder_regained", {{"holder", member}});
  }
  if (answer.outcome == ForwardOutcome::kNotRun) {
    // A holder that stops or is cut off refuses the next statements as well.
    this->MarkUnresponsive(member);
  }
}

void StatementForwarder::MarkUnresponsive(const std::string& member) {
  if (this->holders.MarkUnresponsive(member, this->clock.Now())) {
    this->logger.Warning("holder_lost", {{"holder", member}});
  }
}

}  // namespace sycamoredrum
