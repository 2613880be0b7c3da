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

std::string SerializeVmList(const VmList& list) {
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

// Returns an empty list if `text` is malformed.
VmList ParseVmList(const std::string& text) {
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

VmListService::VmListService(Dependencies dependencies)
    : dependencies(std::move(dependencies)),
      context(SerialContext::Create(this->dependencies.loop)) {}

VmListService::~VmListService() { this->context->Close(); }

void VmListService::Start() {
  this->context->Run([this] { this->Poll(); });
}

void VmListService::Poll() {
  this->context->RunAfter(kPollInterval, [this] { this->Poll(); });
  const auto fleet = this->dependencies.fleet.Get();
  std::vector<std::string> watchers =
      PlatformWatchersOf(this->dependencies.data_centre, fleet->candidates);
  const bool own_duty =
      std::find(watchers.begin(), watchers.end(), this->dependencies.member) != watchers.end();
  if (own_duty || watchers.empty()) {
    this->PollPlatform();
  } else {
    this->PullFromPeer(watchers[this->dependencies.random() % watchers.size()]);
  }
}

void VmListService::PollPlatform() {
  PlatformClient::VmListCallback done = [this](PlatformStatus status, const VmList& list) {
    if (status == PlatformStatus::kOk) {
      this->ApplyList(list);
    }
  };
  this->dependencies.platform.list_vms(this->context->Wrap(std::move(done)));
}

void VmListService::PullFromPeer(const std::string& member) {
  PeerCallback done = [this](const PeerAnswer& answer) {
    if (answer.Ok()) {
      this->ApplyList(ParseVmList(answer.body));
    }
  };
  const json body = {{"revision", this->latest.revision}};
  this->dependencies.call(member, "vms", body.dump(), kPeerTimeout,
                          this->context->Wrap(std::move(done)));
}

void VmListService::ApplyList(const VmList& list) {
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
    this->dependencies.loop.Post(
        [notify = this->dependencies.entry_hosts, hosts] { notify(hosts); });
  }
  if (!this->tracker.Offer(list)) {
    return;
  }
  auto leaving = std::make_shared<LeavingVms>();
  leaving->ids = this->tracker.Leaving();
  this->dependencies.logger.Info(
      "vm_list_changed",
      {{"revision", absl::StrCat(list.revision)}, {"leaving", absl::StrJoin(leaving->ids, ",")}});
  this->dependencies.leaving.Set(std::move(leaving));
  this->dependencies.loop.Post([changed = this->dependencies.changed] { changed(); });
}

std::string VmListService::AnswerVms(const std::string& body) {
  const auto known = ReadField<std::uint64_t>(body, "revision", 0);
  return this->context->Run([&] {
    // The requesting member already has this revision; an empty list leaves its state unchanged.
    const bool unchanged = known == this->latest.revision;
    return SerializeVmList(unchanged ? VmList{known, {}} : this->latest);
  });
}

}  // namespace sycamoredrum
