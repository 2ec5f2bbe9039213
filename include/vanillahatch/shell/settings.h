// The settings of one deployment, read from one TOML file that all of its
// processes share; `--node NAME` says which node a process is.
//
// Loading checks the whole file and reports all errors together, each with
// line, key, the value found and the accepted values.
//
//   auto settings = LoadSettings("etc/ajoke.toml");
//   if (!settings) { for (const auto& error : settings.error()) ... }
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/ids.h"
#include "vanillahatch/core/result.h"
#include "vanillahatch/core/upstream.h"

#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahatch {

struct EntrySettings
{
  NodeName name_;
  DataCentreName dataCentre_;
  Endpoint http_; // callers and upstreams
  Endpoint rpc_;  // other entries
};

struct ControlSettings
{
  NodeName name_;
  DataCentreName dataCentre_;
  Endpoint http_; // operators
  Endpoint rpc_;
  std::filesystem::path dataFolder_;
};

struct LedgerSettings
{
  NodeName name_;
  DataCentreName dataCentre_;
  Endpoint http_; // metrics and health
  Endpoint rpc_;
  std::filesystem::path dataFolder_;
};

struct Limits
{
  Millis stopGrace_ = Seconds(20);       // limit on a planned stop
  Millis defaultDeadline_ = Seconds(30); // for jobs without a deadline
  Millis maxDeadline_ = Seconds(600);
  uint32_t maxBodyBytes_ = 8U << 20U;
  uint32_t maxHeaderBytes_ = 16U << 10U;
  uint32_t maxConnections_ = 4096; // from callers, per entry
};

struct Settings
{
  std::string deployment_;
  std::string objective_; // "idle-capacity" or "roll-out-time"
  std::filesystem::path operatorTokenFile_;
  std::filesystem::path upstreamTokenFile_;
  std::filesystem::path logFolder_; // empty: log to standard error
  Limits limits_;
  std::vector<EntrySettings> entries_;
  std::vector<ControlSettings> controls_;
  std::vector<LedgerSettings> ledgers_;
};

struct SettingsError
{
  std::string file_;
  uint32_t line_ = 0;
  std::string key_;
  std::string value_;
  std::string accepted_;

  std::string ToText() const;
};

using SettingsErrors = std::vector<SettingsError>;

Result<Settings, SettingsErrors> LoadSettings(
  const std::filesystem::path& aFile);
Result<Settings, SettingsErrors> ParseSettings(std::string_view aText,
                                               std::string_view aFileName);

std::string ToText(const Endpoint& aEndpoint);

} // namespace vanillahatch
