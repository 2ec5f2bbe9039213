#include "entry/ledger_link.h"

#include "vanillahatch/shell/rpc.h"

#include <mutex>

namespace vanillahatch {

namespace {

constexpr Millis kClaimTimeout = Seconds(1);
constexpr Millis kRecordTimeout = Seconds(5);

// Counts the replicas' replies to one claim and decides once.
class ClaimRound
{
public:
  ClaimRound(size_t aReplicas, LedgerLink::ClaimDone aDone)
    : replicas_(aReplicas)
    , done_(std::move(aDone))
  {
  }

  void Take(bool aAnswered, const v1::ClaimReply& aReply)
  {
    std::unique_lock lock(mutex_);
    ++replies_;
    if (aAnswered) {
      granted_ += aReply.status() == v1::CLAIM_GRANTED ? 1 : 0;
      held_ += aReply.status() == v1::CLAIM_HELD ? 1 : 0;
      if (aReply.status() == v1::CLAIM_RECORDED) {
        Decide(lock, ClaimVerdict::kRecorded, aReply.outcome());
        return;
      }
    }
    const size_t majority = replicas_ / 2 + 1;
    if (granted_ >= majority) {
      Decide(lock, ClaimVerdict::kGranted, {});
    } else if (replies_ == replicas_) {
      const bool held = held_ > 0;
      Decide(lock, held ? ClaimVerdict::kHeld : ClaimVerdict::kUnavailable, {});
    }
  }

private:
  void Decide(std::unique_lock<std::mutex>& aLock,
              ClaimVerdict aVerdict,
              const v1::RecordedOutcome& aOutcome)
  {
    if (decided_) {
      return;
    }
    decided_ = true;
    aLock.unlock();
    done_(aVerdict, aOutcome);
  }

  std::mutex mutex_;
  size_t replicas_;
  size_t replies_ = 0;
  size_t granted_ = 0;
  size_t held_ = 0;
  bool decided_ = false;
  LedgerLink::ClaimDone done_;
};

template<class Request, class Reply>
struct Call
{
  grpc::ClientContext context_;
  Request request_;
  Reply reply_;
};

} // namespace

LedgerLink::LedgerLink(std::span<const LedgerSettings> aLedgers)
{
  for (const LedgerSettings& ledger : aLedgers) {
    stubs_.push_back(v1::LedgerService::NewStub(MakeChannel(ledger.rpc_)));
  }
}

void LedgerLink::Claim(const v1::ClaimRequest& aRequest, ClaimDone aDone)
{
  auto round = std::make_shared<ClaimRound>(stubs_.size(), std::move(aDone));
  for (const auto& stub : stubs_) {
    auto call = std::make_shared<Call<v1::ClaimRequest, v1::ClaimReply>>();
    call->request_ = aRequest;
    SetDeadline(call->context_, kClaimTimeout);
    stub->async()->Claim(&call->context_,
                         &call->request_,
                         &call->reply_,
                         [call, round](const grpc::Status& aStatus) {
                           round->Take(aStatus.ok(), call->reply_);
                         });
  }
}

void LedgerLink::Record(const v1::OutcomeRequest& aRequest)
{
  for (const auto& stub : stubs_) {
    auto call = std::make_shared<Call<v1::OutcomeRequest, v1::OutcomeReply>>();
    call->request_ = aRequest;
    SetDeadline(call->context_, kRecordTimeout);
    stub->async()->RecordOutcome(&call->context_,
                                 &call->request_,
                                 &call->reply_,
                                 [call](const grpc::Status&) {});
  }
}

} // namespace vanillahatch
