#include "ledger/catch_up_link.h"

#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/rpc.h"
#include "vanillahatch/shell/system_clock.h"

#include <deque>

namespace vanillahatch {

namespace {

constexpr Millis kCopyTimeout = Seconds(2);
constexpr Millis kTickInterval = Millis(50);

} // namespace

CatchUpLink::CatchUpLink(LedgerReplica& aReplica,
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

CatchUpLink::~CatchUpLink()
{
  stopping_ = true;
  thread_.join();
}

void CatchUpLink::RunCatchUp()
{
  const SystemClock clock;
  ClaimCatchUp catchUp({ .replica_ = selfIndex_,
                         .replicas_ = static_cast<uint32_t>(stubs_.size()) });
  std::vector<SendCopy> first = catchUp.Start(clock.Now());
  std::deque<SendCopy> sends(first.begin(), first.end());
  while (!stopping_ && !catchUp.Result()) {
    if (sends.empty()) {
      std::this_thread::sleep_for(
        std::chrono::milliseconds(kTickInterval.Count()));
      const std::vector<SendCopy> again = catchUp.OnTick(clock.Now());
      sends.assign(again.begin(), again.end());
      continue;
    }
    const SendCopy send = std::move(sends.front());
    sends.pop_front();
    const std::vector<SendCopy> next = SendRequest(catchUp, send);
    sends.insert(sends.end(), next.begin(), next.end());
  }
  if (catchUp.Result()) {
    replica_.Install(*catchUp.Result());
  }
}

std::vector<SendCopy> CatchUpLink::SendRequest(ClaimCatchUp& aCatchUp,
                                               const SendCopy& aSend)
{
  const SystemClock clock;
  grpc::ClientContext context;
  SetDeadline(context, kCopyTimeout);
  v1::CopyReply reply;
  const grpc::Status status =
    stubs_[aSend.replica_]->Copy(&context, aSend.request_, &reply);
  if (!status.ok()) {
    return {};
  }
  return aCatchUp.OnReply(aSend.replica_, aSend.request_, reply, clock.Now());
}

} // namespace vanillahatch
