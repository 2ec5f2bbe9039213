#include "entry/announce_api.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>

namespace vanillahatch {

namespace json = boost::json;

namespace {

constexpr size_t kMaxTextBytes = 200;
constexpr int64_t kMaxSlots = 4096;
constexpr int64_t kMaxConnections = 65536;
constexpr int64_t kMaxLeaseMs = 60'000;

// Reads fields and keeps the first fault.
class FieldReader
{
public:
  explicit FieldReader(const json::object& aObject)
    : object_(aObject)
  {
  }

  std::string Text(std::string_view aKey)
  {
    const json::value* value = object_.if_contains(aKey);
    if (value == nullptr || !value->is_string() ||
        value->get_string().empty() ||
        value->get_string().size() > kMaxTextBytes) {
      Fault(aKey, "must be a text of 1 to 200 bytes");
      return {};
    }
    return std::string(value->get_string());
  }

  int64_t Number(std::string_view aKey, int64_t aLeast, int64_t aMost)
  {
    const json::value* value = object_.if_contains(aKey);
    boost::system::error_code error;
    const int64_t number =
      value != nullptr ? value->to_number<int64_t>(error) : 0;
    if (value == nullptr || error || number < aLeast || number > aMost) {
      Fault(aKey,
            "must be a whole number from " + std::to_string(aLeast) + " to " +
              std::to_string(aMost));
      return aLeast;
    }
    return number;
  }

  bool Flag(std::string_view aKey)
  {
    const json::value* value = object_.if_contains(aKey);
    if (value == nullptr) {
      return false;
    }
    if (!value->is_bool()) {
      Fault(aKey, "must be true or false");
      return false;
    }
    return value->get_bool();
  }

  void Fault(std::string_view aKey, std::string aDetail)
  {
    if (fault_.field_.empty()) {
      fault_ = { .field_ = std::string(aKey), .detail_ = std::move(aDetail) };
    }
  }

  const MalformedAnnouncement& FirstFault() const { return fault_; }

private:
  const json::object& object_;
  MalformedAnnouncement fault_;
};

} // namespace

Result<UpstreamFact, MalformedAnnouncement> ParseAnnouncement(
  std::string_view aJson)
{
  boost::system::error_code error;
  const json::value value = json::parse(aJson, error);
  if (error || !value.is_object()) {
    return failure(MalformedAnnouncement{ .field_ = "(body)",
                                          .detail_ = "is no JSON object" });
  }
  FieldReader reader(value.get_object());
  UpstreamFact fact;
  fact.instance_ = InstanceName(reader.Text("instance"));
  fact.service_ = ServiceName(reader.Text("service"));
  fact.endpoint_.address_ = reader.Text("address");
  boost::asio::ip::make_address(fact.endpoint_.address_, error);
  if (error) {
    reader.Fault("address", "must be an IP number");
  }
  fact.endpoint_.port_ =
    static_cast<uint16_t>(reader.Number("port", 1, UINT16_MAX));
  fact.slots_ = static_cast<uint32_t>(reader.Number("slots", 1, kMaxSlots));
  fact.connections_ =
    static_cast<uint32_t>(reader.Number("connections", 1, kMaxConnections));
  fact.dataCentre_ = DataCentreName(reader.Text("data_centre"));
  fact.rack_ = RackName(reader.Text("rack"));
  fact.worker_ = WorkerName(reader.Text("worker"));
  fact.generation_ =
    static_cast<uint64_t>(reader.Number("generation", 1, INT64_MAX));
  fact.sequence_ =
    static_cast<uint64_t>(reader.Number("sequence", 1, INT64_MAX));
  fact.lease_ = Millis(reader.Number("lease_ms", 100, kMaxLeaseMs));
  fact.departed_ = reader.Flag("departed");
  if (!reader.FirstFault().field_.empty()) {
    return failure(reader.FirstFault());
  }
  return fact;
}

} // namespace vanillahatch
