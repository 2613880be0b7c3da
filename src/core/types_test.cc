#include "sycamoredrum/types.h"

#include <gtest/gtest.h>

namespace sycamoredrum {
namespace {

// Guards against accepting addresses to which a connection cannot be opened.
TEST(EndpointTest, ParsesOnlyHostAndPort) {
  struct Case {
    const char* text;
    bool valid;
  };
  const Case cases[] = {
      {"127.0.0.1:80", true},     {"[::1]:80", true},       {"127.0.0.1", false},
      {"127.0.0.1:0", false},     {":80", false},           {"::1:80", false},
      {"127.0.0.1:65536", false}, {"127.0.0.1:x", false},   {"a:80", false},
      {"127.0.0.256:80", false},  {"127.0.0.1:+80", false}, {"127.0.0.1: 80", false},
      {"[::1:80", false},         {"[]:80", false}};
  for (const Case& c : cases) {
    const auto endpoint = Endpoint::Parse(c.text);
    EXPECT_EQ(endpoint.has_value(), c.valid) << c.text;
    if (endpoint) {
      EXPECT_EQ(endpoint->ToString(), c.text);
    }
  }
}

// Guards against a replica that has an entry of another term at the index being taken for one that
// holds a write, and against a returning former primary that refuses new positions before its old
// last entries are truncated.
TEST(TermHistoryTest, ContainsRequiresTheSameTermAtTheIndex) {
  const TermHistory history({{1, 1}, {3, 6}});
  struct Case {
    LogPosition position;
    bool contains;
    bool excludes;
  };
  const Case cases[] = {{{0, 0}, true, false},  {{1, 5}, true, false}, {{1, 6}, false, true},
                        {{3, 6}, true, false},  {{2, 6}, false, true}, {{3, 9}, false, false},
                        {{4, 9}, false, false}, {{1, 9}, false, true}, {{4, 7}, false, false},
                        {{3, 5}, false, true}};
  for (const Case& c : cases) {
    EXPECT_EQ(history.Contains(c.position, 8), c.contains) << c.position.ToString();
    EXPECT_EQ(history.Excludes(c.position, 8), c.excludes) << c.position.ToString();
  }
}

// Guards against a truncated log whose history still has a term of which it holds no entry.
TEST(TermHistoryTest, TruncationDropsLaterTerms) {
  const TermHistory history({{1, 1}, {3, 6}});
  EXPECT_EQ(history.TruncatedTo(5), TermHistory({{1, 1}}));
  EXPECT_EQ(history.TruncatedTo(5).WithTerm(4, 6), TermHistory({{1, 1}, {4, 6}}));
}

}  // namespace
}  // namespace sycamoredrum
