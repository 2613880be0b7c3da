#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace sycamoredrum {

/// A process started by a test. The destructor kills it, so that nothing is left running.
class ChildProcess {
 public:
  /// Starts `program`. Its standard error goes to `error_file`; its standard output is read by
  /// ReadLine. Throws std::runtime_error if it cannot be started.
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
               const std::vector<std::string>& environment, const std::string& error_file);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Next line of standard output, or nothing at its end or after `timeout`.
  std::optional<std::string> ReadLine(std::chrono::milliseconds timeout);

  /// Sends a signal, for example SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
  void Signal(int signal);

  /// Waits for the end and returns the exit status, 128 + the signal number after a signal, or
  /// nothing after `timeout`.
  std::optional<int> Wait(std::chrono::milliseconds timeout);

  pid_t Id() const { return this->pid; }

 private:
  std::optional<int> Reap(int options);

  pid_t pid = -1;
  int output = -1;
  std::string buffer;
  std::optional<int> status;
};

}  // namespace sycamoredrum
