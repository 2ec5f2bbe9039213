#include "ctl/command_line.h"

#include "ctl/exit_codes.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace vanillahatch::ctl {

namespace po = boost::program_options;

namespace {

constexpr const char* kUsageText =
  "usage: vhctl --config FILE COMMAND [options]\n"
  "  pool create NAME --service S --ceiling N [--floor N]\n"
  "       [--max-unavailable N] [--rack-spread N] [--priority N] [--spare]\n"
  "  pool list | pool show NAME\n"
  "  default set SETTING VALUE | default show [SETTING]\n"
  "  exception add NAME --reason TEXT --until TIME --scope SCOPE\n"
  "       --setting SETTING --value VALUE\n"
  "  exception remove NAME | exception list\n"
  "  explain SETTING [SCOPE]\n"
  "  maintenance start NAME --scope SCOPE --reason TEXT --until TIME\n"
  "       [--starts TIME]\n"
  "  maintenance end NAME | maintenance status\n"
  "  status | watch [--seconds N]\n"
  "TIME is 2026-12-24T18:00:00Z, or relative to now: +90s, +30m, +8h, +14d.\n";

po::options_description Describe(CommandLine& aLine, int64_t& aTimeoutMs)
{
  po::options_description options("options");
  auto add = options.add_options();
  add("config", po::value(&aLine.configFile_), "the deployment's TOML file");
  add("json", po::bool_switch(&aLine.json_), "print JSON for programs");
  add("change-id",
      po::value(&aLine.changeId_),
      "id of the change; a command repeated with the same id is applied once");
  add("author",
      po::value(&aLine.author_),
      "author of the change, default operator");
  add("expect",
      po::value<int64_t>(),
      "reject the change if operators changed anything after this revision");
  add("timeout-ms",
      po::value(&aTimeoutMs),
      "timeout of one request, default 10000");
  add("seconds",
      po::value(&aLine.watchSeconds_),
      "duration of watch, default unlimited");
  add("service", po::value(&aLine.service_), "service of the pool");
  add("floor", po::value(&aLine.floor_), "minimum number of instances");
  add("ceiling", po::value(&aLine.ceiling_), "maximum number of instances");
  add("max-unavailable",
      po::value(&aLine.maxUnavailable_),
      "maximum number of unavailable instances");
  add("priority",
      po::value(&aLine.priority_),
      "pools of higher priority get capacity first");
  add("rack-spread", po::value(&aLine.rackSpread_), "minimum number of racks");
  add("spare",
      po::bool_switch(&aLine.spare_),
      "lend the pool's instances to other pools");
  add("reason",
      po::value(&aLine.reason_),
      "reason of the exception or maintenance");
  add("until", po::value(&aLine.until_), "end time");
  add("starts", po::value(&aLine.starts_), "start time, default now");
  add("scope",
      po::value(&aLine.scope_),
      "scope, for example pool:billing or member:m1");
  add("setting", po::value(&aLine.setting_), "name of the setting");
  add("value", po::value(&aLine.value_), "value of the setting");
  add("version", "print the version and exit");
  add("help", "print this help and exit");
  return options;
}

} // namespace

std::string UsageText()
{
  return kUsageText;
}

std::optional<CommandLine> ParseCommandLine(int aArgc,
                                            char** aArgv,
                                            int& aExitCode)
{
  CommandLine line;
  int64_t timeoutMs = line.timeout_.Count();
  const po::options_description visible = Describe(line, timeoutMs);
  po::options_description all;
  all.add(visible).add_options()(
    "word", po::value(&line.words_)->multitoken(), "command");
  po::positional_options_description positional;
  positional.add("word", -1);
  po::variables_map values;
  aExitCode = kUsage;
  try {
    po::store(po::command_line_parser(aArgc, aArgv)
                .options(all)
                .positional(positional)
                .run(),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "vhctl: " << error.what() << "\n" << kUsageText;
    return std::nullopt;
  }
  if (values.contains("help") || values.contains("version")) {
    aExitCode = kOk;
    if (values.contains("help")) {
      std::cout << kUsageText << visible;
    } else {
      std::cout << "vhctl " << VH_VERSION << "\n";
    }
    return std::nullopt;
  }
  if (line.configFile_.empty() || line.words_.empty() || timeoutMs <= 0) {
    std::cerr << kUsageText;
    return std::nullopt;
  }
  if (values.contains("expect")) {
    // As an unsigned option, a negative number would wrap round.
    const auto revision = values["expect"].as<int64_t>();
    if (revision < 0) {
      std::cerr << kUsageText;
      return std::nullopt;
    }
    line.expectedRevision_ = static_cast<uint64_t>(revision);
  }
  line.timeout_ = Millis(timeoutMs);
  return line;
}

} // namespace vanillahatch::ctl
