#include "vanillahatch/shell/settings.h"

#include <boost/asio/ip/address.hpp>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>

// toml++ asserts on some malformed keys instead of reporting a syntax error.
// Throwing from the assertion turns it into one.
namespace vanillahatch {
static constexpr void CheckToml(bool aCondition)
{
  if (!aCondition) {
    throw std::runtime_error("malformed TOML");
  }
}
} // namespace vanillahatch
#define TOML_ASSERT(aCondition)                                                \
  ::vanillahatch::CheckToml(static_cast<bool>(aCondition))
#include <toml++/toml.h>

namespace vanillahatch {

namespace {

std::string ValueText(const toml::node* aNode)
{
  if (aNode == nullptr) {
    return "(missing)";
  }
  std::ostringstream out;
  aNode->visit([&](const auto& aValue) { out << aValue; });
  return out.str();
}

// Reads one table and records the keys that were read, so that all others can
// be reported as unknown.
class TableReader
{
public:
  TableReader(const toml::table& aTable,
              std::string aPath,
              std::string_view aFile,
              SettingsErrors& aErrors)
    : table_(aTable)
    , path_(std::move(aPath))
    , file_(aFile)
    , errors_(aErrors)
  {
  }

  std::string Text(std::string_view aKey)
  {
    const toml::node* node = Find(aKey);
    const auto value =
      node != nullptr ? node->value_exact<std::string>() : std::nullopt;
    if (!value || value->empty()) {
      Report(aKey, node, "a non-empty string");
      return {};
    }
    return *value;
  }

  std::string OptionalText(std::string_view aKey)
  {
    return table_.contains(aKey) ? Text(aKey) : (Find(aKey), std::string());
  }

  std::string OneOf(std::string_view aKey,
                    const std::set<std::string>& aAccepted)
  {
    const toml::node* node = Find(aKey);
    const auto value =
      node != nullptr ? node->value_exact<std::string>() : std::nullopt;
    if (value && aAccepted.contains(*value)) {
      return *value;
    }
    std::string list = "one of";
    for (const std::string& accepted : aAccepted) {
      list += " \"" + accepted + "\"";
    }
    Report(aKey, node, list);
    return {};
  }

  // A whole number from `aMin` to `aMax`; `aDefault` if the key is absent.
  int64_t Number(std::string_view aKey,
                 int64_t aMin,
                 int64_t aMax,
                 int64_t aDefault)
  {
    const toml::node* node = Find(aKey);
    if (node == nullptr) {
      return aDefault;
    }
    const auto value = node->value_exact<int64_t>();
    if (!value || *value < aMin || *value > aMax) {
      Report(aKey,
             node,
             "a whole number from " + std::to_string(aMin) + " to " +
               std::to_string(aMax));
      return aDefault;
    }
    return *value;
  }

  Endpoint Address(std::string_view aKey)
  {
    const toml::node* node = Find(aKey);
    const auto value =
      node != nullptr ? node->value_exact<std::string>() : std::nullopt;
    const std::optional<Endpoint> endpoint =
      value ? ParseEndpoint(*value) : std::nullopt;
    if (!endpoint) {
      Report(aKey, node, "an IP address and a port, such as \"10.0.0.1:8000\"");
      return {};
    }
    return *endpoint;
  }

  const toml::table* Table(std::string_view aKey)
  {
    const toml::node* node = Find(aKey);
    if (node == nullptr) {
      return nullptr;
    }
    if (!node->is_table()) {
      Report(aKey, node, "a table");
    }
    return node->as_table();
  }

  std::vector<const toml::table*> Tables(std::string_view aKey, size_t aMin)
  {
    std::vector<const toml::table*> tables;
    const toml::node* node = Find(aKey);
    const toml::array* array = node != nullptr ? node->as_array() : nullptr;
    if (array != nullptr) {
      for (const toml::node& item : *array) {
        if (item.is_table()) {
          tables.push_back(item.as_table());
        } else {
          Report(aKey, &item, "a table");
        }
      }
    }
    if (tables.size() < aMin || (node != nullptr && array == nullptr)) {
      Report(aKey,
             node,
             "at least " + std::to_string(aMin) + " tables [[" +
               std::string(aKey) + "]]");
    }
    return tables;
  }

