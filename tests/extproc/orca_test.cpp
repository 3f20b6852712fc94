// Tests parsing of ORCA load reports in their three forms.
#include "extproc/orca.hpp"

#include <gtest/gtest.h>

#include <cmath>

#include "xds/data/orca/v3/orca_load_report.pb.h"

namespace arrowfork::extproc {
namespace {

using robinseam::ReportField;

const std::vector<ReportField> kFields = {ReportField::Utilization, ReportField::LatencyMs,
                                          ReportField::HitShare, ReportField::PerSecond};

std::string to_text(const std::optional<std::vector<double>>& report) {
  if (!report) return "none";
  std::string text;
  for (double v : *report) {
    char number[32];
    std::snprintf(number, sizeof number, "%g", v);
    text += (text.empty() ? "" : " ") + std::string(std::isnan(v) ? "-" : number);
  }
  return text;
}

std::string encode_base64(const std::string& bytes) {
  const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t k = 0; k < bytes.size(); k += 3) {
    unsigned bits = 0;
    for (std::size_t j = 0; j < 3; ++j)
      bits = bits << 8 | (k + j < bytes.size() ? static_cast<unsigned char>(bytes[k + j]) : 0u);
    for (std::size_t j = 0; j < 4; ++j)
      out.push_back(k + j <= bytes.size() ? digits[bits >> (18 - 6 * j) & 63] : '=');
  }
  return out;
}

TEST(Orca, AllThreeFormsGiveTheSameValues) {
  xds::data::orca::v3::OrcaLoadReport report;
  report.set_application_utilization(0.5);
  report.set_cpu_utilization(0.25);
  report.set_rps_fractional(120);
  (*report.mutable_named_metrics())["mean_ms"] = 7.5;
  (*report.mutable_named_metrics())["x0"] = 0.9;
  (*report.mutable_named_metrics())["unheard_of"] = 3;
  std::string bytes = report.SerializeAsString();
  const std::string expected = "0.5 7.5 0.9 120";
  EXPECT_EQ(to_text(parse_orca_report("BIN " + encode_base64(bytes), kFields)), expected);
  EXPECT_EQ(to_text(parse_orca_report_bin(encode_base64(bytes), kFields)), expected);
  EXPECT_EQ(to_text(parse_orca_report(
                "TEXT application_utilization=0.5, cpu_utilization=0.25,rps_fractional=120,"
                "named_metrics.mean_ms=7.5, named_metrics.x0=0.9,named_metrics.other=3",
                kFields)),
            expected);
  EXPECT_EQ(to_text(parse_orca_report(
                R"(JSON {"application_utilization":0.5,"cpuUtilization":0.25,"new":[1],
      "rps_fractional":120,"named_metrics":{"mean_ms":7.5,"x0":0.9,"other":3}})",
                kFields)),
            expected);
}

TEST(Orca, CpuUtilizationIsTheFallbackAndMissingValuesAreNaN) {
  EXPECT_EQ(to_text(parse_orca_report("TEXT cpu_utilization=0.25", kFields)), "0.25 - - -");
  EXPECT_EQ(to_text(parse_orca_report("JSON {}", kFields)), "- - - -");
}

TEST(Orca, ImplausibleValuesAreIgnored) {
  EXPECT_EQ(to_text(parse_orca_report("TEXT cpu_utilization=-1, rps=1e9", kFields)), "- - - -");
  EXPECT_EQ(to_text(parse_orca_report("TEXT cpu_utilization=nan", kFields)), "- - - -");
  EXPECT_EQ(to_text(parse_orca_report("TEXT cpu_utilization=3", kFields)), "- - - -");
}

TEST(Orca, InvalidReportsAreRejected) {
  for (const char* bad : {"", "JSON", "JSON {", "JSON []", "TEXT a", "TEXT cpu_utilization=x",
                          "BIN *", "BIN /////w==", "XML <a/>", "cpu_utilization=0.5"})
    EXPECT_EQ(to_text(parse_orca_report(bad, kFields)), "none") << bad;
  EXPECT_EQ(
      to_text(parse_orca_report("TEXT cpu_utilization=0.5" + std::string(5000, ' '), kFields)),
      "none");
}

}  // namespace
}  // namespace arrowfork::extproc
