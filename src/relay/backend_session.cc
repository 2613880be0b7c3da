#include "backend_session.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace sycamoredrum {

BackendSession::BackendSession(std::shared_ptr<BackendChannel> channel, std::string organisation,
                               Hooks hooks)
    : channel(std::move(channel)), organisation(std::move(organisation)), hooks(std::move(hooks)) {}

// The protocol cannot unset a single variable, so a variable that `profile` lacks requires a reset.
bool BackendSession::NeedsReset(const SessionProfile& profile) const {
  const bool has_surplus_variable = std::any_of(
      this->variables.begin(), this->variables.end(),
      [&profile](const auto& variable) { return profile.variables.count(variable.first) == 0; });
  return has_surplus_variable || this->prepared.size() + this->fences >= kMaxPrepared;
}

int BackendSession::SetupCost(const SessionProfile& profile) const {
  if (this->NeedsReset(profile)) {
    return 1 + static_cast<int>(profile.variables.size());
  }
  return static_cast<int>(std::count_if(
      profile.variables.begin(), profile.variables.end(), [this](const auto& variable) {
        const auto found = this->variables.find(variable.first);
        return found == this->variables.end() || found->second != variable.second;
      }));
}

std::string BackendSession::NextPreparedName() const {
  return absl::StrCat("p", this->next_prepared_number);
}

std::vector<Statement> BackendSession::SetupStatements(const SessionProfile& profile,
                                                       const Statement& statement) const {
  std::vector<Statement> setup;
  const bool reset = this->NeedsReset(profile);
  if (reset) {
    Statement clear;
    clear.kind = StatementKind::kReset;
    setup.push_back(clear);
  }
  for (const auto& [name, value] : profile.variables) {
    const auto found = this->variables.find(name);
    if (!reset && found != this->variables.end() && found->second == value) {
      continue;
    }
    Statement set;
    set.kind = StatementKind::kSet;
    set.name = name;
    set.data = value;
    setup.push_back(set);
  }
  if (statement.kind == StatementKind::kExecute) {
    const PreparedStatement& definition = profile.prepared.at(statement.name);
    if (reset || this->prepared.count(definition) == 0) {
      Statement prepare;
      prepare.kind = StatementKind::kPrepare;
      prepare.name = this->NextPreparedName();
      prepare.prepared_text = definition.prepared_text;
      prepare.writes = definition.writes;
      setup.push_back(prepare);
    }
  }
  return setup;
}

void BackendSession::RecordSetup(const Statement& statement) {
  switch (statement.kind) {
    case StatementKind::kReset:
      this->variables.clear();
      this->prepared.clear();
      this->fences = 0;
      return;
    case StatementKind::kSet:
      this->variables[statement.name] = statement.data;
      return;
    case StatementKind::kPrepare:
      this->prepared[PreparedStatement{statement.prepared_text, statement.writes}] = statement.name;
      return;
    default:
      return;
  }
}

void BackendSession::PrepareFor(const SessionProfile& profile, const Statement& statement,
                                ReadyCallback ready) {
  const std::vector<Statement> setup = this->SetupStatements(profile, statement);
  if (setup.empty()) {
    ready(true);
    return;
  }
  if (setup.back().kind == StatementKind::kPrepare) {
    ++this->next_prepared_number;
  }
  const auto remaining = std::make_shared<std::size_t>(setup.size());
  const auto failed = std::make_shared<bool>(false);
  for (const Statement& step : setup) {
    this->Send(BackendCommand{step, std::nullopt}, false,
               [this, weak = std::weak_ptr<bool>(this->alive), step, remaining, failed,
                ready](const std::optional<StatementResult>& result) {
                 const bool succeeded = result && !result->error;
                 if (succeeded && !weak.expired()) {
                   this->RecordSetup(step);
                 }
                 *failed = *failed || !succeeded;
                 if (--*remaining == 0) {
                   ready(!*failed);
                 }
               });
  }
}

void BackendSession::Send(const BackendCommand& command, bool has_effect, ResultCallback callback) {
  const Statement& statement = command.statement;
  this->pending.push_back(
      Pending{SentStatement{statement.kind, command.required, statement.id, has_effect},
              std::move(callback), std::nullopt});
  this->channel->Send(command);
}

