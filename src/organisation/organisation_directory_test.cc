#include "sycamoredrum/organisation_directory.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace sycamoredrum {
namespace {

OrganisationEntry Entry(const std::string& name, std::vector<std::string> keys) {
  OrganisationEntry entry;
  entry.organisation.name = name;
  entry.keys = std::move(keys);
  entry.place = "place of " + name;
  entry.keys_place = entry.place + ".keys";
  return entry;
}

// Guards against serving one organisation for the other one's key.
TEST(OrganisationDirectoryTest, AKeyOfTwoOrganisationsIsServedForNeither) {
  const auto directory = OrganisationDirectory::Make(
      {Entry("a", {"k1", "secret", "k1"}), Entry("b", {"k2", "secret"}), Entry("c", {"secret"})}, 1,
      nullptr);
  EXPECT_EQ(directory->FindByKey("k1")->name, "a");
  EXPECT_EQ(directory->FindByKey("k2")->name, "b");
  EXPECT_EQ(directory->FindByKey("secret"), nullptr);
  EXPECT_EQ(directory->FindByKey(""), nullptr);
  const std::vector<Finding>& findings = directory->Findings();
  ASSERT_EQ(findings.size(), 2U);
  EXPECT_EQ(findings[0].place, "place of b.keys[1]");
  EXPECT_EQ(findings[1].place, "place of c.keys[0]");
  // Findings are logged, and a key is a secret.
  for (const Finding& finding : findings) {
    EXPECT_EQ((finding.place + finding.reason).find("secret"), std::string::npos);
  }
}

// Guards against an organisation that nobody can use without anyone noticing, and against a name
// that changes the message to a backend server.
TEST(OrganisationDirectoryTest, OrganisationsThatNobodyCanUseAreFindings) {
  const auto directory =
      OrganisationDirectory::Make({Entry("a", {}), Entry("b\r\nQUERY", {"k"})}, 1, nullptr);
  ASSERT_NE(directory->FindByName("a"), nullptr);
  EXPECT_EQ(directory->FindByKey("k"), nullptr);
  EXPECT_EQ(directory->Findings().size(), 2U);
}

// Guards against treating an organisation that was removed and added again as the former one.
TEST(OrganisationDirectoryTest, TheIncarnationIsTheFirstVersionWithoutAGap) {
  const auto first = OrganisationDirectory::Make({Entry("a", {}), Entry("b", {})}, 3, nullptr);
  const auto second = OrganisationDirectory::Make({Entry("a", {"k"})}, 4, first.get());
  const auto third =
      OrganisationDirectory::Make({Entry("a", {"k"}), Entry("b", {})}, 5, second.get());
  EXPECT_EQ(third->FindByName("a")->incarnation, 3U);
  EXPECT_EQ(third->FindByName("b")->incarnation, 5U);
  EXPECT_EQ(EndedOrganisations(first.get(), second.get()), std::vector<std::string>{"b"});
  EXPECT_EQ(EndedOrganisations(first.get(), third.get()), std::vector<std::string>{"b"});
  EXPECT_EQ(EndedOrganisations(second.get(), nullptr), std::vector<std::string>{"a"});
  EXPECT_TRUE(EndedOrganisations(nullptr, third.get()).empty());
}

TEST(OrganisationDirectoryTest, DirectoriesAreComparedWithTheirKeys) {
  const auto make = [](const std::string& key, const std::string& owner) {
    return OrganisationDirectory::Make(
        {Entry("a", {"x"}), Entry("b", {"y"}), Entry(owner + "2", {key})}, 1, nullptr);
  };
  EXPECT_EQ(*make("k", "a"), *make("k", "a"));
  EXPECT_NE(*make("k", "a"), *make("l", "a"));
  EXPECT_NE(*make("k", "a"), *make("k", "b"));
  EXPECT_NE(*make("k", "a"), *make("x", "a"));
}

}  // namespace
}  // namespace sycamoredrum
