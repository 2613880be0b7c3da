#include <gtest/gtest.h>

#include <atomic>

#include "loopback_fleet_test.h"

namespace sycamoredrum {
namespace {

constexpr int kProxies = 3;

// A started proxy.
class RunningProxy {
 public:
  explicit RunningProxy(const ProxySettings& settings) : proxy(settings) {
    EXPECT_TRUE(this->proxy.Start()) << this->proxy.LastReason();
  }
  void Run() { this->proxy.Run(); }

 private:
  Proxy proxy;
};

// Sends reads and writes through all proxies until it is destroyed.
class Load {
 public:
  explicit Load(LoopbackFleet& fleet) {
    for (int i = 0; i < kProxies; ++i) {
      this->threads.emplace_back([this, &fleet, i] {
        for (int number = 0; !this->done; ++number) {
          fleet.Execute(i, number % 2 == 0 ? "PUT key x" : "GET key", number % 2 != 0);
        }
      });
    }
  }
  ~Load() {
    this->done = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }

 private:
  std::atomic<bool> done{false};
  std::vector<std::thread> threads;
};

// Guards against data races, use after destruction and lock-order inversions between the services
// of the daemon, in normal operation and in a graceful stop with requests in progress.
TEST(ProxyConcurrentTest, DrainsUnderLoadRepeatedly) {
  LoopbackFleet fleet;
  for (int round = 0; round < 2; ++round) {
    std::vector<std::unique_ptr<RunningProxy>> proxies;
    for (int i = 0; i < kProxies; ++i) {
      proxies.push_back(std::make_unique<RunningProxy>(fleet.Settings(i)));
    }
    for (int i = 0; i < kProxies; ++i) {
      ASSERT_TRUE(fleet.WaitUntilServing(i));
    }
    const Load load(fleet);
    for (int i = kProxies - 1; i >= 0; --i) {
      EXPECT_EQ(fleet.Call(fleet.AdminAddress(i), "POST", "/v1/drain").response.status, 202);
      proxies[i]->Run();
      proxies[i].reset();
    }
  }
}

// Guards against callbacks that use destroyed objects when a proxy is destroyed with requests,
// probes, timers and peer calls in progress.
TEST(ProxyConcurrentTest, IsDestroyedUnderLoad) {
  LoopbackFleet fleet;
  std::vector<std::unique_ptr<RunningProxy>> proxies;
  for (int i = 0; i < kProxies; ++i) {
    proxies.push_back(std::make_unique<RunningProxy>(fleet.Settings(i)));
  }
  for (int i = 0; i < kProxies; ++i) {
    ASSERT_TRUE(fleet.WaitUntilServing(i));
  }
  const Load load(fleet);
  for (int i = 0; i < kProxies; ++i) {
    ASSERT_TRUE(fleet.WaitUntilServing(i));
    proxies[i].reset();
  }
}

}  // namespace
}  // namespace sycamoredrum
