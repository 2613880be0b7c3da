#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "session_relay_fixture_test.h"
#include "sycamoredrum/organisation_directory.h"

namespace sycamoredrum {

/// Keys by organisation.
using KeyLists = std::map<std::string, std::vector<std::string>>;

/// A relay whose routes require keys, except "quotes". The key "ka" belongs to the organisation "a"
/// and "kb" to "b".
class OrganisationTest : public SessionRelayTest {
 protected:
  explicit OrganisationTest(decltype(SessionRelayHooks::admit) admit = nullptr)
      : SessionRelayTest(std::move(admit)) {
    this->SetKeys({{"a", {"ka"}}, {"b", {"kb"}}});
  }

  /// Applies the next version of the configuration, with these organisations only.
  void SetKeys(const KeyLists& keys) {
    const auto previous = this->relay->Configuration();
    auto next = std::make_shared<RelayConfiguration>(*previous);
    ++next->version;
    for (auto& [name, route] : next->routes) {
      route.is_public = name == "quotes";
    }
    std::vector<OrganisationEntry> entries;
    for (const auto& [name, list] : keys) {
      OrganisationEntry entry;
      entry.organisation.name = name;
      entry.keys = list;
      entries.push_back(std::move(entry));
    }
    next->organisations = OrganisationDirectory::Make(std::move(entries), next->version,
                                                      previous->organisations.get());
    this->relay->SetConfiguration(next);
  }

  void RevokeKeyOfA() { this->SetKeys({{"a", {}}, {"b", {"kb"}}}); }
  void MoveKeyOfAToB() { this->SetKeys({{"a", {}}, {"b", {"kb", "ka"}}}); }

  /// The organisations whose connections ran the statement `id`.
  std::vector<std::string> OrganisationsOf(const std::string& id) const {
    std::vector<std::string> names;
    for (const SimulatedDatabase::ExecutedStatement& run : this->RunsOf(id)) {
      names.push_back(run.organisation);
    }
    return names;
  }

  /// A caller of "a" in a transaction that has written, between two statements.
  TestCaller& OpenTransactionOfA() {
    TestCaller& caller = this->Open("place", "ka");
    this->RunStatement(caller, MakeStatement(StatementKind::kBegin, "b"));
    this->RunStatement(caller, MakeStatement(StatementKind::kWrite, "w"));
    EXPECT_TRUE(caller.LastSucceeded());
    return caller;
  }

  /// Sends a statement that the server takes 100 ms for, and waits until it runs.
  void SendSlowly(TestCaller& caller, const Statement& statement) {
    this->database.At(0).work = milliseconds(100);
    caller.session->Handle(statement);
    this->Advance(milliseconds(50));
    ASSERT_FALSE(caller.session->Waiting());
  }
};

using Runs = std::vector<std::string>;

}  // namespace sycamoredrum
