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
  std::vector<OutgoingCopyRequest> first = catchUp.Start(clock.Now());
  std::deque<OutgoingCopyRequest> sends(first.begin(), first.end());
  while (!stopping_ && !catchUp.Result()) {
    if (sends.empty()) {
      std::this_thread::sleep_for(
        std::chrono::milliseconds(kTickInterval.Count()));
      const std::vector<OutgoingCopyRequest> again =
        catchUp.OnTick(clock.Now());
      sends.assign(again.begin(), again.end());
      continue;
    }
    const OutgoingCopyRequest send = std::move(sends.front());
    sends.pop_front();
    const std::vector<OutgoingCopyRequest> next = SendRequest(catchUp, send);
    sends.insert(sends.end(), next.begin(), next.end());
  }
  if (catchUp.Result()) {
    replica_.Install(*catchUp.Result());
  }
}

std::vector<OutgoingCopyRequest> CatchUpClient::SendRequest(
  ClaimCatchUp& aCatchUp,
  const OutgoingCopyRequest& aSend)
{
  const SystemClock clock;
  grpc::ClientContext context;
  SetDeadline(context, kCopyTimeout);
  v1::CopyReply reply;
  const grpc::Status status =
    stubs_[aSend.replicaIndex_]->Copy(&context, aSend.request_, &reply);
  if (!status.ok()) {
    return {};
  }
  return aCatchUp.OnReply(
    aSend.replicaIndex_, aSend.request_, reply, clock.Now());
}

} // namespace vanillahatch