  void ReportUnknownKeys()
  {
    for (const auto& [key, node] : table_) {
      if (!readKeys_.contains(std::string(key.str()))) {
        Report(key.str(), &node, "a known key");
      }
    }
  }

  void Report(std::string_view aKey,
              const toml::node* aNode,
              std::string aAccepted)
  {
    const toml::source_region& region =
      aNode != nullptr ? aNode->source() : table_.source();
    errors_.push_back(
      SettingsError{ .file_ = file_,
                     .line_ = region.begin.line,
                     .key_ = path_.empty() ? std::string(aKey)
                                           : path_ + "." + std::string(aKey),
                     .value_ = ValueText(aNode),
                     .accepted_ = std::move(aAccepted) });
  }

private:
  const toml::node* Find(std::string_view aKey)
  {
    readKeys_.emplace(aKey);
    return table_.get(aKey);
  }

  static std::optional<Endpoint> ParseEndpoint(const std::string& aText)
  {
    const size_t colon = aText.rfind(':');
    if (colon == std::string::npos) {
      return std::nullopt;
    }
    boost::system::error_code error;
    const std::string address = aText.substr(0, colon);
    boost::asio::ip::make_address(address, error);
    const std::string port = aText.substr(colon + 1);
    const bool isNumber =
      !port.empty() && port.size() <= 5 &&
      port.find_first_not_of("0123456789") == std::string::npos;
    if (error || !isNumber || std::stoul(port) == 0 ||
        std::stoul(port) > UINT16_MAX) {
      return std::nullopt;
    }
    return Endpoint{ .address_ = address,
                     .port_ = static_cast<uint16_t>(std::stoul(port)) };
  }

