#include "child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>

extern char** environ;

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kStatusPollInterval(5);
constexpr int kErrorFileMode = 0644;

std::vector<char*> Pointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

std::vector<std::string> FullEnvironment(const std::vector<std::string>& additions) {
  std::vector<std::string> all = additions;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    all.emplace_back(*entry);
  }
  return all;
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
                           const std::vector<std::string>& environment,
                           const std::string& error_file) {
  int pipe_ends[2];
  if (pipe2(pipe_ends, O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot create a pipe");
  }
  std::vector<std::string> argument_texts = {program};
  argument_texts.insert(argument_texts.end(), arguments.begin(), arguments.end());
  std::vector<std::string> environment_texts = FullEnvironment(environment);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, error_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kErrorFileMode);
  const int error =
      posix_spawn(&this->pid, program.c_str(), &actions, nullptr, Pointers(argument_texts).data(),
                  Pointers(environment_texts).data());
  posix_spawn_file_actions_destroy(&actions);
  close(pipe_ends[1]);
  this->output = pipe_ends[0];
  if (error != 0) {
    close(this->output);
    throw std::runtime_error("cannot start " + program);
  }
}

ChildProcess::~ChildProcess() {
  if (!this->status) {
    this->Signal(SIGKILL);
    this->Reap(0);
  }
  close(this->output);
}

std::optional<std::string> ChildProcess::ReadLine(milliseconds timeout) {
  const auto deadline = steady_clock::now() + timeout;
  while (true) {
    const std::size_t end = this->buffer.find('\n');
    if (end != std::string::npos) {
      std::string line = this->buffer.substr(0, end);
      this->buffer.erase(0, end + 1);
      return line;
    }
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now()).count();
    pollfd poll_entry{this->output, POLLIN, 0};
    if (left <= 0 || poll(&poll_entry, 1, static_cast<int>(left)) <= 0) {
      return std::nullopt;
    }
    char chunk[4096];
    const ssize_t count = read(this->output, chunk, sizeof(chunk));
    if (count <= 0) {
      return std::nullopt;
    }
    this->buffer.append(chunk, static_cast<std::size_t>(count));
  }
}

void ChildProcess::Signal(int signal) {
  if (!this->status) {
    kill(this->pid, signal);
  }
}

std::optional<int> ChildProcess::Reap(int options) {
  int raw = 0;
  if (!this->status && waitpid(this->pid, &raw, options) == this->pid) {
    this->status = WIFEXITED(raw) ? WEXITSTATUS(raw) : 128 + WTERMSIG(raw);
  }
  return this->status;
}

std::optional<int> ChildProcess::Wait(milliseconds timeout) {
  const auto deadline = steady_clock::now() + timeout;
  while (!this->Reap(WNOHANG) && steady_clock::now() < deadline) {
    // waitpid takes no timeout, so the status is polled.
    poll(nullptr, 0, static_cast<int>(kStatusPollInterval.count()));
  }
  return this->status;
}

std::string OwnLoopbackNetwork() {
  const int number = static_cast<int>(getpid());
  return "127." + std::to_string(1 + number % 254) + "." + std::to_string(number / 254 % 256);
}

}  // namespace sycamoredrum
