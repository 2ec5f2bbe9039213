// Orders that the scheduler sends to instances, the platform and the advisor,
// and their replies. Independent of the wire format; adapters translate them.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/jobs/job_store.h"
#include "vanillahatch/core/upstream.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace vanillahatch {

// The status that an instance reports about itself.
struct InstanceReport
{
  v1::InstanceRecord record_;
  uint64_t sequence_ = 0; // increases within one incarnation
  bool isReady_ = false;  // false: draining
  Millis remaining_;      // draining instance: minimum time until it ends
};

// An order that is not sent within this time of its decision is dropped,
// however many queues and relays it passes, so that it hardly reaches a later
// incarnation than it was decided for.
constexpr Millis kMaxOrderDelay = Millis(300);

// The recipient of an order, and the fencing token of the leader that sends it.
struct OrderTarget
{
  InstanceKey instance_;
  Endpoint endpoint_;
  uint64_t fencingToken_ = 0;
  // The order is not sent after this time, on the clock of the process that
  // holds it. Unset for stops that do not expire.
  std::optional<Millis> sendBy_;
};

struct StartOrder
{
  OrderTarget target_;
  TaskRef ref_;
  v1::TaskName task_;
  uint32_t run_ = 0;
  std::string text_;
  std::string checkpoint_;
  std::string ticket_; // from the advisor; empty: none required
  Millis deadline_;    // on the instance's clock
};

struct StopOrder
{
  OrderTarget target_;
  TaskRef ref_;
  v1::TaskName task_;
  uint32_t run_ = 0;
  // True if the stop relies on the current state of an availability budget and
  // is dropped when late. Other stops are sent regardless of delay.
  bool expires_ = false;
};

// Renews the lease of all runs on the instance, confirms ends, and requests the
// lists of runs and ends.
struct HoldOrder
{
  OrderTarget target_;
  std::optional<Millis> deadline_; // on the instance's clock
  uint64_t endCursor_ = 0;         // ends up to this number are confirmed
  Millis wait_; // maximum time that the instance may wait for an end
};

// Limits a run to a percentage of its full work.
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
  kFenced,       // the instance has received a higher fencing token
  kRunTooOld,    // that run or a later one was stopped or ended there
  kPastDeadline, // the deadline of the order has passed
  kNoCapacity,
  kNoTicket,
  kUnavailable,      // overloaded or unhealthy instance; without effect
  kOtherIncarnation, // the addressed incarnation has ended
  kRefused,          // a retry would be rejected as well
  kNotSent,
  kUnknown, // the order may have been, or may yet be, executed
};

struct OrderResult
{
  OrderStatus status_ = OrderStatus::kUnknown;
  std::optional<Millis> clock_; // instance's clock at the reply
};

struct RunningTask
{
  v1::TaskName task_;
  uint32_t run_ = 0;
  std::string checkpoint_;
  uint32_t percent_ = 0; // of full work; 100: running unthrottled
  // Over the last half second. Latency-sensitive task: tail latency in
  // milliseconds. Any other task: processor use in thousandths of a core.
  uint32_t load_ = 0;
};

struct EndedTask
{
  uint64_t number_ = 0;
  v1::TaskName task_;
  uint32_t run_ = 0;
  v1::RunOutcome outcome_ = v1::RUN_STOPPED;
  std::string reason_; // text reported by the instance
  std::string checkpoint_;
};

struct InstanceListing
{
  std::vector<RunningTask> running_;
  std::vector<EndedTask> ended_;
  int64_t startedUnixMs_ = 0; // start of the incarnation; 0: not reported
};

// An operation on a machine through the platform's API.
struct MachineOrder
{
  std::string machine_;
  std::string pool_;  // destination of a move; empty: maintenance
  uint64_t wave_ = 0; // number of the maintenance wave
  uint64_t fencingToken_ = 0;
};

enum class MachineOrderStatus
{
  kAccepted,
  kFenced,
  kBusy,      // the machine is not up, or about to leave
  kNotOfWave, // the platform rejected it as not part of the wave
  kRefused,
  kThrottled, // rate limited; without effect
  kUnknown,
};

enum class MachineState
{
  kUp,
  kMoving,
  kMaintenance,
  kDown,
};

struct MachineView
{
  std::string machine_;
  std::string pool_;
  MachineState state_ = MachineState::kDown;
  std::string instance_; // id of its current instance; empty: none
};

// Identifies a step of an open job.
struct AdviceStep
{
  uint64_t jobAcceptanceIndex_ = 0; // `Job::acceptanceIndex_`
  uint32_t occurrence_ = 0;
  uint32_t step_ = 0;

  friend auto operator<=>(const AdviceStep&, const AdviceStep&) = default;
};

// Asks the advisor which of the given instances may run a step.
struct AdviceOrder
{
  AdviceStep advisedStep_;
  v1::TaskName name_; // of the step's first task
  std::vector<InstanceKey> queried_;
};

// Authorizes a start on that instance.
struct Ticket
{
  std::string instance_; // id
  std::string ticket_;
};

struct AdviceReply
{
  bool isAnswered_ = false; // false: the call failed, other fields are unset
  std::vector<Ticket> allowed_; // instances that may run the step
  Millis validity_;             // of the tickets, from their arrival
};

// Requests the list of all machines.
struct MachineListOrder
{};

// Changes to append to the replicated log.
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
