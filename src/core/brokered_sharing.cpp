#include "vanillahatch/core/broker_placement.h"
#include "vanillahatch/core/slot_sharing.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace vanillahatch {

namespace {

// An entry whose jobs have waited this long without a grant message from the
// broker uses its equal share of the slots until it receives one.
constexpr Millis kFallbackDelay = Millis(500);
// Interval of unchanged reports while jobs wait. While none does, they only
// make up for a lost report.
constexpr Millis kReportInterval = Millis(250);
constexpr Millis kIdleReportInterval = Millis(2000);
// A report in which only the number of idle slots has changed is delayed this
// long, so that one report covers several changes.
constexpr Millis kIdleSlotsReportDelay = Millis(20);
constexpr Millis kIdleTickInterval = Millis(100);
// Minimum time between two reports of a pool and between two flushes.
constexpr Millis kMinSpacing = Millis(1);
// An entry reuses a freed slot for a job that arrived up to this much later
// than the oldest job waiting elsewhere; returning the slot would leave it idle
// for a round trip.
constexpr Millis kReuseTolerance = Millis(20);
// The age of other entries' jobs is ignored if it was received longer ago.
constexpr Millis kOthersAgeValidity = Millis(100);
// Interval at which all pools are processed, instead of only changed ones.
constexpr Millis kSweepInterval = Millis(20);
// Added to the latency of a remote data centre in the decision to use it.
constexpr Millis kRemoteWaitMargin = Millis(2);
// Keeps the sequence numbers of one start of the process below those of the
// next.
constexpr uint64_t kSequencesPerStart = 1ULL << 20U;

class BrokeredSharing : public SlotSharing
{
public:
  BrokeredSharing(SlotTable& aTable, BrokeredSharingOptions aOptions)
    : table_(aTable)
    , options_(std::move(aOptions))
    , placement_(options_.self_, options_.entries_)
    , reportSequence_(options_.startNumber_ * kSequencesPerStart)
    , term_(options_.startNumber_ * kSequencesPerStart)
  {
  }

  void PutUpstream(const UpstreamFact& aFact, Millis aNow) override
  {
    Start(aNow);
    const SlotPool pool{ .service_ = aFact.service_,
                         .dataCentre_ = aFact.dataCentre_ };
    const auto known = poolByInstance_.find(aFact.instance_);
    if (known != poolByInstance_.end() && known->second != pool) {
      RemoveUpstream(aFact.instance_);
    }
    poolByInstance_[aFact.instance_] = pool;
    Client& client = clients_[pool];
    if (client.broker_.Empty()) {
      client.lastGrantAt_ = aNow;
      client.isLocal_ = aFact.dataCentre_ == table_.OwnDataCentre();
      poolsByService_[aFact.service_].push_back(pool);
      PlaceBroker(pool, client, aNow);
    }
    client.held_[aFact.instance_].announcedSlots_ = aFact.slots_;
    client.held_[aFact.instance_].connections_ =
      ConnectionShare(aFact.connections_, options_.entries_.size());
    if (const auto broker = brokers_.find(pool); broker != brokers_.end()) {
      broker->second.SetUpstream(
        aFact.instance_,
        aFact.slots_,
        ConnectionShare(aFact.connections_, options_.entries_.size()));
    }
    ApplyAllowance(client, aFact.instance_);
  }

  void RemoveUpstream(const InstanceName& aInstance) override
  {
    const auto it = poolByInstance_.find(aInstance);
    if (it == poolByInstance_.end()) {
      return;
    }
    const SlotPool pool = it->second;
    poolByInstance_.erase(it);
    Client& client = clients_.at(pool);
    Held& held = client.held_[aInstance];
    client.heldTotal_ -= held.slots_;
    client.idle_ -= held.idle_;
    client.held_.erase(aInstance);
    client.dirty_ = true;
    QueuePool(pool);
    table_.SetAllowance(aInstance, 0);
    if (const auto broker = brokers_.find(pool); broker != brokers_.end()) {
      broker->second.RemoveUpstream(aInstance);
    }
  }

  void SetEjected(const InstanceName& aInstance, bool aEjected) override
  {
    const auto it = poolByInstance_.find(aInstance);
    if (it == poolByInstance_.end()) {
      return;
    }
    Client& client = clients_.at(it->second);
    Held& held = client.held_.at(aInstance);
    if (held.ejected_ == aEjected) {
      return;
    }
    held.ejected_ = aEjected;
    if (aEjected) {
      ReturnSlots(client, aInstance, held.idle_);
    }
    client.dirty_ = true;
    QueuePool(it->second);
  }

