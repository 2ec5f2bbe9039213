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

// Reads fields and keeps the first error.
class FieldReader
{
public:
  explicit FieldReader(const json::object& aObject)
    : object_(aObject)
  {
  }

  std::string ReadText(std::string_view aKey)
  {
    const json::value* value = object_.if_contains(aKey);
    if (value == nullptr || !value->is_string() ||
        value->get_string().empty() ||
        value->get_string().size() > kMaxTextBytes) {
      SetError(aKey, "must be a text of 1 to 200 bytes");
      return {};
    }
    return std::string(value->get_string());
  }

  int64_t ReadNumber(std::string_view aKey, int64_t aMin, int64_t aMax)
  {
    const json::value* value = object_.if_contains(aKey);
    boost::system::error_code error;
    const int64_t number =
      value != nullptr ? value->to_number<int64_t>(error) : 0;
    if (value == nullptr || error || number < aMin || number > aMax) {
      SetError(aKey,
               "must be a whole number from " + std::to_string(aMin) + " to " +
                 std::to_string(aMax));
      return aMin;
    }
    return number;
  }

  bool ReadFlag(std::string_view aKey)
  {
    const json::value* value = object_.if_contains(aKey);
    if (value == nullptr) {
      return false;
    }
    if (!value->is_bool()) {
      SetError(aKey, "must be true or false");
      return false;
    }
    return value->get_bool();
  }

  void SetError(std::string_view aKey, std::string aDetail)
  {
    if (firstError_.field_.empty()) {
      firstError_ = { .field_ = std::string(aKey),
                      .detail_ = std::move(aDetail) };
    }
  }

  const MalformedAnnouncement& FirstError() const { return firstError_; }

private:
  const json::object& object_;
  MalformedAnnouncement firstError_;
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
  fact.instance_ = InstanceName(reader.ReadText("instance"));
  fact.service_ = ServiceName(reader.ReadText("service"));
  fact.endpoint_.address_ = reader.ReadText("address");
  boost::asio::ip::make_address(fact.endpoint_.address_, error);
  if (error) {
    reader.SetError("address", "must be an IP number");
  }
  fact.endpoint_.port_ =
    static_cast<uint16_t>(reader.ReadNumber("port", 1, UINT16_MAX));
  fact.slots_ = static_cast<uint32_t>(reader.ReadNumber("slots", 1, kMaxSlots));
  fact.connections_ =
    static_cast<uint32_t>(reader.ReadNumber("connections", 1, kMaxConnections));
  fact.dataCentre_ = DataCentreName(reader.ReadText("data_centre"));
  fact.rack_ = RackName(reader.ReadText("rack"));
  fact.worker_ = WorkerName(reader.ReadText("worker"));
  fact.generation_ =
    static_cast<uint64_t>(reader.ReadNumber("generation", 1, INT64_MAX));
  fact.sequence_ =
    static_cast<uint64_t>(reader.ReadNumber("sequence", 1, INT64_MAX));
  fact.lease_ = Millis(reader.ReadNumber("lease_ms", 100, kMaxLeaseMs));
  fact.departed_ = reader.ReadFlag("departed");
  if (!reader.FirstError().field_.empty()) {
    return failure(reader.FirstError());
  }
  return fact;
}

} // namespace vanillahatch
