// Tells the other entries what upstreams announced here, and takes in what
// they tell us.
#pragma once

#include "vanillahatch/core/fact_exchange.h"
#include "vanillahatch/shell/settings.h"

#include "entry.grpc.pb.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

namespace vanillahatch {

v1::UpstreamFact ToWire(const UpstreamFact& aFact);
UpstreamFact FromWire(const v1::UpstreamFact& aFact);

// The exchange of one entry with the others, safe from any thread.
class SharedFacts
{
public:
  void Hear(const UpstreamFact& aFact, Millis aNow);
  std::optional<v1::FactBatch> TakeBatch(Millis aNow);
  std::vector<UpstreamFact> Open(const v1::FactBatch& aBatch,
                                 Millis aNow,
                                 v1::FactAck& aAck);
  void SendWhole(const v1::FactAck& aAck, Millis aNow);

private:
  std::mutex mutex_;
  FactExchange exchange_;
  Millis nextForget_;
};

class PeerLink
{
public:
  PeerLink(const NodeName& aSelf,
           std::span<const EntrySettings> aEntries,
           SharedFacts& aFacts,
           const Clock& aClock);

  // Sends what waits to every other entry. Called every few milliseconds.
  void Flush();

private:
  NodeName self_;
  SharedFacts& facts_;
  const Clock& clock_;
  std::vector<std::shared_ptr<v1::EntryPeerService::Stub>> stubs_;
};

class PeerService : public v1::EntryPeerService::CallbackService
{
public:
  using Sink = std::function<void(const UpstreamFact&)>;

  using SlotSink = std::function<void(const v1::SlotBatch&)>;

  PeerService(SharedFacts& aFacts,
              const Clock& aClock,
              Sink aSink,
              SlotSink aSlotSink);

  grpc::ServerUnaryReactor* Share(grpc::CallbackServerContext* aContext,
                                  const v1::FactBatch* aRequest,
                                  v1::FactAck* aReply) override;
  grpc::ServerUnaryReactor* Slots(grpc::CallbackServerContext* aContext,
                                  const v1::SlotBatch* aRequest,
                                  v1::SlotAck* aReply) override;

private:
  SharedFacts& facts_;
  const Clock& clock_;
  Sink sink_;
  SlotSink slotSink_;
};

} // namespace vanillahatch