void BackendSession::Execute(const SessionProfile& profile, BackendCommand command,
                             ResultCallback callback) {
  const StatementKind kind = command.statement.kind;
  bool has_effect = kind == StatementKind::kWrite || kind == StatementKind::kCommit;
  if (kind == StatementKind::kExecute) {
    const PreparedStatement& definition = profile.prepared.at(command.statement.name);
    command.statement.name = this->prepared.at(definition);
    has_effect = definition.writes;
  }
  this->Send(command, has_effect, std::move(callback));
}

void BackendSession::InvalidatePrepared(const SessionProfile& profile, const Statement& statement) {
  const auto definition = profile.prepared.find(statement.name);
  if (definition != profile.prepared.end()) {
    this->prepared.erase(definition->second);
  }
}

void BackendSession::OnResult(const StatementResult& result) {
  if (this->broken) {
    return;
  }
  if (this->AnswersFence(result)) {
    if (++this->answered_fences == kFences) {
      const StatementResult held_back = *this->pending.front().held_back;
      this->pending.erase(this->pending.begin() + 1, this->pending.begin() + 1 + kFences);
      if (this->hooks.sends_stray_answers()) {
        this->BreakAfter(held_back);
      } else {
        this->Answer(held_back);
      }
    }
    return;
  }
  const SentStatement* oldest = this->pending.empty() ? nullptr : &this->pending.front().statement;
  const AnswerMatch match = this->matcher.Match(result, oldest);
  if (match == AnswerMatch::kOwn) {
    this->Answer(result);
    return;
  }
  this->hooks.stray_answer(match);
  if (match == AnswerMatch::kUnexpected) {
    this->OnClosed();
  } else if (match == AnswerMatch::kAmbiguous) {
    // An acknowledgement could not be told from that of a fence.
    if (IsAcknowledged(oldest->kind) || this->hooks.sends_stray_answers()) {
      this->BreakAfter(result);
    } else {
      this->HoldBack(result);
    }
  }
}

void BackendSession::BreakAfter(const StatementResult& result) {
  this->broken = true;
  const std::weak_ptr<bool> weak = this->alive;
  const bool refusal = result.error && GuaranteesNotRun(result.error->code);
  if (refusal && !this->pending.front().statement.has_effect) {
    StatementResult without_position = result;
    without_position.position.reset();
    this->Answer(without_position);
  }
  if (!weak.expired()) {
    this->OnClosed();
  }
}

void BackendSession::Answer(const StatementResult& result) {
  const ResultCallback callback = std::move(this->pending.front().callback);
  this->pending.pop_front();
  callback(result);
}

void BackendSession::HoldBack(const StatementResult& result) {
  Pending& oldest = this->pending.front();
  if (oldest.held_back) {
    // If one of several errors is the own one, the weaker statement about its effect is true.
    const auto& error = result.error;
    if (!error || !GuaranteesNotRun(error->code)) {
      oldest.held_back = result;
    }
  } else {
    oldest.held_back = result;
    this->answered_fences = 0;
    for (std::size_t i = 0; i < kFences; ++i) {
      Statement fence;
      fence.kind = StatementKind::kPrepare;
      fence.name = absl::StrCat("p", this->next_prepared_number++);
      fence.prepared_text = "fence";
      ++this->fences;
      this->Send(BackendCommand{fence, std::nullopt}, false,
                 [](const std::optional<StatementResult>&) {});
    }
  }
  if (this->pending.front().held_back->error) {
    this->pending.front().held_back->position.reset();
  }
}

// The statement itself is not answered in this form, except that a failed transaction refuses all
// statements as malformed.
bool BackendSession::AnswersFence(const StatementResult& result) const {
  if (this->pending.empty() || !this->pending.front().held_back) {
    return false;
  }
  if (result.error) {
    return result.error->code == StatementErrorCode::kMalformed;
  }
  return result.receipt.empty() && result.rows.empty();
}

void BackendSession::OnClosed() {
  this->broken = true;
  const std::weak_ptr<bool> weak = this->alive;
  while (!weak.expired() && !this->pending.empty()) {
    const ResultCallback callback = std::move(this->pending.front().callback);
    this->pending.pop_front();
    callback(std::nullopt);
  }
}

void BackendSession::Close() {
  this->broken = true;
  this->channel->Close();
}

}  // namespace sycamoredrum
