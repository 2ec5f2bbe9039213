// Simulates a grantor and its holders in virtual time, with clocks that differ
// in offset and rate, and a network whose messages a test delivers, repeats,
// delays or loses.
//
//   GrantSimulation simulation(3, { "i1" });
//   simulation.Assign("i1", "loops");
//   simulation.Run(Seconds(5));
//   BOOST_TEST(simulation.HolderCount("i1") == 3U);
#pragma once

#include "vanillahatch/core/fleet_config.h"
#include "vanillahatch/core/grant_holder.h"
#include "vanillahatch/core/grantor.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillahatch {

struct TestClock
{
  int64_t offset_ = 0;  // ms
  int64_t ratePpm_ = 0; // parts per million ahead of real time

  Millis At(Millis aReal) const
  {
    return Millis(offset_ + aReal.Count() +
                  aReal.Count() * ratePpm_ / 1'000'000);
  }
};

class GrantSimulation
{
public:
  struct Node
  {
    TestClock clock_;
    std::unique_ptr<GrantHolder> holder_;
    GrantHolder::InFlight inFlight_;
    Millis suspendedUntil_;     // real time; the node does nothing until then
    bool disconnected_ = false; // no connection to the grantor
  };

  struct Message
  {
    size_t node_ = 0;
    std::optional<v1::GrantRequest> request_;
    v1::GrantReply reply_; // if there is no request
  };

  GrantSimulation(size_t aHolderCount, std::vector<std::string> aInstances)
    : instances_(std::move(aInstances))
  {
    for (const char* pool : { "loops", "billing" }) {
      v1::Change change = NewChange();
      change.mutable_put_pool()->set_name(pool);
      // The instances belong to another service than the pools, so that each
      // test decides when an instance gets its first membership.
      change.mutable_put_pool()->set_service(std::string(pool) + "-service");
      change.mutable_put_pool()->set_ceiling(10);
      log_.Apply(change);
    }
    nodes_.resize(aHolderCount);
    for (size_t i = 0; i < aHolderCount; ++i) {
      RestartHolder(i);
    }
    RestartGrantor();
  }

  v1::Change NewChange()
  {
    v1::Change change;
    change.set_change_id("world-" + std::to_string(++changeCount_));
    change.set_proposed_at_unix_ms(1'800'000'000'000 + changeCount_);
    return change;
  }

  v1::ChangeStatus Assign(const std::string& aInstance,
                          const std::string& aPool)
  {
    const v1::Membership* held = FindMembership(log_.State(), aInstance);
    v1::Change change = NewChange();
    change.mutable_assign_instance()->set_instance(aInstance);
    change.mutable_assign_instance()->set_pool(aPool);
    change.mutable_assign_instance()->set_data_centre("lagos-1");
    change.mutable_assign_instance()->set_epoch(
      held != nullptr ? held->epoch() + 1 : 1);
    return Commit(change);
  }

  v1::ChangeStatus Drain(const std::string& aInstance, bool aDraining = true)
  {
    v1::Change change = NewChange();
    change.mutable_drain_instance()->set_instance(aInstance);
    change.mutable_drain_instance()->set_draining(aDraining);
    change.mutable_drain_instance()->set_reason("test");
    return Commit(change);
  }

  v1::ChangeStatus Commit(const v1::Change& aChange)
  {
    const v1::ChangeStatus status = log_.Apply(aChange).status();
    if (!logDisconnected_) {
      grantor_->OnState(log_.State());
    }
    return status;
  }

  void RestartGrantor()
  {
    grantor_ = std::make_unique<Grantor>(
      GrantorOptions{ .dataCentre_ = DataCentreName("lagos-1"),
                      .incarnation_ = "g" + std::to_string(++incarnationCount_),
                      .expectedHolders_ = {} },
      MakeUndividedSlots(),
      clock_.At(now_));
    // A restarted replica may have an older state than before.
    grantor_->OnState(log_.State());
  }

