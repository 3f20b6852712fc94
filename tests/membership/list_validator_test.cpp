#include "membership/list_validator.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace arrowfork {
namespace {

HostList list(const std::string& version, bool full, const std::string& ids) {
  HostList l;
  l.version = version, l.full = full;
  for (char id : ids) {  // upper case: the server is gone
    Host h;
    h.server.id = std::string(1, static_cast<char>(std::tolower(id)));
    if (std::isupper(id)) h.server.health = robinseam::Health::Gone;
    l.hosts.push_back(h);
  }
  return l;
}

TEST(ListValidator, AcceptsOnlyPlausibleLists) {
  struct Answer {
    HostList list;
    bool accepted;
  };
  struct Case {
    const char* what;
    std::vector<Answer> answers;
  };
  const Case cases[] = {{"in order",
                         {{list("1", true, "ab"), true},
                          {list("1", false, ""), true},
                          {list("2", false, "c"), true},
                          {list("10", true, "a"), true}}},
                        {"duplicate id",
                         {{list("1", true, "ab"), true},
                          {list("2", true, "aba"), false},
                          {list("2", false, "cC"), false},
                          {list("2", false, "c"), true}}},
                        {"no server",
                         {{list("1", true, ""), true},
                          {list("2", true, "a"), true},
                          {list("3", true, ""), false},
                          {list("3", false, "A"), true}}},
                        {"partial lists with an older version",
                         {{list("9", true, "a"), true},
                          {list("8", false, "b"), false},
                          {list("8", false, "b"), false},
                          {list("8", false, "b"), false},
                          {list("8", false, "b"), false},
                          {list("10", false, "b"), true}}},
                        {"version numbers restarted",
                         {{list("900", true, "a"), true},
                          {list("1", false, "b"), false},
                          {list("1", true, "b"), false},
                          {list("1", true, "b"), false},
                          {list("2", true, "bc"), true},
                          {list("3", false, "d"), true}}},
                        {"lagging replicas in turn",
                         {{list("9", true, "a"), true},
                          {list("7", true, "a"), false},
                          {list("5", true, "a"), false},
                          {list("6", true, "a"), false},
                          {list("9", false, ""), true},
                          {list("7", true, "a"), false},
                          {list("7", true, "a"), false}}},
                        {"versions without an order",
                         {{list("x9", true, "a"), true},
                          {list("x10", true, "a"), true},
                          {list("", true, "a"), true},
                          {list("7", true, "a"), true}}},
                        {"leading zeros",
                         {{list("010", true, "a"), true},
                          {list("9", true, "a"), false},
                          {list("0", true, "a"), false},
                          {list("10", true, "a"), true}}}};
  for (const Case& c : cases) {
    ListValidator validator;
    std::string current;
    for (std::size_t k = 0; k < c.answers.size(); ++k) {
      const Answer& a = c.answers[k];
      EXPECT_EQ(validator.validate(a.list).empty(), a.accepted) << c.what << ", answer " << k;
      if (a.accepted) current = a.list.version;
      EXPECT_EQ(validator.version(), current) << c.what << ", answer " << k;
    }
  }
}

TEST(ListValidator, AcceptsAnyVersionOfAnotherDiscovery) {
  ListValidator validator;
  validator.set_current(list("900", true, "a"));
  validator.reset_version();
  EXPECT_EQ(validator.validate(list("2", true, "b")), "");
  EXPECT_EQ(validator.validate(list("1", true, "b")), "version 1 after 2");
}

}  // namespace
}  // namespace arrowfork
