#pragma once

// Stand-in of the platform's store: keys with revisions, leases, watches and conditional writes.
// It serves HTTP/1.1 on any number of addresses; the program says which relay uses which address.

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "event_loop.h"

namespace review {

using Json = nlohmann::json;

struct HttpMessage {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
};

inline std::string PercentDecode(const std::string& text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

/// Takes one complete HTTP request from the front of `input`.
inline bool TakeHttpMessage(std::string& input, HttpMessage& message) {
  const std::size_t end = input.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  message = HttpMessage();
  std::size_t line_end = input.find("\r\n");
  const std::string first = input.substr(0, line_end);
  message.method = first.substr(0, first.find(' '));
  std::string target = first.substr(first.find(' ') + 1);
  target = target.substr(0, target.find(' '));
  const std::size_t mark = target.find('?');
  message.path = target.substr(0, mark);
  std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t next = rest.find('&');
    const std::string pair = rest.substr(0, next);
    message.query[pair.substr(0, pair.find('='))] =
        PercentDecode(pair.substr(std::min(pair.find('=') + 1, pair.size())));
    rest = next == std::string::npos ? "" : rest.substr(next + 1);
  }
  while (line_end < end) {
    const std::size_t start = line_end + 2;
    line_end = input.find("\r\n", start);
    const std::string line = input.substr(start, line_end - start);
    std::string name = line.substr(0, line.find(':'));
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const std::size_t value = line.find_first_not_of(' ', line.find(':') + 1);
    message.headers[name] = value == std::string::npos ? "" : line.substr(value);
  }
  const std::size_t length = message.headers.count("content-length") != 0
                                 ? std::stoul(message.headers["content-length"])
                                 : 0;
  if (input.size() < end + 4 + length) {
    return false;
  }
  message.body = input.substr(end + 4, length);
  input.erase(0, end + 4 + length);
  return true;
}

inline void SendHttp(const StreamPointer& stream, int status, const Json& body) {
  const std::string text = body.dump();
  stream->Send("HTTP/1.1 " + std::to_string(status) +
               " x\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(text.size()) + "\r\n\r\n" + text);
}

inline std::string Base64Encode(const std::string& bytes) {
  static const char* kLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string result;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      result += j <= count ? kLetters[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return result;
}

class Store {
 public:
  explicit Store(EventLoop& loop) : loop(loop) { this->ExpireLeases(); }

  /// Serves the store on an address. While `reachable` returns false, requests are read and
  /// dropped, as on a link that loses all packets.
  std::uint16_t Serve(const std::string& host, std::function<bool()> reachable) {
    return this->loop.Listen(host, 0, [this, reachable](const StreamPointer& stream) {
      const std::weak_ptr<Stream> weak = stream;
      stream->received = [this, weak, reachable] {
        const StreamPointer open = weak.lock();
        HttpMessage message;
        while (open && open->Open() && TakeHttpMessage(open->input, message)) {
          if (reachable()) {
            this->Handle(open, message, reachable);
          }
        }
      };
    });
  }

  /// Writes a key without a condition, as the operator and the instances do.
  void Put(const std::string& key, const std::string& value, std::uint64_t lease = 0) {
    Item& item = this->items[key];
    item.value = Base64Encode(value);
    this->Touch(key, item, lease);
  }

  void Remove(const std::string& key) {
    if (this->items.erase(key) != 0) {
      this->changes.emplace_back(++this->revision, key);
      this->AnswerWatches();
    }
  }

  bool Has(const std::string& key) const { return this->items.count(key) != 0; }

  std::size_t Count(const std::string& prefix) const {
    return static_cast<std::size_t>(
        std::count_if(this->items.begin(), this->items.end(),
                      [&](const auto& item) { return item.first.rfind(prefix, 0) == 0; }));
  }

 private:
  struct Item {
    std::string value;  ///< As base64 text.
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Milliseconds time_to_live{};
    TimePoint expires_at;
  };
  struct Watch {
    std::weak_ptr<Stream> stream;
    std::string prefix;
    std::uint64_t after = 0;
    TimePoint until;
    std::function<bool()> reachable;
  };

  void Touch(const std::string& key, Item& item, std::uint64_t lease) {
    item.revision = ++this->revision;
    item.created = item.created == 0 ? item.revision : item.created;
    item.lease = lease;
    this->changes.emplace_back(this->revision, key);
    this->AnswerWatches();
  }

  Json ItemJson(const std::string& key, const Item& item) const {
    return {{"key", key},
            {"value", item.value},
            {"rev", item.revision},
            {"createRevision", item.created},
            {"lease", item.lease}};
  }

  void Handle(const StreamPointer& stream, const HttpMessage& message,
              const std::function<bool()>& reachable) {
    const std::string keep = "/sycamoredrum/kv-keep/";
    const std::string end = "/sycamoredrum/kv-lease-end/";
    if (message.path == "/sycamoredrum/kv-range") {
      Json body = {{"items", Json::array()}, {"hasMore", false}, {"currentRev", this->revision}};
      const std::string prefix = this->Parameter(message, "prefix");
      const std::string after = this->Parameter(message, "after");
      for (const auto& [key, item] : this->items) {
        if (key.rfind(prefix, 0) == 0 && (after.empty() || key > after)) {
          body["items"].push_back(this->ItemJson(key, item));
        }
      }
      SendHttp(stream, 200, body);
    } else if (message.path == "/sycamoredrum/kv-watch") {
      const Milliseconds wait(std::stol(this->Parameter(message, "waitMs")));
      this->watches.push_back(Watch{stream, this->Parameter(message, "prefix"),
                                    std::stoull(this->Parameter(message, "after")),
                                    Clock::now() + wait, reachable});
      this->loop.RunAfter(wait, [this] { this->AnswerWatches(); });
      this->AnswerWatches();
    } else if (message.path == "/sycamoredrum/kv-txn") {
      this->Write(stream, Json::parse(message.body));
    } else if (message.path == "/sycamoredrum/kv-lease") {
      const Milliseconds time(Json::parse(message.body).at("ttlMs").get<int>());
      const std::uint64_t lease = this->next_lease++;
      this->leases[lease] = Lease{time, Clock::now() + time};
      SendHttp(stream, 200, {{"lease", lease}, {"ttlMs", time.count()}});
    } else if (message.path.rfind(keep, 0) == 0) {
      const auto found = this->leases.find(std::stoull(message.path.substr(keep.size())));
      if (found != this->leases.end()) {
        found->second.expires_at = Clock::now() + found->second.time_to_live;
      }
      SendHttp(stream, found == this->leases.end() ? 404 : 200, Json::object());
    } else if (message.path.rfind(end, 0) == 0) {
      this->EndLease(std::stoull(message.path.substr(end.size())));
      SendHttp(stream, 200, Json::object());
    } else {
      SendHttp(stream, 404, Json::object());
    }
  }

  static std::string Parameter(const HttpMessage& message, const std::string& name) {
    const auto found = message.query.find(name);
    return found == message.query.end() ? "" : found->second;
  }

  void Write(const StreamPointer& stream, const Json& body) {
    Json present = Json::array();
    bool conflict = false;
    for (const Json& condition : body.at("expected")) {
      const std::string key = condition.at("key");
      const auto found = this->items.find(key);
      const std::uint64_t actual = found == this->items.end() ? 0 : found->second.revision;
      conflict = conflict || actual != condition.at("rev").get<std::uint64_t>();
      if (found != this->items.end()) {
        present.push_back(this->ItemJson(key, found->second));
      }
    }
    if (conflict) {
      SendHttp(stream, 412, {{"items", present}});
      return;
    }
    for (const Json& put : body.at("puts")) {
      const std::uint64_t lease = put.value("lease", std::uint64_t{0});
      if (lease != 0 && this->leases.count(lease) == 0) {
        SendHttp(stream, 404, Json::object());
        return;
      }
    }
    for (const Json& put : body.at("puts")) {
      const std::string key = put.at("key");
      Item& item = this->items[key];
      item.value = put.at("value");
      this->Touch(key, item, put.value("lease", std::uint64_t{0}));
    }
    for (const Json& key : body.at("deletes")) {
      this->Remove(key);
    }
    SendHttp(stream, 200, {{"rev", this->revision}});
  }

  void EndLease(std::uint64_t lease) {
    this->leases.erase(lease);
    std::vector<std::string> ended;
    for (const auto& [key, item] : this->items) {
      if (item.lease == lease) {
        ended.push_back(key);
      }
    }
    for (const std::string& key : ended) {
      this->Remove(key);
    }
  }

  void ExpireLeases() {
    std::vector<std::uint64_t> expired;
    for (const auto& [id, lease] : this->leases) {
      if (lease.expires_at <= Clock::now()) {
        expired.push_back(id);
      }
    }
    for (const std::uint64_t id : expired) {
      this->EndLease(id);
    }
    this->loop.RunAfter(Milliseconds(20), [this] { this->ExpireLeases(); });
  }

  void AnswerWatches() {
    std::vector<Watch> waiting;
    waiting.swap(this->watches);
    for (const Watch& watch : waiting) {
      const StreamPointer stream = watch.stream.lock();
      if (!stream || !stream->Open() || !watch.reachable()) {
        continue;
      }
      Json events = Json::array();
      for (const auto& [changed, key] : this->changes) {
        if (changed <= watch.after || key.rfind(watch.prefix, 0) != 0) {
          continue;
        }
        const auto item = this->items.find(key);
        if (item == this->items.end()) {
          events.push_back({{"key", key}, {"rev", changed}, {"tombstone", true}});
        } else if (item->second.revision == changed) {
          events.push_back(this->ItemJson(key, item->second));
        }
      }
      if (events.empty() && Clock::now() < watch.until) {
        this->watches.push_back(watch);
        continue;
      }
      SendHttp(stream, 200, {{"events", events}, {"currentRev", this->revision}});
    }
  }

  EventLoop& loop;
  std::map<std::string, Item> items;
  std::map<std::uint64_t, Lease> leases;
  std::vector<std::pair<std::uint64_t, std::string>> changes;  ///< Revision and key.
  std::vector<Watch> watches;
  std::uint64_t revision = 10;
  std::uint64_t next_lease = 1;
};

}  // namespace review
