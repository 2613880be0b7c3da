#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

extern char** environ;

namespace sycamoredrum {

/// A process started by a test. It is killed when the object is destroyed.
class ChildProcess {
 public:
  /// Starts the program `arguments[0]` and blocks until it has printed a line or closed its
  /// standard output.
  explicit ChildProcess(std::vector<std::string> arguments) {
    int output[2];
    if (pipe2(output, O_CLOEXEC) != 0) {
      return;
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    std::vector<char*> argv;
    for (std::string& argument : arguments) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    if (posix_spawn(&this->pid, argv[0], &actions, nullptr, argv.data(), environ) != 0) {
      this->pid = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    close(output[1]);
    char byte = 0;
    while (read(output[0], &byte, 1) == 1 && byte != '\n') {
      this->first_line += byte;
    }
    close(output[0]);
  }
  ~ChildProcess() {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
    }
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  const std::string& FirstLine() const { return this->first_line; }

  /// Port that the first line gives as "NAME=PORT", or 0 if it has no such entry.
  std::uint16_t Port(const std::string& name) const {
    const std::size_t at = this->first_line.find(" " + name + "=");
    if (at == std::string::npos) {
      return 0;
    }
    return static_cast<std::uint16_t>(std::atoi(this->first_line.c_str() + at + name.size() + 2));
  }

  /// Sends SIGTERM and returns the exit status, or -1 if the process ended by a signal.
  int Terminate() {
    kill(this->pid, SIGTERM);
    int status = 0;
    waitpid(std::exchange(this->pid, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  pid_t pid = -1;
  std::string first_line;
};

}  // namespace sycamoredrum
