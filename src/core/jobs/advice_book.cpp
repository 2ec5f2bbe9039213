#include "vanillahatch/core/jobs/advice_book.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Instances of one call: enough for a wide step, while the time that the
// advisor takes for each stays below that of a short task.
constexpr size_t kMostAsked = 30;
// After a call that was not answered, or refused for too many calls.
constexpr Millis kAskAgainAfter = Millis(200);
// A start must reach its instance before its ticket expires.
constexpr Millis kTicketMargin = Millis(300);

} // namespace

AdviceStep ToAdviceStep(const TaskRef& aTask)
{
  return { .jobOrder_ = aTask.job_->order_,
           .occurrence_ = aTask.occurrence_,
           .step_ = aTask.step_ };
}

const std::string* AdviceBook::TicketFor(Millis aNow,
                                         const AdviceStep& aStep,
                                         const InstanceKey& aInstance) const
{
  const auto step = opinions_.find(aStep);
  if (step == opinions_.end()) {
    return nullptr;
  }
  const auto it = step->second.find(aInstance);
  const bool isValid = it != step->second.end() && it->second.isGood_ &&
                       aNow + kTicketMargin < it->second.validUntil_;
  return isValid ? &it->second.ticket_ : nullptr;
}

std::vector<InstanceKey> AdviceBook::ChooseAsked(
  Millis aNow,
  const AdviceStep& aStep,
  std::span<const InstanceKey* const> aUsable) const
{
  if (isUnderWay_ || aNow < nextCallAt_) {
    return {};
  }
  const auto step = opinions_.find(aStep);
  std::vector<InstanceKey> asked;
  std::vector<InstanceKey> unknown;
  for (const InstanceKey* instance : aUsable) {
    const Opinion* opinion = nullptr;
    if (step != opinions_.end()) {
      const auto it = step->second.find(*instance);
      opinion = it != step->second.end() ? &it->second : nullptr;
    }
    if (opinion == nullptr) {
      unknown.push_back(*instance);
    } else if (opinion->isGood_ && !TicketFor(aNow, aStep, *instance)) {
      asked.push_back(*instance);
    }
  }
  asked.insert(asked.end(), unknown.begin(), unknown.end());
  asked.resize(std::min(asked.size(), kMostAsked));
  return asked;
}

void AdviceBook::Begin(const AdviceStep& aStep)
{
  isUnderWay_ = true;
  opinions_.try_emplace(aStep);
}

void AdviceBook::OnAnswer(Millis aNow,
                          const AdviceStep& aStep,
                          std::span<const InstanceKey> aAsked,
                          const AdviceReply& aReply)
{
  isUnderWay_ = false;
  if (!aReply.isAnswered_) {
    nextCallAt_ = aNow + kAskAgainAfter;
    return;
  }
  const auto step = opinions_.find(aStep);
  if (step == opinions_.end()) {
    return; // Its job has closed.
  }
  for (const InstanceKey& instance : aAsked) {
    Opinion& opinion = step->second[instance];
    const auto good = std::find_if(
      aReply.good_.begin(), aReply.good_.end(), [&](const Ticket& aTicket) {
        return aTicket.instance_ == instance.id_;
      });
    opinion.isGood_ = good != aReply.good_.end();
    opinion.ticket_ = opinion.isGood_ ? good->ticket_ : std::string();
    opinion.validUntil_ = aNow + aReply.validity_;
  }
}

void AdviceBook::DropTicket(const AdviceStep& aStep,
                            const InstanceKey& aInstance)
{
  const auto step = opinions_.find(aStep);
  if (step == opinions_.end()) {
    return;
  }
  const auto it = step->second.find(aInstance);
  if (it != step->second.end()) {
    it->second.validUntil_ = {};
  }
}

void AdviceBook::KeepOnly(const std::map<uint64_t, Job*>& aOpenJobs)
{
  std::erase_if(opinions_, [&](const auto& aItem) {
    return !aOpenJobs.contains(aItem.first.jobOrder_);
  });
}

} // namespace vanillahatch
