#include "sycamoredrum/ticket_writer.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "sycamoredrum/manual_clock.h"
#include "test_tickets.h"

namespace sycamoredrum {
namespace {

class TicketWriterTest : public testing::Test {
 protected:
  struct Writer {
    Writer(FakePlatform& platform, Scheduler& scheduler)
        : writer(platform.Client(), this->log, scheduler) {}
    void Write(const Ticket& ticket) {
      this->writer.Write(ticket, [this](WriteResult done) { this->results.push_back(done); });
    }
    ConfigurationLog log;
    TicketWriter writer;
    std::vector<WriteResult> results;
  };

  WriteResult WriteOnce(const Ticket& ticket) {
    Writer one(this->platform, this->clock);
    one.Write(ticket);
    this->clock.Advance(std::chrono::minutes(1));
    EXPECT_EQ(one.results.size(), 1U);
    return one.results.at(0);
  }
  void StoreUpTo(std::uint64_t last) {
    for (std::uint64_t number = 1; number <= last; ++number) {
      this->platform.Store(MakeTicket(number, "t"));
    }
  }

  ManualClock clock;
  FakePlatform platform{clock};
};

// Guards against two writers that both report the same number as accepted for their tickets, and
// against a conflict result without the ticket that was accepted.
TEST_F(TicketWriterTest, OneOfTwoRacingWritersWins) {
  this->StoreUpTo(2);
  Writer first(this->platform, this->clock);
  Writer second(this->platform, this->clock);
  first.Write(MakeTicket(3, "first"));
  second.Write(MakeTicket(3, "second"));
  this->clock.Advance(std::chrono::minutes(1));
  ASSERT_EQ(first.results.size(), 1U);
  ASSERT_EQ(second.results.size(), 1U);
  EXPECT_EQ(first.results[0].status, WriteStatus::kAccepted);
  EXPECT_EQ(second.results[0].status, WriteStatus::kConflict);
  ASSERT_TRUE(second.results[0].winner.has_value());
  EXPECT_EQ(second.results[0].winner->id, "first-3");
  EXPECT_THAT(second.results[0].winner_diff, testing::ElementsAre("caller group group-0: added"));
  EXPECT_EQ(second.log.Number(), 3U);
}

struct FaultCase {
  const char* name;
  int lost_after;   ///< Puts whose answer is lost after the effect.
  int lost_before;  ///< Puts whose answer is lost without effect.
  int failing_gets;
  bool down;
  WriteStatus expected;
  bool stored;
};

// Guards against a wrong result after a lost answer: "accepted" although the ticket is not stored,
// or "not written" although it is.
TEST_F(TicketWriterTest, ResultMatchesTheStoredStateAfterFaults) {
  const std::vector<FaultCase> cases = {
      {"no fault", 0, 0, 0, false, WriteStatus::kAccepted, true},
      {"outage", 0, 0, 0, true, WriteStatus::kUnavailable, false},
      {"answer lost after the effect", 1, 0, 0, false, WriteStatus::kAccepted, true},
      {"answer lost before the effect", 0, 1, 0, false, WriteStatus::kAccepted, true},
      {"read-back fails once", 1, 0, 1, false, WriteStatus::kAccepted, true},
      {"read-back fails for long", 1, 0, 100, false, WriteStatus::kUnknown, true},
      {"no write gets through", 0, 100, 0, false, WriteStatus::kUnknown, false},
  };
  for (const FaultCase& fault : cases) {
    SCOPED_TRACE(fault.name);
    this->platform.values.clear();
    this->StoreUpTo(1);
    this->platform.lost_answers_after_effect = fault.lost_after;
    this->platform.lost_answers_before_effect = fault.lost_before;
    this->platform.failing_gets = fault.failing_gets;
    this->platform.down = fault.down;
    EXPECT_EQ(this->WriteOnce(MakeTicket(2, "own")).status, fault.expected);
    EXPECT_EQ(this->platform.values.count(TicketKey(2)) != 0, fault.stored);
    // The operator runs the same command again once the fault is over.
    this->platform.lost_answers_before_effect = 0;
    this->platform.failing_gets = 0;
    this->platform.down = false;
    EXPECT_EQ(this->WriteOnce(MakeTicket(2, "own")).status, WriteStatus::kAccepted);
  }
}

// Guards against reporting a lost race as success because the answer to the put was lost.
TEST_F(TicketWriterTest, LostAnswerAndAnotherWinnerIsAConflict) {
  this->platform.lost_answers_before_effect = 1;
  Writer writer(this->platform, this->clock);
  writer.Write(MakeTicket(1, "own"));
  this->clock.Advance(std::chrono::milliseconds(5));
  this->platform.Store(MakeTicket(1, "other"));
  this->clock.Advance(std::chrono::minutes(1));
  ASSERT_EQ(writer.results.size(), 1U);
  EXPECT_EQ(writer.results[0].status, WriteStatus::kConflict);
  EXPECT_EQ(writer.results[0].winner->id, "other-1");
}

// Guards against a number that is accepted while the preceding one is free, also when the writer
// must read several pages first.
TEST_F(TicketWriterTest, GapAndLongHistory) {
  this->StoreUpTo(200);
  const WriteResult gap = this->WriteOnce(MakeTicket(202, "own"));
  EXPECT_EQ(gap.status, WriteStatus::kGap);
  EXPECT_EQ(gap.last_accepted, 200U);
  EXPECT_EQ(this->platform.puts, 0);
  EXPECT_EQ(this->WriteOnce(MakeTicket(201, "own")).status, WriteStatus::kAccepted);
  EXPECT_EQ(this->WriteOnce(MakeTicket(7, "own")).status, WriteStatus::kConflict);
}

// Guards against invalid tickets in the platform's store, which every proxy would have to reject.
TEST_F(TicketWriterTest, InvalidTicketsAreNotWritten) {
  this->StoreUpTo(1);
  Ticket dangling = MakeTicket(2, "own");
  dangling.caller_groups[0].databases = {"missing"};
  Ticket used_id = MakeTicket(2, "own");
  used_id.id = "t-1";
  Ticket unreadable = MakeTicket(2, "own");
  unreadable.caller_groups[0].weight = 0;
  Ticket zero = MakeTicket(0, "own");
  Ticket large = MakeTicket(2, "own");
  large.author = std::string(kMaxTicketBytes, 'a');
  for (const Ticket& ticket : {dangling, used_id, unreadable, zero, large}) {
    const WriteResult result = this->WriteOnce(ticket);
    EXPECT_EQ(result.status, WriteStatus::kInvalid);
    EXPECT_EQ(result.findings.Items().size(), 1U) << result.findings.ToString();
  }
  EXPECT_EQ(this->platform.puts, 0);
}

}  // namespace
}  // namespace sycamoredrum
