#include "configuration_service.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "peer_body.h"
#include "sycamoredrum/duties.h"

namespace sycamoredrum {
namespace {

std::optional<TicketsAnswer> ParseTicketsAnswer(const PeerAnswer& reply) {
  if (reply.error != PeerError::kNone) {
    return std::nullopt;
  }
  const nlohmann::json json =
      nlohmann::json::parse(reply.body, nullptr, /*allow_exceptions=*/false);
  try {
    TicketsAnswer answer;
    answer.number = json.at("number").get<std::uint64_t>();
    for (const nlohmann::json& ticket : json.at("tickets")) {
      answer.tickets.push_back(SerializedTicket{ticket.at("number").get<std::uint64_t>(),
                                                ticket.at("json").get<std::string>()});
    }
    return answer;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

ConfigurationService::ConfigurationService(Dependencies dependencies)
    : dependencies(std::move(dependencies)),
      context(SerialContext::Create(this->dependencies.loop)) {
  this->log.AddListener([this](const std::shared_ptr<const Configuration>& configuration) {
    this->HandleChange(configuration);
  });
  this->sync = std::make_unique<ConfigurationSync>(this->MakeHooks(), this->MakePlatform(),
                                                   this->log, this->dependencies.loop,
                                                   *this->context, this->dependencies.random);
}

ConfigurationService::~ConfigurationService() { this->context->Close(); }

PlatformClient ConfigurationService::MakePlatform() {
  PlatformClient serial;
  const PlatformClient& platform = this->dependencies.platform;
  serial.get = [this, get = platform.get](const std::string& key,
                                          PlatformClient::GetCallback callback) {
    get(key, this->context->Wrap(std::move(callback)));
  };
  serial.put = [this, put = platform.put](const std::string& key, const std::string& value,
                                          std::uint64_t expected_revision,
                                          PlatformClient::PutCallback callback) {
    put(key, value, expected_revision, this->context->Wrap(std::move(callback)));
  };
  serial.list = [this, list = platform.list](const std::string& prefix, const std::string& after,
                                             int limit, PlatformClient::ListCallback callback) {
    list(prefix, after, limit, this->context->Wrap(std::move(callback)));
  };
  serial.watch = [this, watch = platform.watch](const std::string& prefix,
                                                std::uint64_t after_revision, Duration timeout,
                                                PlatformClient::ListCallback callback) {
    watch(prefix, after_revision, timeout, this->context->Wrap(std::move(callback)));
  };
  return serial;
}

ConfigurationSyncHooks ConfigurationService::MakeHooks() {
  ConfigurationSyncHooks hooks;
  hooks.should_watch = [this] {
    const auto fleet = this->dependencies.fleet.Get();
    const auto watchers = PlatformWatchersOf(this->dependencies.data_centre, fleet->candidates);
    return std::find(watchers.begin(), watchers.end(), this->dependencies.member) != watchers.end();
  };
  hooks.members = [this] {
    std::vector<std::string> others;
    const auto fleet = this->dependencies.fleet.Get();
    for (const Member& member : fleet->members) {
      if (member.id != this->dependencies.member) {
        others.push_back(member.id);
      }
    }
    return others;
  };
  hooks.announce = [this](const std::string& member, std::uint64_t number) {
    this->dependencies.call(member, "announce", nlohmann::json({{"number", number}}).dump(),
                            kPullTimeout, [](const PeerAnswer&) {});
  };
  hooks.pull = [this](const std::string& member, std::uint64_t after, std::size_t limit,
                      ConfigurationSyncHooks::PullCallback done) {
    this->Pull(member, after, limit, this->context->Wrap(std::move(done)));
  };
  hooks.ready = [this] {
    this->ready = true;
    this->dependencies.logger.Info("configuration_ready",
                                   {{"number", absl::StrCat(this->log.Number())}});
  };
  return hooks;
}

void ConfigurationService::Pull(const std::string& member, std::uint64_t after, std::size_t limit,
                                ConfigurationSyncHooks::PullCallback done) {
  const nlohmann::json body = {{"after", after}, {"limit", limit}};
  this->dependencies.call(
      member, "tickets", body.dump(), kPullTimeout,
      [done = std::move(done)](const PeerAnswer& reply) { done(ParseTicketsAnswer(reply)); });
}

void ConfigurationService::HandleChange(const std::shared_ptr<const Configuration>& configuration) {
  this->dependencies.configuration.Set(configuration);
  this->ObserveLag(configuration->Number());
  this->dependencies.metrics.Set(Metric::kConfigurationNumber, {},
                                 static_cast<double>(configuration->Number()));
  this->dependencies.logger.Info("configuration_in_force",
                                 {{"number", absl::StrCat(configuration->Number())}});
  this->dependencies.loop.Post([changed = this->dependencies.changed] { changed(); });
}

void ConfigurationService::Start() {
  this->context->Run([this] { this->sync->Start(); });
}

void ConfigurationService::Stop() {
  this->context->Run([this] { this->sync->Stop(); });
}

void ConfigurationService::HandleNumber(const std::string& member, std::uint64_t number) {
  this->context->Run([&] {
    // The map is bounded because a member may announce any number. The numbers that came first are
    // enough to measure the lag.
    if (number > this->log.Number() && this->first_seen.size() < kMaxTrackedNumbers) {
      this->first_seen.emplace(number, this->dependencies.loop.Now());
    }
    this->sync->HandleNumber(member, number);
  });
}

void ConfigurationService::ExportCounters() {
  const ConfigurationSyncCounters counters =
      this->context->Run([this] { return this->sync->Counters(); });
  const std::pair<const char*, std::uint64_t> events[] = {
      {"platform_call", counters.platform_calls}, {"platform_error", counters.platform_errors},
      {"announcement", counters.announcements},   {"pull", counters.pulls},
      {"failed_pull", counters.failed_pulls},
  };
  for (const auto& [event, total] : events) {
    this->dependencies.metrics.RaiseTo(Metric::kConfigurationEvents, {event},
                                       static_cast<double>(total));
  }
}

// Called under the mutex of the context.
void ConfigurationService::ObserveLag(std::uint64_t number) {
  const TimePoint now = this->dependencies.loop.Now();
  const auto end = this->first_seen.upper_bound(number);
  for (auto entry = this->first_seen.begin(); entry != end; ++entry) {
    this->dependencies.metrics.Observe(Metric::kConfigurationLagSeconds, {}, now - entry->second);
  }
  this->first_seen.erase(this->first_seen.begin(), end);
}

std::string ConfigurationService::AnswerTickets(const std::string& body) {
  const auto after = ReadField(body, "after", std::uint64_t{0});
  const std::size_t limit =
      ReadField(body, "limit", std::size_t{ConfigurationSync::kTicketsPerMessage});
  const TicketsAnswer answer = this->context->Run([&] {
    return this->sync->HandlePull(after, std::min(limit, ConfigurationSync::kTicketsPerMessage));
  });
  nlohmann::json tickets = nlohmann::json::array();
  for (const SerializedTicket& ticket : answer.tickets) {
    tickets.push_back({{"number", ticket.number}, {"json", ticket.json}});
  }
  return nlohmann::json({{"number", answer.number}, {"tickets", tickets}}).dump();
}

void ConfigurationService::HandleAnnounce(const std::string& member, const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  const auto found = json.is_object() ? json.find("number") : json.end();
  if (json.is_object() && found != json.end() && found->is_number_unsigned()) {
    this->HandleNumber(member, found->get<std::uint64_t>());
  }
}

}  // namespace sycamoredrum