  const toml::table& table_;
  std::string path_;
  std::string file_;
  SettingsErrors& errors_;
  std::set<std::string> readKeys_;
};

Limits ReadLimits(const toml::table& aTable,
                  std::string_view aFile,
                  SettingsErrors& aErrors)
{
  TableReader reader(aTable, "limits", aFile, aErrors);
  Limits limits;
  limits.stopGrace_ = Millis(
    reader.Number("stop_grace_ms", 100, 600'000, limits.stopGrace_.Count()));
  limits.defaultDeadline_ = Millis(reader.Number(
    "default_deadline_ms", 10, 600'000, limits.defaultDeadline_.Count()));
  limits.maxDeadline_ = Millis(reader.Number(
    "max_deadline_ms", 10, 86'400'000, limits.maxDeadline_.Count()));
  limits.maxBodyBytes_ = static_cast<uint32_t>(
    reader.Number("max_body_bytes", 1024, 1 << 30, limits.maxBodyBytes_));
  limits.maxHeaderBytes_ = static_cast<uint32_t>(
    reader.Number("max_header_bytes", 1024, 1 << 20, limits.maxHeaderBytes_));
  limits.maxConnections_ = static_cast<uint32_t>(
    reader.Number("max_connections", 1, 65'536, limits.maxConnections_));
  if (limits.defaultDeadline_ > limits.maxDeadline_) {
    reader.Report("default_deadline_ms",
                  aTable.get("default_deadline_ms"),
                  "at most max_deadline_ms, which is " +
                    std::to_string(limits.maxDeadline_.Count()));
  }
  reader.ReportUnknownKeys();
  return limits;
}

template<class Node>
Node ReadNode(TableReader& aReader)
{
  Node node;
  node.name_ = NodeName(aReader.Text("name"));
  node.dataCentre_ = DataCentreName(aReader.Text("data_centre"));
  node.http_ = aReader.Address("http");
  node.rpc_ = aReader.Address("rpc");
  if constexpr (requires { node.dataFolder_; }) {
    node.dataFolder_ = aReader.Text("data_folder");
  }
  aReader.ReportUnknownKeys();
  return node;
}

// Properties that no two nodes may share, as used by the nodes read so far.
struct UsedByNodes
{
  std::set<std::string> names_;
  std::set<Endpoint> endpoints_;
  std::set<std::string>
    dataFolders_; // prefixed with the RPC address of the node
};

// Reports properties that this node shares with an earlier one. Skips
// endpoints that could not be read, since these are already reported.
template<class Node>
void ReportDuplicates(TableReader& aReader,
                      const toml::table& aTable,
                      const Node& aNode,
                      UsedByNodes& aUsed)
{
  if (!aUsed.names_.insert(aNode.name_.Str()).second) {
    aReader.Report("name", aTable.get("name"), "a name that no other node has");
  }
  for (const std::string_view key : { "http", "rpc" }) {
    const Endpoint& endpoint = key == "http" ? aNode.http_ : aNode.rpc_;
    const bool isUnique =
      endpoint.port_ == 0 || aUsed.endpoints_.insert(endpoint).second;
    if (!isUnique) {
      aReader.Report(
        key, aTable.get(key), "an endpoint that no other node has");
    }
  }
  if constexpr (requires { aNode.dataFolder_; }) {
    const std::string folder =
      aNode.rpc_.address_ + ":" + aNode.dataFolder_.string();
    if (!aUsed.dataFolders_.insert(folder).second) {
      aReader.Report("data_folder",
                     aTable.get("data_folder"),
                     "a folder that no other node at this address has");
    }
  }
}

template<class Node>
std::vector<Node> ReadNodes(TableReader& aRoot,
                            std::string_view aKey,
                            std::string_view aFile,
                            SettingsErrors& aErrors,
                            UsedByNodes& aUsed)
{
  std::vector<Node> nodes;
  for (const toml::table* table : aRoot.Tables(aKey, 1)) {
    const std::string path =
      std::string(aKey) + "[" + std::to_string(nodes.size()) + "]";
    TableReader reader(*table, path, aFile, aErrors);
    nodes.push_back(ReadNode<Node>(reader));
    ReportDuplicates(reader, *table, nodes.back(), aUsed);
  }
  return nodes;
}

} // namespace

std::string SettingsError::ToText() const
{
  return file_ + ":" + std::to_string(line_) + ": " + key_ + " = " + value_ +
         ": accepted is " + accepted_;
}

Result<Settings, SettingsErrors> ParseSettings(std::string_view aText,
                                               std::string_view aFileName)
{
  SettingsErrors errors;
  toml::table table;
  try {
    table = toml::parse(aText, aFileName);
  } catch (const toml::parse_error& error) {
    errors.push_back(SettingsError{ .file_ = std::string(aFileName),
                                    .line_ = error.source().begin.line,
                                    .key_ = "(syntax)",
                                    .value_ = std::string(error.description()),
                                    .accepted_ = "TOML" });
    return failure(std::move(errors));
  } catch (const std::runtime_error& error) {
    errors.push_back(SettingsError{ .file_ = std::string(aFileName),
                                    .key_ = "(syntax)",
                                    .value_ = error.what(),
                                    .accepted_ = "TOML" });
    return failure(std::move(errors));
  }
  TableReader root(table, "", aFileName, errors);
  Settings settings;
  settings.deployment_ = root.Text("deployment");
  settings.objective_ =
    root.OneOf("objective", { "idle-capacity", "roll-out-time" });
  settings.operatorTokenFile_ = root.Text("operator_token_file");
  settings.upstreamTokenFile_ = root.Text("upstream_token_file");
  settings.logFolder_ = root.OptionalText("log_folder");
  if (const toml::table* limits = root.Table("limits")) {
    settings.limits_ = ReadLimits(*limits, aFileName, errors);
  }
  UsedByNodes used;
  settings.entries_ =
    ReadNodes<EntrySettings>(root, "entry", aFileName, errors, used);
  settings.controls_ =
    ReadNodes<ControlSettings>(root, "control", aFileName, errors, used);
  settings.ledgers_ =
    ReadNodes<LedgerSettings>(root, "ledger", aFileName, errors, used);
  root.ReportUnknownKeys();
  if (!errors.empty()) {
    return failure(std::move(errors));
  }
  return settings;
}

Result<Settings, SettingsErrors> LoadSettings(
  const std::filesystem::path& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    return failure(
      SettingsErrors{ SettingsError{ .file_ = aFile.string(),
                                     .key_ = "(file)",
                                     .value_ = "cannot be opened",
                                     .accepted_ = "a readable TOML file" } });
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseSettings(text.str(), aFile.string());
}

std::string ToText(const Endpoint& aEndpoint)
{
  const bool isV6 = aEndpoint.address_.find(':') != std::string::npos;
  const std::string host =
    isV6 ? "[" + aEndpoint.address_ + "]" : aEndpoint.address_;
  return host + ":" + std::to_string(aEndpoint.port_);
}

} // namespace vanillahatch
