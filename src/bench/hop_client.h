#pragma once

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/http.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// One keep-alive connection with blocking calls. Throws std::runtime_error if the connection
/// cannot be opened or a call gets no complete answer. Not thread-safe.
class BlockingConnection {
 public:
  BlockingConnection(EventLoop& loop, const Endpoint& endpoint);

  nlohmann::json Call(const std::string& method, const std::string& target,
                      const nlohmann::json& body, const HttpHeaders& headers = {});

 private:
  std::unique_ptr<HttpConnection> connection;
};

/// Caller that sends its requests to an entry proxy. Throws std::runtime_error if a request has no
/// result.
class ProxiedCaller {
 public:
  ProxiedCaller(EventLoop& loop, const Endpoint& proxy, std::string token);

  void Read(const std::string& key);
  void Write(const std::string& key);

 private:
  void Execute(const nlohmann::json& body);

  BlockingConnection connection;
  HttpHeaders headers;
  std::string session;
};

/// Caller that does the same work without a proxy, as the baseline: it reads from one backend
/// server, and writes to the primary and waits until one replica contains the write. Throws
/// std::runtime_error if a request has no result.
class DirectCaller {
 public:
  DirectCaller(EventLoop& loop, const Endpoint& read_statements, const Endpoint& primary_statements,
               const Endpoint& replica_control, std::uint64_t term);

  void Read(const std::string& key);
  void Write(const std::string& key);

 private:
  BlockingConnection reader;
  BlockingConnection writer;
  BlockingConnection control;
  std::uint64_t term;
};

/// Size in bytes of a complete answer to `GET target`, with its headers.
std::size_t AnswerBytes(const Endpoint& endpoint, const std::string& target);

}  // namespace sycamoredrum
