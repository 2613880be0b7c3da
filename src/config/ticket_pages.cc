#include "ticket_pages.h"

namespace sycamoredrum {

std::vector<SerializedTicket> ExtractTickets(const std::vector<KeyValue>& page) {
  std::vector<SerializedTicket> tickets;
  tickets.reserve(page.size());
  for (const KeyValue& item : page) {
    const std::optional<std::uint64_t> number = ParseTicketKey(item.key);
    if (number) {
      tickets.push_back(SerializedTicket{*number, item.value});
    }
  }
  return tickets;
}

}  // namespace sycamoredrum