  void RestartHolder(size_t aNode)
  {
    Node& node = nodes_[aNode];
    node.holder_ = std::make_unique<GrantHolder>(
      GrantHolderOptions{ .holder_ = NodeName("e" + std::to_string(aNode)),
                          .session_ = std::to_string(++sessionCount_),
                          .renewInterval_ = renewInterval_ });
    node.inFlight_.clear();
    for (const std::string& instance : instances_) {
      node.holder_->PutUpstream({ .instance_ = InstanceName(instance),
                                  .service_ = ServiceName("readings"),
                                  .slots_ = 8,
                                  .connections_ = 64 });
    }
  }

  void TickHolder(size_t aNode)
  {
    Node& node = nodes_[aNode];
    if (now_ < node.suspendedUntil_) {
      return;
    }
    auto request = node.holder_->Tick(LocalTime(aNode), node.inFlight_);
    if (request) {
      network_.push_back({ .node_ = aNode, .request_ = std::move(request) });
    }
  }

  void Deliver(const Message& aMessage)
  {
    Node& node = nodes_[aMessage.node_];
    if (node.disconnected_) {
      return;
    }
    if (aMessage.request_) {
      network_.push_back(
        { .node_ = aMessage.node_,
          .reply_ = grantor_->OnRequest(*aMessage.request_, clock_.At(now_)) });
      return;
    }
    if (now_ < node.suspendedUntil_) {
      network_.push_back(aMessage);
      return;
    }
    node.holder_->OnReply(aMessage.reply_, LocalTime(aMessage.node_));
    node.holder_->TakeChanges();
  }

  void TickGrantor()
  {
    for (v1::Change& change : grantor_->OnTick(clock_.At(now_))) {
      if (!logDisconnected_) {
        change.set_proposed_at_unix_ms(1'800'000'000'000 + ++changeCount_);
        Commit(change);
      }
    }
  }

  // Advances time in steps; every message is delivered in the step that sent
  // it.
  void Run(Millis aDuration, Millis aStep = Millis(50))
  {
    const Millis end = now_ + aDuration;
    while (now_ < end) {
      now_ = now_ + aStep;
      for (size_t i = 0; i < nodes_.size(); ++i) {
        TickHolder(i);
      }
      std::deque<Message> due = std::exchange(network_, {});
      while (!due.empty()) {
        const Message message = due.front();
        due.pop_front();
        Deliver(message);
        if (message.request_ && !network_.empty()) {
          due.push_back(network_.back());
          network_.pop_back();
        }
      }
      TickGrantor();
    }
  }

  Millis LocalTime(size_t aNode) const { return nodes_[aNode].clock_.At(now_); }

  // Returns the assignments under which the holders may use an instance, each
  // read at the time of the holder's own clock, as a dispatch does.
  std::set<Assignment> UsableAssignments(const std::string& aInstance) const
  {
    std::set<Assignment> usable;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      for (const Grant& grant : nodes_[i].holder_->Grants(LocalTime(i))) {
        if (grant.instance_.Str() == aInstance) {
          usable.insert({ .pool_ = grant.pool_, .epoch_ = grant.epoch_ });
        }
      }
    }
    return usable;
  }

  // Returns the number of holders with an unexpired grant on the instance.
  size_t HolderCount(const std::string& aInstance) const
  {
    size_t count = 0;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      for (const Grant& grant : nodes_[i].holder_->Grants(LocalTime(i))) {
        count += grant.instance_.Str() == aInstance ? 1 : 0;
      }
    }
    return count;
  }

  const v1::Membership& Membership(const std::string& aInstance) const
  {
    return *FindMembership(log_.State(), aInstance);
  }

  Millis now_;      // real time
  TestClock clock_; // the grantor's
  std::vector<std::string> instances_;
  std::vector<Node> nodes_;
  std::deque<Message> network_;
  FleetConfig log_;
  bool logDisconnected_ = false; // the grantor cannot reach the control log
  std::unique_ptr<Grantor> grantor_;
  int64_t changeCount_ = 0;
  int incarnationCount_ = 0;
  int sessionCount_ = 0;
  // Of holders that are started later.
  Millis renewInterval_ = GrantHolderOptions().renewInterval_;
};

} // namespace vanillahatch