  void SetDemand(const ServiceName& aService,
                 const SlotDemand& aDemand,
                 Millis /*aNow*/) override
  {
    demands_[aService] = aDemand;
    for (const SlotPool& pool : poolsByService_[aService]) {
      QueuePool(pool);
    }
  }

  void OnAttemptStarted(const InstanceName& aInstance) override
  {
    if (Client* client = ClientOf(aInstance)) {
      UpdateIdle(*client, aInstance);
      QueuePool(poolByInstance_.at(aInstance));
    }
  }

  void OnAttemptEnded(const InstanceName& aInstance, Millis aNow) override
  {
    Client* client = ClientOf(aInstance);
    if (client == nullptr) {
      return;
    }
    UpdateIdle(*client, aInstance);
    QueuePool(poolByInstance_.at(aInstance));
    const Held& held = client->held_.at(aInstance);
    const bool surplus =
      client->heldTotal_ > client->maxHeld_ || held.ejected_ ||
      !MayReuse(poolByInstance_.at(aInstance), *client, aNow);
    if (surplus && held.idle_ > 0) {
      ReturnSlots(*client, aInstance, 1);
    }
  }

  void HandleMessage(const NodeName& aFrom,
                     const PeerMessage& aMessage,
                     Millis aNow) override
  {
    Start(aNow);
    placement_.RecordContact(aFrom, aNow);
    if (const auto* report = std::get_if<SlotReport>(&aMessage)) {
      const auto broker = brokers_.find(report->pool_);
      if (broker != brokers_.end()) {
        broker->second.HandleReport(aFrom, *report, aNow);
      }
    } else if (const auto* grant = std::get_if<SlotGrant>(&aMessage)) {
      HandleGrant(aFrom, *grant, aNow);
    }
  }

  std::vector<ServiceName> TakeRaisedServices() override
  {
    return std::exchange(raisedServices_, {});
  }

  std::vector<OutgoingMessage> Flush(Millis aNow) override
  {
    Start(aNow);
    if (placement_.UpdateLiveness(aNow)) {
      PlaceAllBrokers(aNow);
    }
    SendHeartbeats(aNow);
    if (aNow >= nextSweepAt_) {
      nextSweepAt_ = aNow + kSweepInterval;
      for (const auto& [pool, client] : clients_) {
        QueuePool(pool);
      }
    }
    for (const SlotPool& pool : std::exchange(changedPools_, {})) {
      Client& client = clients_.at(pool);
      client.queued_ = false;
      UpdateFallback(client, aNow);
      TrimIdle(client);
      ReportIfDue(pool, client, aNow);
    }
    TickBrokers(aNow);
    DispatchGrants(aNow);
    wakeAt_ = ComputeWake(aNow);
    for (const OutgoingMessage& message : outgoing_) {
      if (!std::holds_alternative<Heartbeat>(message.message_)) {
        contacted_.insert(message.to_);
      }
    }
    return std::exchange(outgoing_, {});
  }

  Millis NextWake() const override { return wakeAt_; }

private:
  // This entry's slots on one upstream.
  struct Held
  {
    uint32_t slots_ = 0; // granted by the broker
    uint32_t idle_ = 0;  // slots among them that no attempt uses
    uint32_t announcedSlots_ = 0;
    uint32_t connections_ = 0; // this entry's share
    bool ejected_ = false;
  };

  // This entry's state as a client of one pool's broker.
  struct Client
  {
    NodeName broker_;
    bool isLocal_ = false;      // the pool is in this entry's data centre
    uint64_t term_ = 0;         // of the broker's last grant message
    uint64_t acknowledged_ = 0; // sequence number of that message
    std::map<InstanceName, Held> held_;
    uint32_t heldTotal_ = 0;
    uint32_t idle_ = 0;
    uint32_t keepIdle_ = 0;
    uint32_t maxHeld_ = UINT32_MAX;
    bool othersWait_ = false;
    Millis othersOldestAt_; // arrival of their oldest job, on this clock
    Millis lastGrantAt_;
    Millis requestedAt_; // time of the first report with waiting jobs
    bool usesFallback_ = false;
    bool dirty_ = true;              // changed since the last report
    bool queued_ = false;            // in `changedPools_`
    Millis lastSentAt_ = Millis(-1); // of the last report, as the next two
    uint32_t lastSentWaiting_ = 0;
    uint32_t lastSentIdle_ = 0;
  };

  void Start(Millis aNow)
  {
    if (!started_) {
      started_ = true;
      placement_.Start(aNow);
      nextHeartbeatAt_ = aNow;
    }
  }

