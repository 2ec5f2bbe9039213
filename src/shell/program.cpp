#include "vanillahatch/shell/program.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

namespace vanillahatch {

namespace po = boost::program_options;

std::optional<ProgramArguments> ParseArguments(int aArgc,
                                               char** aArgv,
                                               std::string_view aProgram,
                                               int& aExitCode)
{
  po::options_description options(std::string(aProgram) + " options");
  options.add_options()                                                //
    ("config", po::value<std::string>(), "the deployment's TOML file") //
    ("node",
     po::value<std::string>(),
     "name of the node that this process runs")                 //
    ("check", "check the settings, print every error and exit") //
    ("version", "print the version and exit")                   //
    ("help", "print this help and exit");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aArgc, aArgv, options), values);
  } catch (const po::error& error) {
    std::cerr << aProgram << ": " << error.what() << "\n" << options;
    aExitCode = kExitUsage;
    return std::nullopt;
  }
  aExitCode = kExitOk;
  if (values.contains("help")) {
    std::cout << options;
    return std::nullopt;
  }
  if (values.contains("version")) {
    std::cout << aProgram << " " << VH_VERSION << "\n";
    return std::nullopt;
  }
  if (!values.contains("config")) {
    std::cerr << aProgram << ": --config is required\n" << options;
    aExitCode = kExitUsage;
    return std::nullopt;
  }
  const std::string config = values["config"].as<std::string>();
  if (values.contains("check")) {
    if (LoadOrReport(config, aExitCode)) {
      std::cout << config << ": ok\n";
    }
    return std::nullopt;
  }
  if (!values.contains("node")) {
    std::cerr << aProgram << ": --node is required\n" << options;
    aExitCode = kExitUsage;
    return std::nullopt;
  }
  return ProgramArguments{ .configFile_ = config,
                           .node_ = values["node"].as<std::string>() };
}

void EndProcess(int aExitCode)
{
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(aExitCode);
}

std::optional<Settings> LoadOrReport(const std::string& aFile, int& aExitCode)
{
  Result<Settings, SettingsErrors> settings = LoadSettings(aFile);
  if (settings) {
    return std::move(settings).value();
  }
  for (const SettingsError& error : settings.error()) {
    std::cerr << error.ToText() << "\n";
  }
  aExitCode = kExitSettings;
  return std::nullopt;
}

std::optional<Token> LoadTokenOrReport(const std::filesystem::path& aFile)
{
  Result<Token, std::string> token = Token::Load(aFile);
  if (token) {
    return std::move(token).value();
  }
  std::cerr << token.error() << "\n";
  return std::nullopt;
}

} // namespace vanillahatch
