#include "hop_client.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <future>
#include <stdexcept>
#include <utility>

namespace sycamoredrum {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kTimeout{5};

HttpResult WaitFor(const std::function<void(HttpCallback)>& start) {
  auto promise = std::make_shared<std::promise<HttpResult>>();
  start([promise](const HttpResult& result) { promise->set_value(result); });
  return promise->get_future().get();
}

void Require(bool condition, const std::string& what) {
  if (!condition) {
    throw std::runtime_error(what);
  }
}

json Position(const json& answer) { return answer.at("position"); }

}  // namespace

BlockingConnection::BlockingConnection(EventLoop& loop, const Endpoint& endpoint)
    : connection(std::make_unique<HttpConnection>(loop, HttpClientOptions(), endpoint)) {
  const HttpResult result =
      WaitFor([this](HttpCallback done) { this->connection->Connect(kTimeout, std::move(done)); });
  Require(result.Ok(), "cannot connect to " + endpoint.ToString() + ": " + result.message);
}

json BlockingConnection::Call(const std::string& method, const std::string& target,
                              const json& body, const HttpHeaders& headers) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.headers = headers;
  request.body = body.is_null() ? "" : body.dump();
  const HttpResult result = WaitFor(
      [&](HttpCallback done) { this->connection->Send(request, kTimeout, std::move(done)); });
  Require(result.Ok(), target + " failed: " + result.message);
  return json::parse(result.response.body, nullptr, /*allow_exceptions=*/false);
}

ProxiedCaller::ProxiedCaller(EventLoop& loop, const Endpoint& proxy, std::string token)
    : connection(loop, proxy), headers({HttpHeader{"Authorization", "Bearer " + token}}) {}

void ProxiedCaller::Read(const std::string& key) {
  this->Execute({{"statements", {"GET " + key}}, {"read_only", true}});
}

void ProxiedCaller::Write(const std::string& key) {
  this->Execute({{"statements", {"PUT " + key + " value"}}});
}

void ProxiedCaller::Execute(const json& body) {
  HttpHeaders all = this->headers;
  if (!this->session.empty()) {
    all.push_back(HttpHeader{"Sycamoredrum-Session", this->session});
  }
  const json answer = this->connection.Call("POST", "/v1/databases/orders/execute", body, all);
  Require(answer.value("outcome", "") == "result", "no result: " + answer.dump());
  this->session = answer.value("session", this->session);
}

DirectCaller::DirectCaller(EventLoop& loop, const Endpoint& read_statements,
                           const Endpoint& primary_statements, const Endpoint& replica_control,
                           std::uint64_t term)
    : reader(loop, read_statements),
      writer(loop, primary_statements),
      control(loop, replica_control),
      term(term) {
  const json open = {{"database", "orders"}};
  this->reader.Call("POST", "/v1/open", open);
  this->writer.Call("POST", "/v1/open", open);
}

void DirectCaller::Read(const std::string& key) {
  const json body = {{"write", false}, {"statements", {"GET " + key}}};
  const json answer = this->reader.Call("POST", "/v1/execute", body);
  Require(answer.contains("results"), "direct read failed: " + answer.dump());
}

void DirectCaller::Write(const std::string& key) {
  const json body = {
      {"write", true}, {"term", this->term}, {"statements", {"PUT " + key + " value"}}};
  const json answer = this->writer.Call("POST", "/v1/execute", body);
  Require(answer.contains("results"), "direct write failed: " + answer.dump());
  const json wait = {{"position", Position(answer)}, {"timeout_ms", 1000}};
  const json confirmed = this->control.Call("POST", "/v1/wait", wait);
  Require(confirmed.value("outcome", "") == "contained", "not confirmed: " + confirmed.dump());
}

std::size_t AnswerBytes(const Endpoint& endpoint, const std::string& target) {
  const int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  std::size_t total = 0;
  if (connect(socket_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
    const std::string request =
        absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    send(socket_fd, request.data(), request.size(), MSG_NOSIGNAL);
    std::array<char, 65536> buffer{};
    for (ssize_t received = 1; received > 0;) {
      received = recv(socket_fd, buffer.data(), buffer.size(), 0);
      total += received > 0 ? static_cast<std::size_t>(received) : 0;
    }
  }
  close(socket_fd);
  return total;
}

}  // namespace sycamoredrum
