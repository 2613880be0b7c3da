#include "vm_list_service.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "peer_body.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;

std::string Write(const VmList& list) {
  json vms = json::array();
  for (const VmRecord& vm : list.vms) {
    vms.push_back({{"id", vm.id},
                   {"host", vm.host},
                   {"data_centre", vm.data_centre},
                   {"entry", vm.entry},
                   {"leaving", vm.leaving}});
  }
  return json({{"revision", list.revision}, {"vms", vms}}).dump();
}

VmList Read(const std::string& text) {
  const json body = json::parse(text, nullptr, /*allow_exceptions=*/false);
  VmList list;
  try {
    for (const json& item : body.at("vms")) {
      list.vms.push_back(VmRecord{item.at("id").get<std::string>(),
                                  item.at("host").get<std::string>(),
                                  item.at("data_centre").get<std::string>(),
                                  item.at("entry").get<bool>(), item.at("leaving").get<bool>()});
    }
    list.revision = body.at("revision").get<std::uint64_t>();
    return list;
  } catch (const json::exception&) {
    return VmList();
  }
}

}  // namespace

VmListService::VmListService(Parts parts)
    : parts(std::move(parts)), context(SerialContext::Create(this->parts.loop)) {}

VmListService::~VmListService() { this->context->Close(); }

void VmListService::Start() {
  this->context->Run([this] { this->Poll(); });
}

void VmListService::Poll() {
  this->context->RunAfter(kPollInterval, [this] { this->Poll(); });
  const auto fleet = this->parts.fleet.Get();
  std::vector<std::string> watchers =
      PlatformWatchersOf(this->parts.data_centre, fleet->candidates);
  const bool own_duty =
      std::find(watchers.begin(), watchers.end(), this->parts.member) != watchers.end();
  if (own_duty || watchers.empty()) {
    this->PollPlatform();
  } else {
    this->AskPeer(watchers[this->parts.random() % watchers.size()]);
  }
}

void VmListService::PollPlatform() {
  PlatformClient::VmListCallback done = [this](PlatformStatus status, const VmList& list) {
    if (status == PlatformStatus::kOk) {
      this->Take(list);
    }
  };
  this->parts.platform.list_vms(this->context->Wrap(std::move(done)));
}

void VmListService::AskPeer(const std::string& member) {
  PeerCallback done = [this](const PeerAnswer& answer) {
    if (answer.Ok()) {
      this->Take(Read(answer.body));
    }
  };
  const json body = {{"revision", this->latest.revision}};
  this->parts.call(member, "vms", body.dump(), kPeerTimeout, this->context->Wrap(std::move(done)));
}

void VmListService::Take(const VmList& list) {
  if (list.revision >= this->latest.revision && !list.vms.empty()) {
    this->latest = list;
  }
  std::vector<std::string> hosts;
  for (const VmRecord& vm : list.vms) {
    if (vm.entry && !vm.leaving) {
      hosts.push_back(vm.host);
    }
  }
  if (!hosts.empty()) {
    this->parts.loop.Post([notify = this->parts.entry_hosts, hosts] { notify(hosts); });
  }
  if (!this->tracker.Offer(list)) {
    return;
  }
  auto leaving = std::make_shared<LeavingVms>();
  leaving->ids = this->tracker.Leaving();
  this->parts.logger.Info("vm_list_changed", {{"revision", absl::StrCat(list.revision)},
                                              {"leaving", absl::StrJoin(leaving->ids, ",")}});
  this->parts.leaving.Set(std::move(leaving));
  this->parts.loop.Post([changed = this->parts.changed] { changed(); });
}

std::string VmListService::AnswerVms(const std::string& body) {
  const auto known = ReadField<std::uint64_t>(body, "revision", 0);
  return this->context->Run([&] {
    // An empty list changes nothing at the asker, which has this revision already.
    const bool unchanged = known == this->latest.revision;
    return Write(unchanged ? VmList{known, {}} : this->latest);
  });
}

}  // namespace sycamoredrum
