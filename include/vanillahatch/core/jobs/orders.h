// What the scheduler asks of instances and of the platform, and what comes
// back. Typed messages without a wire format; an adapter translates them.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/jobs/job_store.h"
#include "vanillahatch/core/upstream.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace vanillahatch {

// What an instance says of itself.
struct InstanceReport
{
  v1::InstanceRecord record_;
  uint64_t sequence_ = 0; // rises within one incarnation
  bool isReady_ = false;  // false: it drains
  Millis remaining_;      // of a draining instance, at least
};

// An order that cannot leave within this time of its decision is not sent. An
// instance that dies, is born again under its id and reports takes longer, so
// no order for a former life reaches the next one.
constexpr Millis kSendOrdersWithin = Millis(300);

// Where an order goes and on whose authority.
struct OrderTarget
{
  InstanceKey instance_;
  Endpoint endpoint_;
  uint64_t fencingToken_ = 0;
};

struct StartOrder
{
  OrderTarget target_;
  TaskRef ref_;
  v1::TaskName task_;
  uint32_t run_ = 0;
  std::string text_;
  std::string checkpoint_;
  std::string ticket_; // of the advisor; empty: none needed
  Millis deadline_;    // on the instance's clock
};

struct StopOrder
{
  OrderTarget target_;
  TaskRef ref_;
  v1::TaskName task_;
  uint32_t run_ = 0;
  // Allowed by an availability budget as it is now: not sent late. Any other
  // stop is sent however late.
  bool expires_ = false;
};

// Renews the lease of everything on the instance, confirms ends, and asks for
// the lists of runs and ends.
struct HoldOrder
{
  OrderTarget target_;
  std::optional<Millis> deadline_; // on the instance's clock
  uint64_t endCursor_ = 0;
  Millis wait_; // for an end, at most
};

// The share of its work that a run may do.
struct PaceOrder
{
  OrderTarget target_;
  TaskRef ref_;
  v1::TaskName task_;
  uint32_t run_ = 0;
  uint32_t percent_ = 100;
};

enum class OrderStatus
{
  kAccepted,
  kFenced,       // a higher fencing token was seen there
  kRunTooOld,    // that run or a later one was stopped or ended there
  kPastDeadline, // of the order
  kNoRoom,
  kNoTicket,
  kUnhealthy,        // the instance has done nothing
  kOtherIncarnation, // the addressed incarnation is gone
  kRefused,          // for a reason that a retry will not change
  kNotSent,
  kUnknown, // it may have been, or may yet be, carried out
};

struct OrderResult
{
  OrderStatus status_ = OrderStatus::kUnknown;
  std::optional<Millis> clock_; // of the instance, when it answered
};

struct RunningTask
{
  v1::TaskName task_;
  uint32_t run_ = 0;
  std::string checkpoint_;
  uint32_t percent_ = 0; // share of full work; 100: at work
  // Over the last half second: the tail of response times in milliseconds of
  // a task that serves, thousandths of a core in use of any other.
  uint32_t load_ = 0;
};

struct EndedTask
{
  uint64_t number_ = 0;
  v1::TaskName task_;
  uint32_t run_ = 0;
  v1::RunOutcome outcome_ = v1::RUN_STOPPED;
  std::string reason_; // as the instance gives it
  std::string checkpoint_;
};

struct InstanceListing
{
  std::vector<RunningTask> running_;
  std::vector<EndedTask> ended_;
  int64_t bornUnixMs_ = 0; // 0: not said
};

// An operation on a machine, on the platform's API.
struct MachineOrder
{
  std::string machine_;
  std::string pool_;  // a move to it; empty: an upkeep
  uint64_t wave_ = 0; // of an upkeep
  uint64_t fencingToken_ = 0;
};

enum class MachineOrderStatus
{
  kAccepted,
  kFenced,
  kBusy, // not up, or leaving
  kNotOfWave,
  kRefused,
  kThrottled, // nothing was done
  kUnknown,
};

enum class MachineState
{
  kUp,
  kMoving,
  kUpkeep,
  kDown,
};

struct MachineView
{
  std::string machine_;
  std::string pool_;
  MachineState state_ = MachineState::kDown;
  std::string instance_; // id of its present one; empty: none
};

// Names a step for as long as its job is open.
struct AdviceStep
{
  uint64_t jobOrder_ = 0; // of acceptance
  uint32_t occurrence_ = 0;
  uint32_t step_ = 0;

  friend auto operator<=>(const AdviceStep&, const AdviceStep&) = default;
};

// Asks the advisor which of some instances may run a step.
struct AdviceOrder
{
  AdviceStep advisedStep_;
  v1::TaskName name_; // of its first task
  std::vector<InstanceKey> asked_;
};

// Goes with a start on that instance.
struct Ticket
{
  std::string instance_; // id
  std::string ticket_;
};

struct AdviceReply
{
  bool isAnswered_ = false; // false: nothing was learned
  std::vector<Ticket> good_;
  Millis validity_; // of the tickets, from when they came
};

// Asks for the list of all machines.
struct MachineListOrder
{};

struct Proposal
{
  uint64_t number_ = 0;
  v1::JobChanges changes_;
};

using SchedulerAction = std::variant<StartOrder,
                                     StopOrder,
                                     HoldOrder,
                                     PaceOrder,
                                     MachineOrder,
                                     MachineListOrder,
                                     AdviceOrder,
                                     Proposal>;

} // namespace vanillahatch
