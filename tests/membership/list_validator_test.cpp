#include "membership/list_validator.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace arrowfork {
namespace {

HostList list(const std::string& version, bool whole, const std::string& ids) {
  HostList l;
  l.version = version, l.full = whole;
  for (char id : ids) {  // an upper-case letter has left
    Host h;
    h.server.id = std::string(1, static_cast<char>(std::tolower(id)));
    if (std::isupper(id)) h.server.health = robinseam::Health::Gone;
    l.hosts.push_back(h);
  }
  return l;
}

TEST(ListValidator, TakesWhatMayChangeTheList) {
  struct Answer {
    HostList list;
    bool taken;
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
                        {"an id twice",
                         {{list("1", true, "ab"), true},
                          {list("2", true, "aba"), false},
                          {list("2", false, "cC"), false},
                          {list("2", false, "c"), true}}},
                        {"nobody",
                         {{list("1", true, ""), true},
                          {list("2", true, "a"), true},
                          {list("3", true, ""), false},
                          {list("3", false, "A"), true}}},
                        {"changes that go back",
                         {{list("9", true, "a"), true},
                          {list("8", false, "b"), false},
                          {list("8", false, "b"), false},
                          {list("8", false, "b"), false},
                          {list("8", false, "b"), false},
                          {list("10", false, "b"), true}}},
                        {"counted anew",
                         {{list("900", true, "a"), true},
                          {list("1", false, "b"), false},
                          {list("1", true, "b"), false},
                          {list("1", true, "b"), false},
                          {list("2", true, "bc"), true},
                          {list("3", false, "d"), true}}},
                        {"lagging copies in turn",
                         {{list("9", true, "a"), true},
                          {list("7", true, "a"), false},
                          {list("5", true, "a"), false},
                          {list("6", true, "a"), false},
                          {list("9", false, ""), true},
                          {list("7", true, "a"), false},
                          {list("7", true, "a"), false}}},
                        {"no order",
                         {{list("x9", true, "a"), true},
                          {list("x10", true, "a"), true},
                          {list("", true, "a"), true},
                          {list("7", true, "a"), true}}},
                        {"zeros",
                         {{list("010", true, "a"), true},
                          {list("9", true, "a"), false},
                          {list("0", true, "a"), false},
                          {list("10", true, "a"), true}}}};
  for (const Case& c : cases) {
    ListValidator guard;
    std::string held;
    for (std::size_t k = 0; k < c.answers.size(); ++k) {
      const Answer& a = c.answers[k];
      EXPECT_EQ(guard.validate(a.list).empty(), a.taken) << c.what << ", answer " << k;
      if (a.taken) held = a.list.version;
      EXPECT_EQ(guard.version(), held) << c.what << ", answer " << k;
    }
  }
}

TEST(ListValidator, AnotherDiscoveryCountsAsItLikes) {
  ListValidator guard;
  guard.set_current(list("900", true, "a"));
  guard.reset_version();
  EXPECT_EQ(guard.validate(list("2", true, "b")), "");
  EXPECT_EQ(guard.validate(list("1", true, "b")), "version 1 after 2");
}

}  // namespace
}  // namespace arrowfork
