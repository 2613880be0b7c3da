#include "backend_model.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>

namespace sycamoredrum {
namespace {

// Last index at which two histories agree, given the last index of each log.
std::uint64_t LastCommonIndex(const TermHistory& a, std::uint64_t a_last, const TermHistory& b,
                              std::uint64_t b_last) {
  std::uint64_t index = std::min(a_last, b_last);
  while (index > 0 && a.TermAt(index) != b.TermAt(index)) {
    --index;
  }
  return index;
}

}  // namespace

BackendModel::BackendModel(std::string id, std::string database, std::size_t connection_cap,
                           const Clock& clock)
    : id(std::move(id)),
      database(std::move(database)),
      connection_cap(connection_cap),
      clock(clock),
      last_primary_contact(clock.Now()) {}

BackendServerStatus BackendModel::Status() const {
  BackendServerStatus status;
  status.backend_server = this->id;
  status.database = this->database;
  status.role = this->role;
  status.term = this->term;
  status.promised_term = this->promised_term;
  status.promised_by = this->promised_by;
  status.last_index = this->LastIndex();
  status.history = this->history;
  status.follows = this->follows;
  if (this->role == Role::kReplica) {
    status.primary_silence = this->clock.Now() - this->last_primary_contact;
  }
  return status;
}

BackendServerStatus BackendModel::Refused() const {
  BackendServerStatus status = this->Status();
  status.accepted = false;
  return status;
}

BackendServerStatus BackendModel::Fence(std::uint64_t new_term, const std::string& proposer) {
  const bool same_promise = new_term == this->promised_term && proposer == this->promised_by;
  if (new_term <= this->promised_term && !same_promise) {
    return this->Refused();
  }
  this->promised_term = new_term;
  this->promised_by = proposer;
  return this->Status();
}

BackendServerStatus BackendModel::Promote(std::uint64_t new_term, const std::string& proposer) {
  if (new_term != this->promised_term || proposer != this->promised_by) {
    return this->Refused();
  }
  if (this->term == new_term) {
    return this->role == Role::kPrimary ? this->Status() : this->Refused();
  }
  this->role = Role::kPrimary;
  this->term = new_term;
  this->follows.clear();
  LogEntry term_start;
  term_start.term = new_term;
  this->Append(std::move(term_start));
  return this->Status();
}

BackendServerStatus BackendModel::Follow(std::uint64_t new_term, const std::string& primary) {
  const bool already_primary = this->role == Role::kPrimary && this->term == new_term;
  if (new_term < this->promised_term || already_primary || primary == this->id) {
    return this->Refused();
  }
  const bool unchanged = this->role == Role::kReplica && this->term == new_term &&
                         this->follows == primary && this->promised_term == new_term;
  if (unchanged) {
    return this->Status();
  }
  if (new_term > this->promised_term) {
    this->promised_term = new_term;
    this->promised_by.clear();
  }
  this->role = Role::kReplica;
  this->term = new_term;
  this->follows = primary;
  this->last_primary_contact = this->clock.Now();
  return this->Status();
}

std::optional<BackendModel::ConnectionId> BackendModel::Open() {
  if (this->connections.size() >= this->connection_cap) {
    return std::nullopt;
  }
  const ConnectionId connection = this->next_connection++;
  this->connections.emplace(connection, Connection{});
  return connection;
}

void BackendModel::Close(ConnectionId connection) { this->connections.erase(connection); }

bool BackendModel::ActsAsPrimary() const {
  return this->role == Role::kPrimary && this->promised_term == this->term;
}

BackendReply BackendModel::Fail(BackendError error, const std::string& message) const {
  BackendReply reply;
  reply.error = error;
  reply.message = message;
  reply.position = LogPosition{this->history.TermAt(this->LastIndex()), this->LastIndex()};
  return reply;
}

std::optional<BackendReply> BackendModel::CheckAdmission(const BackendRequest& request) const {
  if (request.write) {
    if (this->role != Role::kPrimary) {
      return this->Fail(BackendError::kNotPrimary, "the server is a replica");
    }
    if (!this->ActsAsPrimary() || request.term != this->term) {
      return this->Fail(BackendError::kFenced,
                        absl::StrCat("term ", request.term, " expected, server acts in term ",
                                     this->term, " and has promised ", this->promised_term));
    }
  }
  if (this->history.Contains(request.require, this->LastIndex())) {
    return std::nullopt;
  }
  if (this->history.Excludes(request.require, this->LastIndex())) {
    return this->Fail(BackendError::kNotInHistory,
                      "position " + request.require.ToString() + " is not in the history");
  }
  return this->Fail(BackendError::kBehind,
                    "position " + request.require.ToString() + " is not reached");
}

std::optional<BackendReply> BackendModel::FindRecord(const BackendRequest& request) const {
  const auto found = this->records.find(request.request_id);
  if (request.request_id.empty() || found == this->records.end()) {
    return std::nullopt;
  }
  const std::uint64_t index = found->second;
  const RequestRecord& record = *this->log[index - 1].record;
  if (record.fingerprint != request.fingerprint) {
    return this->Fail(BackendError::kRequestIdReused,
                      "request id " + request.request_id + " is recorded for another request");
  }
  BackendReply reply;
  reply.results = record.results;
  reply.position = LogPosition{this->history.TermAt(index), index};
  reply.duplicate = true;
  return reply;
}

std::string BackendModel::Read(const std::string& key, Transaction& transaction) const {
  const auto changed = transaction.changes.find(key);
  if (changed != transaction.changes.end()) {
    return changed->second;
  }
  const auto version = this->versions.find(key);
  transaction.reads.emplace(key, version == this->versions.end() ? 0 : version->second);
  const auto value = this->values.find(key);
  return value == this->values.end() ? "" : value->second;
}

// Returns an error message, or nothing after storing the statement's result.
std::optional<std::string> BackendModel::RunStatement(const std::string& statement, bool write,
                                                      Transaction& transaction,
                                                      std::string& result) const {
  const std::vector<std::string> words =
      absl::StrSplit(statement, absl::MaxSplits(' ', 2), absl::SkipEmpty());
  if (words.size() == 2 && words[0] == "GET") {
    result = this->Read(words[1], transaction);
    return std::nullopt;
  }
  if (words.size() != 3 || (words[0] != "PUT" && words[0] != "ADD" && words[0] != "APPEND")) {
    return "cannot parse statement \"" + statement + "\"";
  }
  if (!write) {
    return "statement \"" + statement + "\" writes in a read-only request";
  }
  if (words[0] == "PUT") {
    result = words[2];
  } else if (words[0] == "APPEND") {
    result = this->Read(words[1], transaction) + words[2];
  } else {
    std::int64_t sum = 0;
    std::int64_t amount = 0;
    const std::string value = this->Read(words[1], transaction);
    if (!value.empty() && !absl::SimpleAtoi(value, &sum)) {
      return "value of \"" + words[1] + "\" is not a number";
    }
    if (!absl::SimpleAtoi(words[2], &amount)) {
      return "\"" + words[2] + "\" is not a number";
    }
    result = absl::StrCat(sum + amount);
  }
  transaction.changes[words[1]] = result;
  return std::nullopt;
}

std::optional<std::string> BackendModel::RunStatements(const BackendRequest& request,
                                                       Transaction& transaction) const {
  for (const std::string& statement : request.statements) {
    std::string result;
    std::optional<std::string> error =
        this->RunStatement(statement, request.write, transaction, result);
    if (error) {
      return error;
    }
    transaction.results.push_back(std::move(result));
  }
  return std::nullopt;
}

BackendReply BackendModel::Commit(const BackendRequest& request, const Transaction& transaction) {
  for (const auto& [key, version] : transaction.reads) {
    const auto current = this->versions.find(key);
    const std::uint64_t current_version = current == this->versions.end() ? 0 : current->second;
    if (transaction.write && current_version != version) {
      return this->Fail(BackendError::kStatement,
                        "key \"" + key + "\" was changed by another transaction");
    }
  }
  if (transaction.write) {
    LogEntry entry;
    entry.term = this->term;
    entry.changes = transaction.changes;
    if (!request.request_id.empty()) {
      entry.record = RequestRecord{request.request_id, request.fingerprint, transaction.results};
    }
    this->Append(std::move(entry));
  }
  BackendReply reply;
  reply.results = transaction.results;
  reply.position = LogPosition{this->history.TermAt(this->LastIndex()), this->LastIndex()};
  return reply;
}

BackendReply BackendModel::Execute(ConnectionId connection_id, const BackendRequest& request) {
  const auto found = this->connections.find(connection_id);
  if (found == this->connections.end()) {
    return this->Fail(BackendError::kNoTransaction, "the connection is closed");
  }
  Connection& connection = found->second;
  if (request.step == TransactionStep::kRollback) {
    connection.transaction.reset();
    return BackendReply{};
  }
  if (request.step == TransactionStep::kContinue || request.step == TransactionStep::kCommit) {
    return this->ExecuteInTransaction(connection, request);
  }
  if (connection.transaction) {
    connection.transaction.reset();
    return this->Fail(BackendError::kInTransaction, "the connection had an open transaction");
  }
  if (std::optional<BackendReply> refusal = this->CheckAdmission(request)) {
    return *refusal;
  }
  if (std::optional<BackendReply> recorded = this->FindRecord(request)) {
    return *recorded;
  }
  Transaction transaction;
  transaction.write = request.write;
  transaction.term = this->term;
  if (std::optional<std::string> error = this->RunStatements(request, transaction)) {
    return this->Fail(BackendError::kStatement, *error);
  }
  if (request.step == TransactionStep::kSingle) {
    return this->Commit(request, transaction);
  }
  BackendReply reply;
  reply.results = std::exchange(transaction.results, {});
  connection.transaction = std::move(transaction);
  return reply;
}

BackendReply BackendModel::ExecuteInTransaction(Connection& connection,
                                                const BackendRequest& request) {
  if (!connection.transaction) {
    if (std::optional<BackendReply> recorded = this->FindRecord(request)) {
      return *recorded;
    }
    return this->Fail(BackendError::kNoTransaction, "the connection has no open transaction");
  }
  Transaction transaction = std::move(*connection.transaction);
  connection.transaction.reset();
  if (std::optional<BackendReply> refusal = this->CheckAdmission(request)) {
    return *refusal;
  }
  if (request.step == TransactionStep::kCommit) {
    if (std::optional<BackendReply> recorded = this->FindRecord(request)) {
      return *recorded;
    }
  }
  transaction.results.clear();
  if (std::optional<std::string> error = this->RunStatements(request, transaction)) {
    return this->Fail(BackendError::kStatement, *error);
  }
  if (request.step == TransactionStep::kCommit) {
    return this->Commit(request, transaction);
  }
  BackendReply reply;
  reply.results = transaction.results;
  connection.transaction = std::move(transaction);
  return reply;
}

LogRequest BackendModel::NextLogRequest() const {
  return LogRequest{this->term, this->LastIndex(), this->history};
}

LogPage BackendModel::ReadLog(const LogRequest& request) const {
  LogPage page;
  page.served = this->role == Role::kPrimary && request.term == this->term;
  if (!page.served) {
    return page;
  }
  page.last_index = this->LastIndex();
  page.common_index =
      LastCommonIndex(this->history, this->LastIndex(), request.history, request.last_index);
  const std::size_t count =
      std::min<std::size_t>(kMaxEntriesPerPage, this->LastIndex() - page.common_index);
  const auto first = this->log.begin() + static_cast<std::ptrdiff_t>(page.common_index);
  page.entries.assign(first, first + static_cast<std::ptrdiff_t>(count));
  return page;
}

void BackendModel::ApplyLog(const std::string& primary, const LogRequest& request,
                            const LogPage& page) {
  const bool current = this->role == Role::kReplica && this->follows == primary &&
                       this->term == request.term && this->promised_term == request.term &&
                       this->LastIndex() == request.last_index && page.served;
  if (!current) {
    return;
  }
  this->last_primary_contact = this->clock.Now();
  if (page.common_index < this->LastIndex()) {
    this->TruncateTo(page.common_index);
  }
  for (const LogEntry& entry : page.entries) {
    this->Append(entry);
  }
}

std::optional<std::string> BackendModel::Get(const std::string& key) const {
  const auto found = this->values.find(key);
  if (found == this->values.end()) {
    return std::nullopt;
  }
  return found->second;
}

void BackendModel::Append(LogEntry entry) {
  const std::uint64_t index = this->LastIndex() + 1;
  this->history = this->history.WithTerm(entry.term, index);
  for (const auto& [key, value] : entry.changes) {
    this->values[key] = value;
    this->versions[key] = index;
  }
  if (entry.record) {
    this->records[entry.record->request_id] = index;
  }
  this->log.push_back(std::move(entry));
}

void BackendModel::TruncateTo(std::uint64_t last_index) {
  std::vector<LogEntry> kept(this->log.begin(),
                             this->log.begin() + static_cast<std::ptrdiff_t>(last_index));
  this->log.clear();
  this->history = TermHistory();
  this->values.clear();
  this->versions.clear();
  this->records.clear();
  this->connections.clear();
  for (LogEntry& entry : kept) {
    this->Append(std::move(entry));
  }
}

}  // namespace sycamoredrum
