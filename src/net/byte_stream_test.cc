#include "sycamoredrum/byte_stream.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>

#include "raw_socket.h"

namespace sycamoredrum {
namespace {

// Guards against an exception from the `received` hook, caused by one malformed message, that ends
// the process or other streams.
TEST(ByteStreamTest, AnUnexpectedErrorEndsOnlyTheStreamThatCausedIt) {
  EventLoop loop(1);
  std::promise<std::string> ended;
  ByteStreamServer server(loop, ByteStreamOptions{}, [&ended](std::shared_ptr<ByteStream> stream) {
    ByteStreamHooks hooks;
    // The stream owns its hooks, so the hook must not own the stream.
    hooks.received = [weak = std::weak_ptr<ByteStream>(stream)](std::string_view bytes) {
      if (bytes == "bad") {
        throw std::out_of_range("no such field");
      }
      if (const auto open = weak.lock()) {
        open->Send(bytes);
      }
    };
    hooks.closed = [&ended](const std::string& reason) {
      if (reason.rfind(kUnexpectedError, 0) == 0) {
        ended.set_value(reason);
      }
    };
    stream->SetHooks(std::move(hooks));
  });
  const auto port = server.Listen(Endpoint{"127.0.0.1", 0});
  ASSERT_TRUE(port);
  server.Accept();
  const RawSocket good = RawSocket::ConnectTo(*port);
  const RawSocket bad = RawSocket::ConnectTo(*port);
  good.Send("one");
  EXPECT_EQ(good.ReceiveUntil("one"), "one");
  bad.Send("bad");
  EXPECT_EQ(bad.ReceiveUntil("nothing comes"), "");
  EXPECT_THAT(ended.get_future().get(), testing::HasSubstr("no such field"));
  good.Send("two");
  EXPECT_EQ(good.ReceiveUntil("two"), "two");
  server.Stop();
  loop.Stop();
  loop.Join();
}

// Guards against a connection that the relay still reads, or never reads again, after its caller
// had to wait.
TEST(ByteStreamTest, PausedStreamReadsAfterItResumes) {
  EventLoop loop(1);
  std::promise<std::shared_ptr<ByteStream>> accepted;
  std::promise<std::string> received;
  std::atomic<bool> arrived{false};
  ByteStreamServer server(loop, ByteStreamOptions{}, [&](std::shared_ptr<ByteStream> stream) {
    ByteStreamHooks hooks;
    hooks.received = [&](std::string_view bytes) {
      arrived = true;
      received.set_value(std::string(bytes));
    };
    hooks.closed = [](const std::string&) {};
    stream->SetHooks(std::move(hooks));
    stream->PauseReading();
    accepted.set_value(std::move(stream));
  });
  const auto port = server.Listen(Endpoint{"127.0.0.1", 0});
  ASSERT_TRUE(port);
  server.Accept();
  const RawSocket peer = RawSocket::ConnectTo(*port);
  peer.Send("one");
  const std::shared_ptr<ByteStream> stream = accepted.get_future().get();
  std::promise<bool> checked;
  // By then, a stream that reads would have received the bytes.
  loop.RunAfter(std::chrono::milliseconds(100), [&] {
    checked.set_value(arrived);
    stream->ResumeReading();
  });
  EXPECT_FALSE(checked.get_future().get());
  EXPECT_EQ(received.get_future().get(), "one");
  server.Stop();
  loop.Stop();
  loop.Join();
}

}  // namespace
}  // namespace sycamoredrum
