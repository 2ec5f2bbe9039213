// A grantor and a few holders in virtual time, with clocks that differ in
// offset and rate, and a network whose messages a test delivers, repeats,
// delays or loses.
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
  int64_t ratePpm_ = 0; // parts per million fast

  Millis At(Millis aReal) const
  {
    return Millis(offset_ + aReal.Count() +
                  aReal.Count() * ratePpm_ / 1'000'000);
  }
};

class GrantWorld
{
public:
  struct Node
  {
    TestClock clock_;
    std::unique_ptr<GrantHolder> holder_;
    GrantHolder::InFlight inFlight_;
    Millis frozenUntil_;
    bool cut_ = false; // from the grantor
  };

  struct Message
  {
    size_t node_ = 0;
    std::optional<v1::GrantRequest> request_;
    v1::GrantReply reply_; // without a request
  };

  GrantWorld(size_t aHolders, std::vector<std::string> aInstances)
    : instances_(std::move(aInstances))
  {
    for (const char* pool : { "loops", "billing" }) {
      v1::Change change = Fresh();
      change.mutable_put_pool()->set_name(pool);
      // The service of the instances is not that of a pool, so that tests
      // decide when an instance gets its first membership.
      change.mutable_put_pool()->set_service(std::string(pool) + "-service");
      change.mutable_put_pool()->set_ceiling(10);
      log_.Apply(change);
    }
    nodes_.resize(aHolders);
    for (size_t i = 0; i < aHolders; ++i) {
      RestartHolder(i);
    }
    RestartGrantor();
  }

  v1::Change Fresh()
  {
    v1::Change change;
    change.set_change_id("world-" + std::to_string(++changes_));
    change.set_proposed_at_unix_ms(1'800'000'000'000 + changes_);
    return change;
  }

  v1::ChangeStatus Assign(const std::string& aInstance,
                          const std::string& aPool)
  {
    const v1::Membership* held = FindMembership(log_.State(), aInstance);
    v1::Change change = Fresh();
    change.mutable_assign_instance()->set_instance(aInstance);
    change.mutable_assign_instance()->set_pool(aPool);
    change.mutable_assign_instance()->set_data_centre("lagos-1");
    change.mutable_assign_instance()->set_epoch(
      held != nullptr ? held->epoch() + 1 : 1);
    return Commit(change);
  }

  v1::ChangeStatus Drain(const std::string& aInstance, bool aDraining = true)
  {
    v1::Change change = Fresh();
    change.mutable_drain_instance()->set_instance(aInstance);
    change.mutable_drain_instance()->set_draining(aDraining);
    change.mutable_drain_instance()->set_reason("test");
    return Commit(change);
  }

  v1::ChangeStatus Commit(const v1::Change& aChange)
  {
    const v1::ChangeStatus status = log_.Apply(aChange).status();
    if (!logCut_) {
      grantor_->OnState(log_.State());
    }
    return status;
  }

  void RestartGrantor()
  {
    grantor_ = std::make_unique<Grantor>(
      GrantorOptions{ .dataCentre_ = DataCentreName("lagos-1"),
                      .incarnation_ = "g" + std::to_string(++incarnations_),
                      .holders_ = {} },
      MakeWholeSlots(),
      clock_.At(now_));
    // A replica may come back with an older state than it had.
    grantor_->OnState(log_.State());
  }

  void RestartHolder(size_t aNode)
  {
    Node& node = nodes_[aNode];
    node.holder_ = std::make_unique<GrantHolder>(
      GrantHolderOptions{ .holder_ = NodeName("e" + std::to_string(aNode)),
                          .session_ = std::to_string(++sessions_),
                          .period_ = period_ });
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
    if (now_ < node.frozenUntil_) {
      return;
    }
    auto request = node.holder_->Tick(Local(aNode), node.inFlight_);
    if (request) {
      network_.push_back({ .node_ = aNode, .request_ = std::move(request) });
    }
  }

  void Deliver(const Message& aMessage)
  {
    Node& node = nodes_[aMessage.node_];
    if (node.cut_) {
      return;
    }
    if (aMessage.request_) {
      network_.push_back(
        { .node_ = aMessage.node_,
          .reply_ = grantor_->OnRequest(*aMessage.request_, clock_.At(now_)) });
      return;
    }
    if (now_ < node.frozenUntil_) {
      network_.push_back(aMessage);
      return;
    }
    node.holder_->OnReply(aMessage.reply_, Local(aMessage.node_));
    node.holder_->TakeChanges();
  }

  void TickGrantor()
  {
    for (v1::Change& change : grantor_->OnTick(clock_.At(now_))) {
      if (!logCut_) {
        change.set_proposed_at_unix_ms(1'800'000'000'000 + ++changes_);
        Commit(change);
      }
    }
  }

  // Quiet running: everything that is sent arrives at once.
  void Run(Millis aSpan, Millis aStep = Millis(50))
  {
    const Millis end = now_ + aSpan;
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

  Millis Local(size_t aNode) const { return nodes_[aNode].clock_.At(now_); }

  // What the holders may use an instance for at this moment, read at the time
  // of each one's own clock, as a dispatch does.
  std::set<Assignment> Live(const std::string& aInstance) const
  {
    std::set<Assignment> live;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      for (const Grant& grant : nodes_[i].holder_->Grants(Local(i))) {
        if (grant.instance_.Str() == aInstance) {
          live.insert({ .pool_ = grant.pool_, .epoch_ = grant.epoch_ });
        }
      }
    }
    return live;
  }

  size_t Holders(const std::string& aInstance) const
  {
    size_t count = 0;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      for (const Grant& grant : nodes_[i].holder_->Grants(Local(i))) {
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
  bool logCut_ = false; // the grantor from the control log
  std::unique_ptr<Grantor> grantor_;
  int64_t changes_ = 0;
  int incarnations_ = 0;
  int sessions_ = 0;
  Millis period_ = GrantHolderOptions().period_; // of holders made from now on
};

} // namespace vanillahatch