  Client* ClientOf(const InstanceName& aInstance)
  {
    const auto it = poolByInstance_.find(aInstance);
    return it != poolByInstance_.end() ? &clients_.at(it->second) : nullptr;
  }

  // Adds the pool to those that the next flush processes.
  void QueuePool(const SlotPool& aPool)
  {
    Client& client = clients_.at(aPool);
    if (!client.queued_) {
      client.queued_ = true;
      changedPools_.push_back(aPool);
    }
  }

  // Recounts the idle slots on one upstream.
  void UpdateIdle(Client& aClient, const InstanceName& aInstance)
  {
    Held& held = aClient.held_.at(aInstance);
    const UpstreamSlots* upstream = table_.Find(aInstance);
    const uint32_t used = upstream != nullptr ? upstream->Used() : 0;
    const uint32_t idle = held.slots_ > used ? held.slots_ - used : 0;
    aClient.idle_ += idle - held.idle_;
    held.idle_ = idle;
  }

  void ApplyAllowance(Client& aClient, const InstanceName& aInstance)
  {
    Held& held = aClient.held_.at(aInstance);
    uint32_t allowance = held.slots_;
    if (aClient.usesFallback_) {
      allowance = std::max(allowance, EqualShare(aClient, held));
    }
    table_.SetAllowance(aInstance, std::min(allowance, held.connections_));
    UpdateIdle(aClient, aInstance);
  }

  uint32_t EqualShare(const Client& aClient, const Held& aHeld) const
  {
    const uint32_t entries =
      aClient.isLocal_ ? placement_.CountEntriesIn(table_.OwnDataCentre())
                       : static_cast<uint32_t>(options_.entries_.size());
    return std::max(aHeld.announcedSlots_ / std::max(entries, 1U), 1U);
  }

  void ReturnSlots(Client& aClient,
                   const InstanceName& aInstance,
                   uint32_t aSlots)
  {
    Held& held = aClient.held_.at(aInstance);
    const uint32_t returned = std::min(aSlots, held.slots_);
    held.slots_ -= returned;
    aClient.heldTotal_ -= returned;
    aClient.dirty_ |= returned > 0;
    ApplyAllowance(aClient, aInstance);
  }

  bool MayReuse(const SlotPool& aPool, const Client& aClient, Millis aNow)
  {
    const SlotDemand& demand = demands_[aPool.service_];
    const bool stale = aNow - aClient.lastGrantAt_ > kOthersAgeValidity;
    if (!aClient.othersWait_ || demand.waiting_ == 0 || stale) {
      return true;
    }
    return demand.oldestArrivedAt_ <= aClient.othersOldestAt_ + kReuseTolerance;
  }

  void HandleGrant(const NodeName& aFrom, const SlotGrant& aGrant, Millis aNow)
  {
    const auto it = clients_.find(aGrant.pool_);
    if (it == clients_.end() || it->second.broker_ != aFrom) {
      return;
    }
    Client& client = it->second;
    if (aGrant.term_ == client.term_ &&
        aGrant.sequence_ <= client.acknowledged_) {
      return;
    }
    // A new term is a new broker, which needs a report of the held slots.
    client.dirty_ |= aGrant.term_ != client.term_;
    client.term_ = aGrant.term_;
    client.acknowledged_ = aGrant.sequence_;
    client.keepIdle_ = aGrant.keepIdle_;
    client.maxHeld_ = aGrant.maxHeld_;
    client.othersWait_ = aGrant.othersWait_;
    client.othersOldestAt_ = aNow - aGrant.othersOldestAge_;
    client.lastGrantAt_ = aNow;
    for (const InstanceSlots& added : aGrant.added_) {
      const auto held = client.held_.find(added.instance_);
      // A slot of an upstream unknown to this entry is returned by the next
      // report, which does not list it.
      if (held != client.held_.end()) {
        held->second.slots_ += added.slots_;
        client.heldTotal_ += added.slots_;
        ApplyAllowance(client, added.instance_);
      }
      client.dirty_ = true;
    }
    QueuePool(aGrant.pool_);
    if (!aGrant.added_.empty()) {
      raisedServices_.push_back(aGrant.pool_.service_);
    }
  }

  void PlaceAllBrokers(Millis aNow)
  {
    for (auto& [pool, client] : clients_) {
      PlaceBroker(pool, client, aNow);
    }
    for (auto& [pool, broker] : brokers_) {
      UpdateEntries(pool, broker, aNow);
    }
  }

