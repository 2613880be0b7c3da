#include <gtest/gtest.h>

#include "sycamoredrum/admission.h"
#include "sycamoredrum/manual_clock.h"
#include "sycamoredrum/retry_budget.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against retries that multiply the load, and against a group with few requests that may
// never retry.
TEST(RetryBudgetTest, AllowsTenPercentAndOneASecond) {
  struct Case {
    int requests_per_second;
    int retries_per_second;
  };
  for (const Case& c : {Case{0, 1}, Case{5, 1}, Case{10, 1}, Case{100, 10}, Case{1000, 100}}) {
    ManualClock clock;
    RetryBudget budget(clock);
    int retries = 0;
    for (int step = 0; step < 20 * 100; ++step) {
      const int before = c.requests_per_second * step / 100;
      const int after = c.requests_per_second * (step + 1) / 100;
      for (int i = before; i < after; ++i) {
        budget.RecordRequest("orders");
      }
      while (budget.TrySpend("orders")) {
        ++retries;
      }
      clock.Advance(milliseconds(10));
    }
    EXPECT_EQ(retries, 20 * c.retries_per_second) << c.requests_per_second;
    EXPECT_TRUE(budget.TrySpend("quiet")) << "budgets are not shared";
  }
}

// Guards against retries that are allowed because of requests from before the window.
TEST(RetryBudgetTest, RequestsOutsideTheWindowDoNotCount) {
  ManualClock clock;
  RetryBudget budget(clock);
  for (int i = 0; i < 1000; ++i) {
    budget.RecordRequest("orders");
  }
  clock.Advance(RetryBudget::kWindow + seconds(5));
  EXPECT_TRUE(budget.TrySpend("orders"));
  EXPECT_FALSE(budget.TrySpend("orders"));
}

// Guards against delays without jitter or beyond the bounds.
TEST(BackoffTest, FullJitterUpToTheBound) {
  std::uint64_t value = 0;
  Backoff smallest([&value] { return value; });
  EXPECT_EQ(smallest.Next(), Duration::zero());
  const int bounds_ms[] = {10, 20, 40, 80, 160, 320, 500, 500};
  Backoff backoff([&value] { return value; });
  for (const int bound_ms : bounds_ms) {
    value = static_cast<std::uint64_t>(Duration(milliseconds(bound_ms)).count());
    EXPECT_EQ(backoff.Next(), milliseconds(bound_ms));
  }
  value = static_cast<std::uint64_t>(Duration(milliseconds(500)).count()) + 1;
  EXPECT_EQ(backoff.Next(), Duration::zero());
}

// Guards against a caller group or a proxy that exceeds its limit, and against a stop that
// interrupts open transactions.
TEST(AdmissionTest, LimitsGroupsTotalAndStop) {
  constexpr auto kNewWork = AdmissionKind::kNewWork;
  Admission admission(3);
  EXPECT_EQ(admission.TryEnter("runaway", 2, kNewWork), AdmissionVerdict::kAdmitted);
  EXPECT_EQ(admission.TryEnter("runaway", 2, kNewWork), AdmissionVerdict::kAdmitted);
  EXPECT_EQ(admission.TryEnter("runaway", 2, kNewWork), AdmissionVerdict::kGroupLimit);
  EXPECT_EQ(admission.TryEnter("orders", 2, kNewWork), AdmissionVerdict::kAdmitted);
  EXPECT_EQ(admission.TryEnter("orders", 2, kNewWork), AdmissionVerdict::kTotalLimit);
  admission.Leave("runaway");
  admission.Leave("stock");
  EXPECT_EQ(admission.InProgress(), 2);
  admission.Stop();
  EXPECT_EQ(admission.TryEnter("orders", 2, kNewWork), AdmissionVerdict::kStopping);
  EXPECT_EQ(admission.TryEnter("orders", 2, AdmissionKind::kTransactionStep),
            AdmissionVerdict::kAdmitted);
  admission.Leave("runaway");
  admission.Leave("orders");
  admission.Leave("orders");
  EXPECT_EQ(admission.InProgress(), 0);
}

}  // namespace
}  // namespace sycamoredrum
