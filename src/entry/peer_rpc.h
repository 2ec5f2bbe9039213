// Sends announcements that upstreams made to this entry to the other entries,
// and receives theirs and their messages of slot sharing.
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

// A `FactExchange` whose messages are protos. Safe to use from any thread.
class SharedFactExchange
{
public:
  // Records an announcement that an upstream sent to this entry.
  void Receive(const UpstreamFact& aFact, Millis aNow);
  // Returns what is due to be sent to every other entry, if anything.
  std::optional<v1::FactBatch> TakeBatch(Millis aNow);
  // Records another entry's batch and returns its new and renewed facts.
  // Renewals of unknown facts are listed in `aAck`.
  std::vector<UpstreamFact> Apply(const v1::FactBatch& aBatch,
                                  Millis aNow,
                                  v1::FactAck& aAck);
  // Queues the facts that another entry reported as unknown.
  void QueueFullFacts(const v1::FactAck& aAck, Millis aNow);

private:
  std::mutex mutex_;
  FactExchange exchange_;
  Millis nextPruneAt_;
};

// Sends batches of facts to the other entries.
class FactSender
{
public:
  FactSender(const NodeName& aSelf,
             std::span<const EntrySettings> aEntries,
             SharedFactExchange& aExchange,
             const Clock& aClock);

  // Sends the facts that are due to every other entry. To be called every few
  // milliseconds. A batch whose call fails is not sent again.
  void Flush();

private:
  NodeName self_;
  SharedFactExchange& exchange_;
  const Clock& clock_;
  std::vector<std::shared_ptr<v1::EntryPeerService::Stub>> stubs_;
};

// Receives facts and messages of slot sharing from the other entries. The
// callbacks run on gRPC's threads.
class PeerService : public v1::EntryPeerService::CallbackService
{
public:
  using FactCallback = std::function<void(const UpstreamFact&)>;
  using SlotBatchCallback = std::function<void(const v1::SlotBatch&)>;

  PeerService(SharedFactExchange& aExchange,
              const Clock& aClock,
              FactCallback aOnFact,
              SlotBatchCallback aOnSlotBatch);

  grpc::ServerUnaryReactor* Share(grpc::CallbackServerContext* aContext,
                                  const v1::FactBatch* aRequest,
                                  v1::FactAck* aReply) override;
  grpc::ServerUnaryReactor* Slots(grpc::CallbackServerContext* aContext,
                                  const v1::SlotBatch* aRequest,
                                  v1::SlotAck* aReply) override;

private:
  SharedFactExchange& exchange_;
  const Clock& clock_;
  FactCallback onFact_;
  SlotBatchCallback onSlotBatch_;
};

} // namespace vanillahatch
