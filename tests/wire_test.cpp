#include "wire.hpp"

#include <gtest/gtest.h>

namespace robinseam::drill {
namespace {

const char* const kEnlist =
    "enlist RngSeed=5 Az=a Balancers=2 Classes.count=1 Classes.0.Name=read "
    "Classes.0.ObjectiveUs=150000 "
    "Classes.0.DeadlineUs=600000 Classes.0.Effect=by_key Classes.0.Group=zone Classes.0.KeyTtlUs=9 "
    "Classes.0.Worth=3.5 FailureDomains=a,b Report.Fields=load_share,novelty,x0 NewSetting=7 "
    "Limits.MaxAttempts=5 Limits.SecondCopies=true MembershipMode=automatic TickUs=2000 "
    "MachineTypes=std,ledger Domain.Mode=aside Domain.OriginKind=1 Tenants.count=1 "
    "Tenants.0.Name=t "
    "Tenants.0.QuotaPerS=12.5";

std::string process_lines(Adapter& a, const std::vector<std::string>& lines) {
  std::string reply;
  for (const std::string& line : lines) reply += a.process_line(line);
  return reply;
}

std::string error_of(const std::vector<std::string>& lines) {
  Adapter a;
  try {
    process_lines(a, lines);
  } catch (const ParseError& e) {
    return e.what();
  }
  return "";
}

TEST(Wire, SettingsAreReadAndUnknownOnesIgnored) {
  Settings s = parse_settings(setting_pairs(Line(kEnlist)));
  ASSERT_EQ(s.classes.size(), 1u);
  EXPECT_EQ(s.classes[0].name, "read");
  EXPECT_EQ(s.classes[0].effect, Effect::Keyed);
  EXPECT_EQ(s.classes[0].group, Group::Zone);
  EXPECT_EQ(s.classes[0].key_ttl, 9);
  EXPECT_EQ(s.classes[0].worth, 3.5);
  EXPECT_EQ(s.zones.size(), 2u);
  ASSERT_EQ(s.report_fields.size(), 3u);
  EXPECT_EQ(s.report_fields[1], ReportField::Unknown);
  EXPECT_EQ(s.max_attempts, 5);
  EXPECT_TRUE(s.may_hedge);
  EXPECT_FALSE(s.poll_list);
  EXPECT_TRUE(s.cache_aside);
  EXPECT_EQ(s.origin_kind, "ledger");
  EXPECT_EQ(s.tenants[0].quota_per_s, 12.5);
}

TEST(Wire, ActionsAreFormatted) {
  EXPECT_EQ(format_action(Send{7, "h:1", 80}), "route Tid=7 Server=h:1 PatienceUs=80");
  EXPECT_EQ(format_action(Send{7, "h:1", 0}), "route Tid=7 Server=h:1");
  EXPECT_EQ(format_action(Refuse{7, 9}), "deny Tid=7 WaitUs=9");
  EXPECT_EQ(format_action(Refuse{7, 0}), "deny Tid=7");
  EXPECT_EQ(format_action(Fail{7}), "drop_request Tid=7");
  EXPECT_EQ(format_action(Cancel{7, 2}), "call_off Tid=7 SendNo=2");
  EXPECT_EQ(format_action(WatchList{}), "follow Want=1");
  EXPECT_EQ(format_action(FetchList{}), "pull");
  EXPECT_EQ(format_action(Timer{5, 6}), "wake_at SpanUs=5 Nonce=6");
  EXPECT_EQ(format_action(Probe{"h:1"}), "health_check Server=h:1");
}

TEST(Wire, FormattedActionsParseBack) {
  std::string text = format_action(Send{4503599627370495ULL, "10.0.0.1:80", 123});
  Line line(text);
  EXPECT_EQ(line.name(), "route");
  EXPECT_EQ(line.integer("Tid"), 4503599627370495LL);
  EXPECT_EQ(line.text("Server"), "10.0.0.1:80");
  EXPECT_EQ(line.integer("PatienceUs"), 123);
}

TEST(Wire, ABatchIsAnsweredWithActions) {
  Adapter a;
  EXPECT_EQ(process_lines(a, {"batch NowUs=100", "your_turn"}), "done\n");
  std::string reply = process_lines(
      a, {"batch NowUs=200", "switch_to Who=router-1", kEnlist,
          "membership Scope=2 Epoch=1 Elements=1",
          "m Server=h:1 RegionPart=a Hw=std UnitGroup=0 Health=0 Share=1",
          "arrival Tid=5 Type=read Entity=k RemainingUs=500000 Novel=1", "your_turn"});
  EXPECT_EQ(reply.rfind("instance Who=router-1\n", 0), 0u) << reply;
  EXPECT_NE(reply.find("\nroute Tid=5 Server=h:1"), std::string::npos) << reply;
  EXPECT_EQ(reply.substr(reply.size() - 5), "done\n");
  reply = process_lines(
      a, {"batch NowUs=20200", "switch_to Who=router-1",
          "verdict Tid=5 Finished=1 Server=h:1 Rc=completed LatencyUs=20000 SendNo=0 Gauge=0.5,2,1",
          "your_turn"});
  EXPECT_EQ(reply, "done\n");
  process_lines(a, {"batch NowUs=30000", "switch_to Who=router-1", "detach", kEnlist, "your_turn"});
}

TEST(Wire, ErrorsNameTheMalformedField) {
  std::vector<std::string> start = {"batch NowUs=1", "switch_to Who=router-1", kEnlist};
  auto after = [&](std::string line) {
    auto lines = start;
    lines.push_back(line);
    return error_of(lines);
  };
  EXPECT_EQ(after("arrival Tid=5 Type=read RemainingUs=5"), "");
  EXPECT_NE(after("arrival Type=read RemainingUs=5").find("Tid"), std::string::npos);
  EXPECT_NE(after("arrival Tid=x Type=read RemainingUs=5").find("Tid"), std::string::npos);
  EXPECT_NE(after("arrival Tid=4503599627370496 Type=read RemainingUs=5").find("Tid"),
            std::string::npos);
  EXPECT_NE(after("arrival Tid=5 Type=read RemainingUs=-5").find("RemainingUs"), std::string::npos);
  EXPECT_NE(after("arrival Tid=5 Type=read RemainingUs=99999999999999999999").find("RemainingUs"),
            std::string::npos);
  EXPECT_NE(after("verdict Tid=5 Server=h Rc=odd SendNo=0").find("Rc"), std::string::npos);
  EXPECT_NE(after("arrival Tid").find("name=value"), std::string::npos);
  EXPECT_NE(after("m Server=h").find("not announced"), std::string::npos);
  EXPECT_NE(after("whatever A=1").find("unknown message"), std::string::npos);
  EXPECT_NE(after("membership Scope=9 Elements=0").find("Scope"), std::string::npos);
  EXPECT_NE(error_of({"batch NowUs=1", "switch_to Who=router-1", "ring Nonce=1"}).find("enlist"),
            std::string::npos);
  EXPECT_NE(error_of({"ring Nonce=1"}).find("outside"), std::string::npos);
  EXPECT_NE(error_of({"batch NowUs=1", "switch_to Who=r", "enlist RngSeed=1"}).find("classes"),
            std::string::npos);
}

}  // namespace
}  // namespace robinseam::drill
