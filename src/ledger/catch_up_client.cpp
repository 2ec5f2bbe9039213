#include "ledger/catch_up_client.h"

#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/rpc.h"
#include "vanillahatch/shell/system_clock.h"

#include <deque>

namespace vanillahatch {

namespace {

constexpr Millis kCopyTimeout = Seconds(2);
constexpr Millis kTickInterval = Millis(50);

} // namespace

CatchUpClient::CatchUpClient(LedgerReplica& aReplica,
                             std::span<const LedgerSettings> aLedgers,
                             uint32_t aSelfIndex)
  : replica_(aReplica)
  , selfIndex_(aSelfIndex)
{
  for (const LedgerSettings& ledger : aLedgers) {
    stubs_.push_back(v1::LedgerService::NewStub(MakeChannel(ledger.rpc_)));
  }
  thread_ = std::thread([this] { RunCatchUp(); });
}

CatchUpClient::~CatchUpClient()
{
  stopping_ = true;
  thread_.join();
}

void CatchUpClient::RunCatchUp()
{
  const SystemClock clock;
  ClaimCatchUp catchUp(
    { .replicaIndex_ = selfIndex_,
      .replicaCount_ = static_cast<uint32_t>(stubs_.size()) });
  std::vector<OutgoingCopyRequest> initial = catchUp.Start(clock.Now());
  std::deque<OutgoingCopyRequest> pending(initial.begin(), initial.end());
  while (!stopping_ && !catchUp.Result()) {
    if (pending.empty()) {
      std::this_thread::sleep_for(
        std::chrono::milliseconds(kTickInterval.Count()));
      const std::vector<OutgoingCopyRequest> retries =
        catchUp.OnTick(clock.Now());
      pending.assign(retries.begin(), retries.end());
      continue;
    }
    const OutgoingCopyRequest request = std::move(pending.front());
    pending.pop_front();
    const std::vector<OutgoingCopyRequest> followUps =
      SendRequest(catchUp, request);
    pending.insert(pending.end(), followUps.begin(), followUps.end());
  }
  if (catchUp.Result()) {
    replica_.Install(*catchUp.Result());
  }
}

std::vector<OutgoingCopyRequest> CatchUpClient::SendRequest(
  ClaimCatchUp& aCatchUp,
  const OutgoingCopyRequest& aOutgoing)
{
  const SystemClock clock;
  grpc::ClientContext context;
  SetDeadline(context, kCopyTimeout);
  v1::CopyReply reply;
  const grpc::Status status =
    stubs_[aOutgoing.replicaIndex_]->Copy(&context, aOutgoing.request_, &reply);
  if (!status.ok()) {
    return {};
  }
  return aCatchUp.OnReply(
    aOutgoing.replicaIndex_, aOutgoing.request_, reply, clock.Now());
}

} // namespace vanillahatch
