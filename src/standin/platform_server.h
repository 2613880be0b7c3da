#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "platform_model.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/http.h"
#include "test_gate.h"

namespace sycamoredrum {

/// Serves one PlatformModel and the VM list over HTTP as described in docs/platform-interface.md.
///
/// One mutex guards the model and the members below it. Lock order: this mutex, then those of the
/// HTTP server and of the gate. Destroy it after EventLoop::Join.
class PlatformServer {
 public:
  explicit PlatformServer(EventLoop& loop);

  /// Starts the port and the expiry of leases. Returns an error, or nothing.
  std::optional<std::string> Start(const Endpoint& endpoint);

  std::uint16_t Port() const { return this->port; }
  HttpServer& Server() { return *this->server; }

 private:
  using Handler = void (PlatformServer::*)(const HttpRequest&, const HttpRespond&);

  void OnRequest(const HttpRequest& request, const HttpRespond& respond);
  void OnTestRequest(const HttpRequest& request, const HttpRespond& respond);
  void Serve(const HttpRequest& request, const HttpRespond& respond);
  void Run(Handler handler, const HttpRequest& request, const HttpRespond& respond);

  void Get(const HttpRequest& request, const HttpRespond& respond);
  void Put(const HttpRequest& request, const HttpRespond& respond);
  void List(const HttpRequest& request, const HttpRespond& respond);
  void Watch(const HttpRequest& request, const HttpRespond& respond);
  void CreateLease(const HttpRequest& request, const HttpRespond& respond);
  void RenewLease(const HttpRequest& request, const HttpRespond& respond);
  void Vms(const HttpRequest& request, const HttpRespond& respond);

  void TestVms(const HttpRequest& request, const HttpRespond& respond);
  void TestCalls(const HttpRequest& request, const HttpRespond& respond);
  void TestOutage(const HttpRequest& request, const HttpRespond& respond);
  void TestFreeze(const HttpRequest& request, const HttpRespond& respond);
  void TestCut(const HttpRequest& request, const HttpRespond& respond);
  void TestSlow(const HttpRequest& request, const HttpRespond& respond);
  void TestLoseAnswers(const HttpRequest& request, const HttpRespond& respond);

  void RetryWatches();
  void ExpireLeases();

  EventLoop& loop;
  TestGate gate;
  std::unique_ptr<HttpServer> server;
  std::uint16_t port = 0;

  std::mutex mutex;
  PlatformModel model;
  VmList vms;
  std::map<std::string, std::uint64_t> calls;  ///< Number of calls of each kind.
  std::list<std::function<bool()>> watches;    ///< Each returns true when it has answered.
  bool outage = false;
  Duration delay{};         ///< Added to each call that is not a test switch.
  int answers_to_lose = 0;  ///< Answers to writes that are still to be replaced by closing.
};

}  // namespace sycamoredrum
