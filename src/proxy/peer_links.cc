#include "peer_links.h"

#include <utility>

namespace sycamoredrum {
namespace {

// Returns true for requests between proxies, and false for those that forward a caller's request.
// Only the former count as control traffic.
bool IsControlRequest(const std::string& kind) { return kind != "execute"; }

}  // namespace

PeerLinks::PeerLinks(EventLoop& loop, PeerIdentity identity, const FleetSnapshot& fleet,
                     Metrics& metrics)
    : loop(loop), identity(std::move(identity)), fleet(fleet), metrics(metrics) {}

void PeerLinks::Call(const std::string& member, const std::string& kind, const std::string& body,
                     Duration timeout, PeerCallback callback) {
  const std::shared_ptr<PeerLink> link = this->Find(member);
  if (link == nullptr) {
    PeerAnswer answer;
    answer.error = PeerError::kNotSent;
    answer.message = "\"" + member + "\" is not a member";
    this->loop.Post([callback = std::move(callback), answer] { callback(answer); });
    return;
  }
  if (IsControlRequest(kind)) {
    this->metrics.Increment(Metric::kControlBytes, {kind, "sent"},
                            static_cast<double>(body.size()));
  }
  link->Call(kind, body, timeout,
             [this, kind, callback = std::move(callback)](const PeerAnswer& answer) {
               if (!answer.Ok()) {
                 this->metrics.Increment(Metric::kPeerErrors, {kind});
               } else if (IsControlRequest(kind)) {
                 this->metrics.Increment(Metric::kControlBytes, {kind, "received"},
                                         static_cast<double>(answer.body.size()));
               }
               callback(answer);
             });
}

std::shared_ptr<PeerLink> PeerLinks::Find(const std::string& member) {
  const auto current_fleet = this->fleet.Get();
  const Member* found = current_fleet->Find(member);
  if (found == nullptr) {
    return nullptr;
  }
  std::shared_ptr<PeerLink> replaced;  // Destroyed after the mutex is released.
  const std::lock_guard<std::mutex> lock(this->mutex);
  Entry& entry = this->links[member];
  if (entry.link == nullptr || entry.endpoint != found->peer_link_endpoint) {
    replaced = std::move(entry.link);
    entry.endpoint = found->peer_link_endpoint;
    entry.link = std::make_shared<PeerLink>(this->loop, this->identity, PeerOptions(),
                                            found->peer_link_endpoint);
  }
  this->metrics.Set(Metric::kPeerLinks, {}, static_cast<double>(this->links.size()));
  return entry.link;
}

void PeerLinks::RemoveLinks(const std::vector<std::string>& members) {
  std::vector<std::shared_ptr<PeerLink>> dropped;
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const std::string& member : members) {
    auto node = this->links.extract(member);
    if (!node.empty()) {
      dropped.push_back(std::move(node.mapped().link));
    }
  }
  this->metrics.Set(Metric::kPeerLinks, {}, static_cast<double>(this->links.size()));
}

}  // namespace sycamoredrum