  void PlaceBroker(const SlotPool& aPool, Client& aClient, Millis aNow)
  {
    const NodeName broker = placement_.BrokerOf(aPool);
    if (broker == aClient.broker_) {
      return;
    }
    const bool wasBroker = aClient.broker_ == options_.self_;
    aClient.broker_ = broker;
    aClient.term_ = 0;
    aClient.acknowledged_ = 0;
    aClient.dirty_ = true;
    aClient.lastSentAt_ = Millis(-1);
    QueuePool(aPool);
    if (wasBroker) {
      brokers_.erase(aPool);
    }
    if (broker == options_.self_) {
      const auto added = brokers_.try_emplace(
        aPool,
        SlotBrokerOptions{ .pool_ = aPool, .term_ = ++term_ },
        options_.makeAllocation_(),
        aNow);
      for (const auto& [instance, held] : aClient.held_) {
        added.first->second.SetUpstream(
          instance, held.announcedSlots_, held.connections_);
      }
      UpdateEntries(aPool, added.first->second, aNow);
    }
  }

  void UpdateEntries(const SlotPool& aPool, SlotBroker& aBroker, Millis aNow)
  {
    for (const PeerEntry& entry : placement_.Entries()) {
      aBroker.SetEntry(entry.name_,
                       placement_.IsLive(entry.name_),
                       entry.dataCentre_ == aPool.dataCentre_,
                       aNow);
    }
  }

  void SendHeartbeats(Millis aNow)
  {
    if (aNow < nextHeartbeatAt_) {
      return;
    }
    nextHeartbeatAt_ = aNow + BrokerPlacement::kHeartbeatInterval;
    for (const PeerEntry& entry : placement_.Entries()) {
      // Any other message since the last heartbeat has the same effect.
      const bool contacted = contacted_.contains(entry.name_);
      if (entry.name_ != options_.self_ && !contacted) {
        outgoing_.push_back({ .to_ = entry.name_, .message_ = Heartbeat{} });
      }
    }
    contacted_.clear();
  }

  void UpdateFallback(Client& aClient, Millis aNow)
  {
    const Millis since = std::max(aClient.lastGrantAt_, aClient.requestedAt_);
    const bool useFallback =
      aClient.lastSentWaiting_ > 0 && aNow - since >= kFallbackDelay;
    if (useFallback == aClient.usesFallback_) {
      return;
    }
    aClient.usesFallback_ = useFallback;
    for (auto& [instance, held] : aClient.held_) {
      ApplyAllowance(aClient, instance);
      if (useFallback) {
        raisedServices_.push_back(poolByInstance_.at(instance).service_);
      }
    }
  }

  void TrimIdle(Client& aClient)
  {
    const uint32_t surplus = aClient.heldTotal_ > aClient.maxHeld_
                               ? aClient.heldTotal_ - aClient.maxHeld_
                               : 0;
    const uint32_t keep = std::min(
      aClient.keepIdle_, aClient.idle_ - std::min(surplus, aClient.idle_));
    if (aClient.idle_ <= keep) {
      return;
    }
    for (auto& [instance, held] : aClient.held_) {
      if (aClient.idle_ <= keep) {
        return;
      }
      ReturnSlots(
        aClient, instance, std::min(held.idle_, aClient.idle_ - keep));
    }
  }

  // The number of waiting jobs to report to the pool's broker. Jobs are
  // reported to a remote data centre only once the oldest has waited longer
  // than the latency to it.
  uint32_t JobsToReport(const SlotPool& aPool,
                        const Client& aClient,
                        Millis aNow)
  {
    const SlotDemand& demand = demands_[aPool.service_];
    if (aClient.isLocal_ || demand.waiting_ == 0) {
      return demand.waiting_;
    }
    const Millis minWait =
      table_.Latency(aPool.dataCentre_) + kRemoteWaitMargin;
    return aNow - demand.oldestArrivedAt_ >= minWait ? demand.waiting_ : 0;
  }

  void ReportIfDue(const SlotPool& aPool, Client& aClient, Millis aNow)
  {
    const uint32_t waiting = JobsToReport(aPool, aClient, aNow);
    const Millis since = aNow - aClient.lastSentAt_;
    const bool idleChanged =
      aClient.idle_ != aClient.lastSentIdle_ && since >= kIdleSlotsReportDelay;
    const bool changed =
      aClient.dirty_ || waiting != aClient.lastSentWaiting_ || idleChanged;
    const bool noJobsWait = waiting == 0 && !aClient.othersWait_;
    const bool due =
      since >= (noJobsWait ? kIdleReportInterval : kReportInterval);
    const bool waitsForRemote =
      waiting == 0 && demands_[aPool.service_].waiting_ > 0;
    if ((!changed && !due) || since < kMinSpacing) {
      aClient.dirty_ |= changed;
      if (changed || waitsForRemote) {
        QueuePool(aPool);
      }
      return;
    }
    SendReport(aPool, aClient, waiting, aNow);
  }

