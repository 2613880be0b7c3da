#include "sycamoredrum/configuration_log.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "test_tickets.h"

namespace sycamoredrum {
namespace {

// Guards against tickets that are applied out of order, twice or across a gap, and against a number
// that decreases. rc::check prints its seed; RC_PARAMS="seed=N" repeats a run.
TEST(ConfigurationLogTest, DeliveryOrderDoesNotAffectTheConfiguration) {
  EXPECT_TRUE(rc::check("the log equals the delivered prefix applied in order", [] {
    const auto deliveries =
        *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 13));
    ConfigurationLog log;
    std::uint64_t last = 0;
    std::set<std::uint64_t> delivered;
    for (const std::uint64_t number : deliveries) {
      delivered.insert(number);
      log.Offer({SerializedTicket{number, SerializeTicket(MakeTicket(number, "t"))}});
      RC_ASSERT(log.Number() >= last);
      last = log.Number();
      Configuration expected;
      while (delivered.count(expected.Number() + 1) != 0) {
        expected = expected.With(MakeTicket(expected.Number() + 1, "t"));
      }
      RC_ASSERT(*log.Current() == expected);
    }
  }));
}

// Guards against applying a ticket that is stored under the wrong key or that cannot be parsed.
TEST(ConfigurationLogTest, DropsMalformedTickets) {
  ConfigurationLog log;
  EXPECT_FALSE(log.Offer({SerializedTicket{1, "{}"}}));
  EXPECT_FALSE(log.Offer({SerializedTicket{1, SerializeTicket(MakeTicket(2, "t"))}}));
  EXPECT_EQ(log.DroppedTickets(), 2U);
  EXPECT_EQ(log.Number(), 0U);
  EXPECT_EQ(log.LastReason(), "ticket 1: number: is 2 in the ticket with key number 1");
}

// Guards against pages that are too large for a peer frame, and against listeners that are not
// notified of a change.
TEST(ConfigurationLogTest, PagesAreBounded) {
  ConfigurationLog log;
  std::uint64_t notified_number = 0;
  log.AddListener([&](const auto& configuration) { notified_number = configuration->Number(); });
  std::vector<SerializedTicket> tickets;
  for (std::uint64_t number = 1; number <= 8; ++number) {
    Ticket ticket = MakeTicket(number, "t");
    ticket.author = std::string(ConfigurationLog::kMaxPageBytes / 4, 'a');
    tickets.push_back(SerializedTicket{number, SerializeTicket(ticket)});
  }
  EXPECT_TRUE(log.Offer(tickets));
  EXPECT_EQ(notified_number, 8U);
  EXPECT_EQ(log.TicketsAfter(2, 2).size(), 2U);
  EXPECT_EQ(log.TicketsAfter(0, 64).size(), 3U);
  EXPECT_EQ(log.TicketsAfter(8, 64).size(), 0U);
  EXPECT_EQ(log.ConfigurationAt(5).Number(), 5U);
}

// Guards against unbounded memory while a ticket is missing, and against a log that cannot catch up
// once the missing ticket arrives.
TEST(ConfigurationLogTest, PendingTicketsAreBounded) {
  ConfigurationLog log;
  const std::uint64_t last = ConfigurationLog::kMaxPendingTickets + 50;
  std::vector<SerializedTicket> tickets;
  for (std::uint64_t number = 2; number <= last; ++number) {
    tickets.push_back(SerializedTicket{number, SerializeTicket(MakeTicket(number, "t"))});
  }
  EXPECT_FALSE(log.Offer(tickets));
  EXPECT_TRUE(log.HasGap());
  log.Offer({SerializedTicket{1, SerializeTicket(MakeTicket(1, "t"))}});
  EXPECT_EQ(log.Number(), ConfigurationLog::kMaxPendingTickets + 1);
  log.Offer(tickets);
  EXPECT_EQ(log.Number(), last);
}

}  // namespace
}  // namespace sycamoredrum
