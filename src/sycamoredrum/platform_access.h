#pragma once

#include <memory>
#include <optional>
#include <string>

#include "sycamoredrum/configuration_log.h"
#include "sycamoredrum/ticket_writer.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Blocking access to the tickets on the platform, for commands. Not thread-safe.
class PlatformAccess {
 public:
  explicit PlatformAccess(const Endpoint& platform);
  ~PlatformAccess();
  PlatformAccess(const PlatformAccess&) = delete;
  PlatformAccess& operator=(const PlatformAccess&) = delete;

  /// Reads all accepted tickets into Log(). Returns false if the platform cannot be read or holds a
  /// ticket that this version cannot read; LastReason() then describes the problem.
  bool ReadTickets();

  /// Writes a ticket and updates Log() as described in TicketWriter.
  WriteResult Write(const Ticket& ticket);

  const ConfigurationLog& Log() const;
  const std::string& LastReason() const { return this->last_reason; }

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
  std::string last_reason;
};

}  // namespace sycamoredrum