  void SendReport(const SlotPool& aPool,
                  Client& aClient,
                  uint32_t aWaiting,
                  Millis aNow)
  {
    const SlotDemand& demand = demands_[aPool.service_];
    SlotReport report{ .pool_ = aPool,
                       .sequence_ = ++reportSequence_,
                       .term_ = aClient.term_,
                       .acknowledged_ = aClient.acknowledged_,
                       .waiting_ = aWaiting,
                       .urgent_ = std::min(demand.urgent_, aWaiting),
                       .oldestAge_ = aWaiting > 0
                                       ? aNow - demand.oldestArrivedAt_
                                       : Millis(0),
                       .idle_ = aClient.idle_ };
    for (const auto& [instance, held] : aClient.held_) {
      const uint32_t used = table_.Find(instance)->Used();
      const uint32_t slots = std::max(held.slots_, used);
      if (slots > 0) {
        report.held_.push_back({ .instance_ = instance, .slots_ = slots });
      }
      if (held.ejected_) {
        report.avoided_.push_back(instance);
      }
    }
    aClient.dirty_ = false;
    aClient.lastSentAt_ = aNow;
    if (aClient.lastSentWaiting_ == 0) {
      aClient.requestedAt_ = aNow;
    }
    aClient.lastSentWaiting_ = aWaiting;
    aClient.lastSentIdle_ = aClient.idle_;
    if (aClient.broker_ == options_.self_) {
      brokers_.at(aPool).HandleReport(options_.self_, report, aNow);
      return;
    }
    outgoing_.push_back(
      { .to_ = aClient.broker_, .message_ = std::move(report) });
  }

  void TickBrokers(Millis aNow)
  {
    if (aNow < nextTickAt_) {
      return;
    }
    bool jobsWait = false;
    for (auto& [pool, broker] : brokers_) {
      broker.Tick(aNow);
      jobsWait |= broker.HasWaitingJobs();
    }
    nextTickAt_ =
      aNow + (jobsWait ? SlotBroker::kMaxTickInterval : kIdleTickInterval);
  }

  void DispatchGrants(Millis aNow)
  {
    for (auto& [pool, broker] : brokers_) {
      if (broker.HasWaitingJobs()) {
        nextTickAt_ =
          std::min(nextTickAt_, aNow + SlotBroker::kMaxTickInterval);
      }
      for (auto& [entry, grant] : broker.TakeGrants()) {
        if (entry == options_.self_) {
          HandleGrant(entry, grant, aNow);
        } else {
          outgoing_.push_back({ .to_ = entry, .message_ = std::move(grant) });
        }
      }
    }
  }

  Millis ComputeWake(Millis aNow) const
  {
    Millis wake = std::min(nextHeartbeatAt_, nextSweepAt_);
    if (!brokers_.empty()) {
      wake = std::min(wake, nextTickAt_);
    }
    if (!changedPools_.empty()) {
      wake = aNow;
    }
    return std::max(wake, aNow + kMinSpacing);
  }

  SlotTable& table_;
  BrokeredSharingOptions options_;
  BrokerPlacement placement_;
  bool started_ = false;
  Millis nextHeartbeatAt_;
  Millis nextTickAt_;
  Millis nextSweepAt_;
  Millis wakeAt_;
  uint64_t reportSequence_;
  uint64_t term_;
  std::map<SlotPool, Client> clients_;
  std::unordered_map<ServiceName, std::vector<SlotPool>> poolsByService_;
  std::unordered_map<InstanceName, SlotPool> poolByInstance_;
  std::vector<SlotPool> changedPools_;
  std::map<SlotPool, SlotBroker> brokers_;
  std::unordered_map<ServiceName, SlotDemand> demands_;
  std::vector<ServiceName> raisedServices_;
  std::vector<OutgoingMessage> outgoing_;
  std::set<NodeName> contacted_; // sent a message since the last heartbeat
};

} // namespace

std::unique_ptr<SlotSharing> MakeBrokeredSharing(
  SlotTable& aTable,
  BrokeredSharingOptions aOptions)
{
  return std::make_unique<BrokeredSharing>(aTable, std::move(aOptions));
}

} // namespace vanillahatch
