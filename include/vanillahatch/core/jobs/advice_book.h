// Which instances the advisor lets run a step, and the tickets that starts
// there carry.
//
// The advisor takes its time for each instance asked about and one call at a
// time, so only steps that would start now are asked about, a few instances at
// once, and what it said of an instance is kept: it does not change, only its
// ticket expires.
//
//   AdviceBook book;
//   std::vector<InstanceKey> asked = book.ChooseAsked(now, step, usable);
//   book.Begin(step);
//   book.OnAnswer(now, step, asked, reply);
//   book.TicketFor(now, step, instance);
#pragma once

#include "vanillahatch/core/jobs/orders.h"

#include <span>

namespace vanillahatch {

AdviceStep ToAdviceStep(const TaskRef& aTask);

class AdviceBook
{
public:
  // Null if the step may not start there at `aNow`, as far as is known.
  const std::string* TicketFor(Millis aNow,
                               const AdviceStep& aStep,
                               const InstanceKey& aInstance) const;
  // Of `aUsable`, those to ask about next: what is known to be good and has no
  // ticket, then what was never asked about. Empty while a call is under way
  // or has just failed.
  std::vector<InstanceKey> ChooseAsked(
    Millis aNow,
    const AdviceStep& aStep,
    std::span<const InstanceKey* const> aUsable) const;

  void Begin(const AdviceStep& aStep);
  void OnAnswer(Millis aNow,
                const AdviceStep& aStep,
                std::span<const InstanceKey> aAsked,
                const AdviceReply& aReply);
  // An instance refused the ticket.
  void DropTicket(const AdviceStep& aStep, const InstanceKey& aInstance);
  // Forgets the steps of jobs that are not open.
  void KeepOnly(const std::map<uint64_t, Job*>& aOpenJobs);

private:
  struct Opinion
  {
    bool isGood_ = false;
    std::string ticket_;
    Millis validUntil_;
  };

  std::map<AdviceStep, std::map<InstanceKey, Opinion>> opinions_;
  bool isUnderWay_ = false;
  Millis nextCallAt_;
};

} // namespace vanillahatch
