// Tells the other entries what upstreams announced here, and takes in what
// they tell us.
#pragma once

#include "vanillahatch/core/upstream.h"
#include "vanillahatch/shell/settings.h"

#include "entry.grpc.pb.h"

#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace vanillahatch {

v1::UpstreamFact ToWire(const UpstreamFact& aFact);
UpstreamFact FromWire(const v1::UpstreamFact& aFact);

class PeerLink
{
public:
  PeerLink(const NodeName& aSelf, std::span<const EntrySettings> aEntries);

  // Sends the fact to every other entry; each renewal repeats it, so a lost
  // message is made good by the next.
  void Share(const UpstreamFact& aFact);

private:
  NodeName self_;
  std::vector<std::shared_ptr<v1::EntryPeerService::Stub>> stubs_;
};

class PeerService : public v1::EntryPeerService::CallbackService
{
public:
  using Sink = std::function<void(const UpstreamFact&)>;

  explicit PeerService(Sink aSink);

  grpc::ServerUnaryReactor* Share(grpc::CallbackServerContext* aContext,
                                  const v1::FactBatch* aRequest,
                                  v1::FactAck* aReply) override;

private:
  Sink sink_;
};

} // namespace vanillahatch
