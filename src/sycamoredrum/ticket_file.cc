#include "ticket_file.h"

#include <fmt/format.h>

#include <fstream>
#include <vector>

namespace sycamoredrum {
namespace {

constexpr std::size_t kChunkBytes = std::size_t{64} * 1024;

// Uses istream::read because it reports a failure, for example that the path is a directory, by the
// state of the stream. A stream buffer iterator throws instead.
std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text;
  std::vector<char> chunk(kChunkBytes);
  while (file.read(chunk.data(), static_cast<std::streamsize>(chunk.size())) || file.gcount() > 0) {
    text.append(chunk.data(), static_cast<std::size_t>(file.gcount()));
  }
  if (!file.is_open() || file.bad()) {
    return std::nullopt;
  }
  return text;
}

}  // namespace

std::optional<Ticket> ReadTicketFile(const std::string& path, Findings& findings) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    findings.Add(path, "cannot be read");
    return std::nullopt;
  }
  Findings problems;
  std::optional<Ticket> ticket = ParseTicket(*text, problems);
  for (const Finding& problem : problems.Items()) {
    findings.Add(fmt::format("{}: {}", path, problem.place), problem.reason);
  }
  return ticket;
}

}  // namespace sycamoredrum
