#include "sycamoredrum/ticket_writer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "ticket_pages.h"

namespace sycamoredrum {

std::string_view ToString(WriteStatus status) {
  switch (status) {
    case WriteStatus::kAccepted:
      return "accepted";
    case WriteStatus::kConflict:
      return "conflict";
    case WriteStatus::kGap:
      return "gap";
    case WriteStatus::kInvalid:
      return "invalid";
    case WriteStatus::kUnavailable:
      return "unavailable";
    case WriteStatus::kUnknown:
      break;
  }
  return "unknown";
}

TicketWriter::TicketWriter(PlatformClient platform, ConfigurationLog& log, Scheduler& scheduler)
    : platform(std::move(platform)), log(log), scheduler(scheduler) {}

void TicketWriter::Write(const Ticket& ticket, Callback done) {
  auto operation = std::make_shared<Operation>();
  operation->ticket = ticket;
  operation->json = SerializeTicket(ticket);
  operation->done = std::move(done);
  Findings findings;
  ParseTicket(operation->json, findings);
  if (operation->json.size() > kMaxTicketBytes) {
    findings.Add("ticket", absl::StrCat("has ", operation->json.size(),
                                        " bytes; the platform stores at most ", kMaxTicketBytes));
  }
  if (findings.Empty()) {
    this->ReadTickets(operation);
    return;
  }
  this->scheduler.RunAfter(
      Duration::zero(), [this, operation, findings] { this->FinishInvalid(operation, findings); });
}

// Lists the tickets from the last applied one on, or from the one that precedes the new ticket if
// that is lower. Thus the list shows whether the key of the preceding ticket exists and whether the
// new ticket's number is taken.
void TicketWriter::ReadTickets(const OperationPtr& operation) {
  const std::uint64_t preceding = operation->ticket.number - 1;
  const std::uint64_t first = std::min(this->log.Number(), preceding);
  const std::string after = TicketKey(first == 0 ? 0 : first - 1);
  this->platform.list(std::string(kTicketKeyPrefix), after, kPageSize,
                      [this, operation](PlatformStatus status, const std::vector<KeyValue>& page) {
                        if (status == PlatformStatus::kOk) {
                          this->HandleTickets(operation, page);
                        } else {
                          this->FinishUnavailable(operation);
                        }
                      });
}

void TicketWriter::HandleTickets(const OperationPtr& operation, const std::vector<KeyValue>& page) {
  const std::uint64_t number = operation->ticket.number;
  const std::uint64_t number_before = this->log.Number();
  this->log.Offer(ExtractTickets(page));
  const std::string own_key = TicketKey(number);
  const std::string preceding_key = TicketKey(number - 1);
  bool preceding_exists = number == 1;
  for (const KeyValue& item : page) {
    preceding_exists = preceding_exists || item.key == preceding_key;
    if (item.key == own_key) {
      this->FinishWithStored(operation, item.value);
      return;
    }
  }
  if (preceding_exists) {
    this->ValidateAndPut(operation);
    return;
  }
  const bool more = page.size() >= kPageSize && this->log.Number() > number_before;
  if (more) {
    this->ReadTickets(operation);
  } else {
    this->FinishWithGap(operation);
  }
}

void TicketWriter::ValidateAndPut(const OperationPtr& operation) {
  Findings findings;
  ValidateAgainst(operation->ticket, *this->log.Current(), findings);
  const std::uint64_t same_id = this->log.FindNumberOfId(operation->ticket.id);
  if (same_id != 0) {
    findings.Add("id", absl::StrCat("is already used by ticket ", same_id));
  }
  if (findings.Empty()) {
    this->Put(operation);
  } else {
    this->FinishInvalid(operation, std::move(findings));
  }
}

void TicketWriter::Put(const OperationPtr& operation) {
  this->platform.put(TicketKey(operation->ticket.number), operation->json,
                     /*expected_revision=*/0,
                     [this, operation](PlatformStatus status, std::uint64_t) {
                       this->HandlePut(operation, status);
                     });
}

void TicketWriter::HandlePut(const OperationPtr& operation, PlatformStatus status) {
  switch (status) {
    case PlatformStatus::kOk:
      this->FinishWithStored(operation, operation->json);
      return;
    case PlatformStatus::kConflict:
      this->ReadBack(operation);
      return;
    case PlatformStatus::kUnavailable:
    case PlatformStatus::kNotFound:
      if (!operation->may_have_written) {
        this->FinishUnavailable(operation);
        return;
      }
      break;
    case PlatformStatus::kUnknown:
      operation->may_have_written = true;
      break;
  }
  this->RetryLater(operation, [this, operation] { this->ReadBack(operation); });
}

void TicketWriter::ReadBack(const OperationPtr& operation) {
  this->platform.get(
      TicketKey(operation->ticket.number),
      [this, operation](PlatformStatus status, const std::optional<KeyValue>& found) {
        this->HandleReadBack(operation, status, found);
      });
}

void TicketWriter::HandleReadBack(const OperationPtr& operation, PlatformStatus status,
                                  const std::optional<KeyValue>& found) {
  if (status == PlatformStatus::kOk && found) {
    this->FinishWithStored(operation, found->value);
    return;
  }
  if (status == PlatformStatus::kNotFound) {
    // The write whose answer was lost may still take effect, so a missing key does not prove that
    // it failed. Writing again is safe: only one create of the key can succeed.
    this->RetryLater(operation, [this, operation] { this->Put(operation); });
    return;
  }
  this->RetryLater(operation, [this, operation] { this->ReadBack(operation); });
}

void TicketWriter::RetryLater(const OperationPtr& operation, std::function<void()> step) {
  if (++operation->attempts >= kMaxAttempts) {
    WriteResult result;
    result.status = WriteStatus::kUnknown;
    result.message =
        absl::StrCat("ticket ", operation->ticket.number,
                     " may have been accepted; write the same ticket again to find out");
    this->Finish(operation, std::move(result));
    return;
  }
  this->scheduler.RunAfter(kFirstBackoff * (1 << (operation->attempts - 1)), std::move(step));
}

void TicketWriter::FinishWithStored(const OperationPtr& operation, const std::string& stored) {
  this->log.Offer({SerializedTicket{operation->ticket.number, stored}});
  Findings findings;
  std::optional<Ticket> winner = ParseTicket(stored, findings);
  WriteResult result;
  if (winner && *winner == operation->ticket) {
    result.status = WriteStatus::kAccepted;
    result.message = absl::StrCat("ticket ", operation->ticket.number, " is accepted");
    this->Finish(operation, std::move(result));
    return;
  }
  result.status = WriteStatus::kConflict;
  if (winner) {
    result.message = absl::StrCat("number ", operation->ticket.number, " was taken by ticket \"",
                                  winner->id, "\" of ", winner->author);
    result.winner_diff = DiffTicket(*winner, this->log.ConfigurationAt(winner->number - 1));
  } else {
    result.message =
        absl::StrCat("number ", operation->ticket.number,
                     " was taken by a ticket that this version cannot read: ", findings.ToString());
  }
  result.winner = std::move(winner);
  this->Finish(operation, std::move(result));
}

void TicketWriter::FinishWithGap(const OperationPtr& operation) {
  const std::uint64_t number = operation->ticket.number;
  WriteResult result;
  result.status = WriteStatus::kGap;
  result.message = absl::StrCat("ticket ", number, " cannot be accepted: ticket ", number - 1,
                                " does not exist; the next number is ", this->log.Number() + 1);
  this->Finish(operation, std::move(result));
}

void TicketWriter::FinishInvalid(const OperationPtr& operation, Findings findings) {
  WriteResult result;
  result.status = WriteStatus::kInvalid;
  result.findings = std::move(findings);
  result.message = absl::StrCat("ticket ", operation->ticket.number, " is not valid");
  this->Finish(operation, std::move(result));
}

void TicketWriter::FinishUnavailable(const OperationPtr& operation) {
  WriteResult result;
  result.status = WriteStatus::kUnavailable;
  result.message = absl::StrCat("the platform is unavailable; ticket ", operation->ticket.number,
                                " was not written");
  this->Finish(operation, std::move(result));
}

void TicketWriter::Finish(const OperationPtr& operation, WriteResult result) {
  result.last_accepted = this->log.Number();
  operation->done(std::move(result));
}

}  // namespace sycamoredrum
