#include "report.hpp"

#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>

#include "../account/plot.hpp"

namespace arrowfork::tier {
namespace {

using Json = nlohmann::json;

struct Column {
  const char* name;
  int Row::*value;
};
constexpr std::array<Column, 15> kColumns{{{"asked", &Row::first_tries},
                                           {"in time", &Row::in_time},
                                           {"late", &Row::late},
                                           {"unserved", &Row::unserved},
                                           {"tries", &Row::tries},
                                           {"refused", &Row::refused},
                                           {"failed", &Row::failed},
                                           {"lost", &Row::lost},
                                           {"unreached", &Row::unreached},
                                           {"list calls", &Row::list_calls},
                                           {"calls failed", &Row::failed_list_calls},
                                           {"dials", &Row::dials},
                                           {"begun", &Row::attempts},
                                           {"begun cold", &Row::attempts_cold},
                                           {"fetches", &Row::fetches}}};

const char* verdict_text(const Result& r, const Verdict& v) {
  return r.status == 3 ? "claimed not" : v.held ? "held" : "BROKEN";
}

Json verdicts_to_json(const std::vector<Verdict>& all) {
  Json json = Json::array();
  for (const Verdict& v : all)
    json.push_back({{"held", v.held}, {"text", v.text}, {"value", v.value}});
  return json;
}

}  // namespace

void write_table(const Scenario& s, const Result& r, std::ostream& out) {
  out << s.name << ": " << s.router_count << " routers (" << s.program << "), " << s.cache_count
      << " caches, " << s.first_tries_per_s << " first tries a second\n    s";
  for (const Column& c : kColumns)
    out << std::setw(static_cast<int>(std::string(c.name).size()) + 2) << c.name;
  out << '\n';
  auto mark = r.marks.begin();
  for (const Row& row : r.rows) {
    double at = static_cast<double>(row.at) / kSecond;
    for (; mark != r.marks.end() && mark->first < at + 1; ++mark)
      out << "       " << std::fixed << std::setprecision(2) << mark->first << std::defaultfloat
          << " s  " << mark->second << '\n';
    out << std::setw(5) << at;
    for (const Column& c : kColumns)
      out << std::setw(static_cast<int>(std::string(c.name).size()) + 2) << row.*c.value;
    out << '\n';
  }
  for (const auto* all : {&r.rules, &r.claims})
    for (const Verdict& v : *all)
      out << std::left << std::setw(12) << verdict_text(r, v) << std::right << v.text << '\n';
  out << "            the rig was " << static_cast<double>(r.max_lag) / kMillisecond
      << " ms behind its clock at most\n";
}

std::string result_to_json(const Scenario& s, const Result& r) {
  Json rows = Json::array(), marks = Json::array();
  for (const Row& row : r.rows) {
    Json one{{"s", static_cast<double>(row.at) / kSecond}};
    for (const Column& c : kColumns) one[c.name] = row.*c.value;
    rows.push_back(std::move(one));
  }
  for (const auto& [at, label] : r.marks) marks.push_back({{"s", at}, {"label", label}});
  return Json{{"scenario", s.name},
              {"status", r.status},
              {"behind_ms", static_cast<double>(r.max_lag) / kMillisecond},
              {"rules", verdicts_to_json(r.rules)},
              {"claims", verdicts_to_json(r.claims)},
              {"marks", marks},
              {"rows", rows}}
      .dump(1);
}

void write_html(const Scenario& s, const Result& r, std::ostream& out) {
  using namespace wheeldeal::account;
  write_page_head(s.name, out);
  out << "<p>" << escape_html(s.description) << "</p>\n<table><tr><th>rule or claim<th></tr>\n";
  for (const auto* all : {&r.rules, &r.claims})
    for (const Verdict& v : *all)
      out << "<tr><td>" << escape_html(v.text) << "<td>" << verdict_text(r, v) << "</tr>\n";
  out << "</table>\n";
  std::vector<double> at;
  for (const Row& row : r.rows) at.push_back(static_cast<double>(row.at) / kSecond);
  auto plot = [&](const char* title, const std::vector<std::string>& names) {
    std::vector<PlotLine> lines;
    for (const std::string& name : names)
      for (const Column& c : kColumns) {
        if (name != c.name) continue;
        lines.push_back({name, {}});
        for (const Row& row : r.rows) lines.back().values.push_back(row.*c.value);
      }
    write_plot(title, at, lines, r.marks, out);
  };
  plot("Requests by outcome, per second", {"in time", "late", "unserved"});
  plot("Tries not served, per second", {"refused", "failed", "lost", "unreached"});
  plot("Discovery calls per second", {"list calls", "calls failed"});
  plot("Connections opened to caches, per second", {"dials"});
  plot("Origin fetches per second", {"fetches"});
  plot("Attempts received by caches, per second", {"begun", "begun cold"});
  out << "</body></html>\n";
}

}  // namespace arrowfork::tier
