#pragma once

#include <memory>
#include <optional>
#include <string>

#include "sycamoredrum/configuration_log.h"
#include "sycamoredrum/ticket_writer.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Blocking access of a command to the tickets on the platform. Not thread-safe.
class PlatformAccess {
 public:
  explicit PlatformAccess(const Endpoint& platform);
  ~PlatformAccess();
  PlatformAccess(const PlatformAccess&) = delete;
  PlatformAccess& operator=(const PlatformAccess&) = delete;

  /// Reads all accepted tickets into Log(). Returns false if the platform cannot be read or holds a
  /// ticket that this version cannot read; LastReason() then says why.
  bool ReadTickets();

  /// Writes a ticket; Log() is brought up to date as described in TicketWriter.
  WriteResult Write(const Ticket& ticket);

  const ConfigurationLog& Log() const;
  const std::string& LastReason() const { return this->last_reason; }

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
  std::string last_reason;
};

}  // namespace sycamoredrum
