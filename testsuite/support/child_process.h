#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace sycamoredrum {

/// A process started by a test. The destructor kills it if it still runs.
class ChildProcess {
 public:
  /// Starts `program`. Its standard error goes to `error_file`; its standard output is read by
  /// ReadLine. Throws std::runtime_error if it cannot be started.
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
               const std::vector<std::string>& environment, const std::string& error_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Next line of standard output without its newline; nothing at the end of the output or after
  /// `timeout`.
  std::optional<std::string> ReadLine(std::chrono::milliseconds timeout);

  /// Sends a signal, for example SIGTERM or SIGSTOP, unless Wait has already returned a status.
  void Signal(int signal);

  /// Waits for the process to end. Returns its exit status, 128 + the signal number if a signal
  /// ended it, or nothing after `timeout`.
  std::optional<int> Wait(std::chrono::milliseconds timeout);

  pid_t Id() const { return this->pid; }

 private:
  std::optional<int> Reap(int options);

  pid_t pid = -1;
  int output = -1;
  std::string buffer;
  std::optional<int> status;
};

/// First three parts of the loopback addresses of this test process, "127.x.y". They depend on the
/// process id, so that tests that run at the same time do not compete for ports.
std::string OwnLoopbackNetwork();

}  // namespace sycamoredrum
