#include "platform_access.h"

#include <fmt/format.h>

#include <future>
#include <mutex>
#include <utility>
#include <vector>

#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/http.h"
#include "sycamoredrum/platform_http.h"

namespace sycamoredrum {
namespace {

// Returns a client that runs all callbacks under `mutex`, because the writer is not thread-safe.
PlatformClient SerialClient(PlatformClient platform, std::mutex& mutex) {
  PlatformClient serial;
  serial.get = [platform, &mutex](const std::string& key, PlatformClient::GetCallback callback) {
    platform.get(key, [&mutex, callback](PlatformStatus status, std::optional<KeyValue> item) {
      const std::lock_guard<std::mutex> lock(mutex);
      callback(status, std::move(item));
    });
  };
  serial.put = [platform, &mutex](const std::string& key, const std::string& value,
                                  std::uint64_t expected_revision,
                                  PlatformClient::PutCallback callback) {
    platform.put(key, value, expected_revision,
                 [&mutex, callback](PlatformStatus status, std::uint64_t revision) {
                   const std::lock_guard<std::mutex> lock(mutex);
                   callback(status, revision);
                 });
  };
  serial.list = [platform, &mutex](const std::string& prefix, const std::string& after, int limit,
                                   PlatformClient::ListCallback callback) {
    platform.list(prefix, after, limit,
                  [&mutex, callback](PlatformStatus status, std::vector<KeyValue> items) {
                    const std::lock_guard<std::mutex> lock(mutex);
                    callback(status, std::move(items));
                  });
  };
  return serial;
}

struct Page {
  PlatformStatus status = PlatformStatus::kUnavailable;
  std::vector<KeyValue> items;
};

std::vector<SerializedTicket> TicketsInPage(const Page& page) {
  std::vector<SerializedTicket> tickets;
  for (const KeyValue& item : page.items) {
    const std::optional<std::uint64_t> number = ParseTicketKey(item.key);
    if (number) {
      tickets.push_back(SerializedTicket{*number, item.value});
    }
  }
  return tickets;
}

}  // namespace

struct PlatformAccess::Impl {
  explicit Impl(const Endpoint& endpoint)
      : endpoint(endpoint),
        client(loop, HttpClientOptions()),
        platform(SerialClient(
            MakePlatformClient(client, endpoint, [](const std::string&, const std::string&) {}),
            mutex)),
        writer(platform, log, loop) {}

  Page List(const std::string& after) {
    std::promise<Page> promise;
    this->platform.list(std::string(kTicketKeyPrefix), after, TicketWriter::kPageSize,
                        [&promise](PlatformStatus status, std::vector<KeyValue> items) {
                          promise.set_value(Page{status, std::move(items)});
                        });
    return promise.get_future().get();
  }

  Endpoint endpoint;
  std::mutex mutex;
  // Has one worker thread, so that the timers and callbacks of the writer run one at a time.
  EventLoop loop{1};
  HttpClient client;
  ConfigurationLog log;
  PlatformClient platform;
  TicketWriter writer;
};

PlatformAccess::PlatformAccess(const Endpoint& platform) : impl(std::make_unique<Impl>(platform)) {}

PlatformAccess::~PlatformAccess() {
  this->impl->loop.Stop();
  this->impl->loop.Join();
}

const ConfigurationLog& PlatformAccess::Log() const { return this->impl->log; }

bool PlatformAccess::ReadTickets() {
  ConfigurationLog& log = this->impl->log;
  std::string after = TicketKey(log.Number());
  while (true) {
    const Page page = this->impl->List(after);
    if (page.status != PlatformStatus::kOk) {
      this->last_reason =
          fmt::format("{}: the platform is unavailable", this->impl->endpoint.ToString());
      return false;
    }
    log.Offer(TicketsInPage(page));
    if (log.DroppedTickets() != 0) {
      this->last_reason = fmt::format("{}: holds a ticket that this version cannot read: {}",
                                      this->impl->endpoint.ToString(), log.LastReason());
      return false;
    }
    if (page.items.size() < TicketWriter::kPageSize) {
      return true;
    }
    after = page.items.back().key;
  }
}

WriteResult PlatformAccess::Write(const Ticket& ticket) {
  std::promise<WriteResult> promise;
  this->impl->loop.Post([&] {
    this->impl->writer.Write(
        ticket, [&promise](WriteResult result) { promise.set_value(std::move(result)); });
  });
  return promise.get_future().get();
}

}  // namespace sycamoredrum
