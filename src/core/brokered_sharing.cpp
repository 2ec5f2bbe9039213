#include "vanillahatch/core/broker_place.h"
#include "vanillahatch/core/slot_sharing.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace vanillahatch {

namespace {

// An entry whose jobs wait for this long without a word from the broker bridges
// the gap with its equal share of the slots.
constexpr Millis kBridgeAfter = Millis(500);
// Reports without news: soon while jobs wait, else only to make a lost one
// good.
constexpr Millis kReportPeriod = Millis(250);
constexpr Millis kCalmReportPeriod = Millis(2000);
// Reports that only tell of idle slots wait for others this long.
constexpr Millis kLazyReport = Millis(20);
constexpr Millis kIdleTick = Millis(100);
constexpr Millis kLeastSpacing = Millis(1);
// An entry keeps a freed slot for a job that came this much later than the
// first one waiting elsewhere; giving it back would leave it idle for a round
// trip.
constexpr Millis kReuseSlack = Millis(20);
constexpr Millis kAgeHolds = Millis(100); // of others' waiting jobs
// All pools are looked through this often; in between only those that changed.
constexpr Millis kSweep = Millis(20);
constexpr Millis kSpillMargin = Millis(2);
// Sequence numbers of one start of the process stay below the next start's.
constexpr uint64_t kSequencesPerStart = 1ULL << 20U;

class BrokeredSharing : public SlotSharing
{
public:
  BrokeredSharing(SlotTable& aTable, BrokeredOptions aOptions)
    : table_(aTable)
    , options_(std::move(aOptions))
    , place_(options_.self_, options_.entries_)
    , reportSequence_(options_.startNumber_ * kSequencesPerStart)
    , term_(options_.startNumber_ * kSequencesPerStart)
  {
  }

  void PutUpstream(const UpstreamFact& aFact, Millis aNow) override
  {
    Start(aNow);
    const SlotPool pool{ .service_ = aFact.service_,
                         .dataCentre_ = aFact.dataCentre_ };
    const auto known = poolOf_.find(aFact.instance_);
    if (known != poolOf_.end() && known->second != pool) {
      RemoveUpstream(aFact.instance_);
    }
    poolOf_[aFact.instance_] = pool;
    Client& client = clients_[pool];
    if (client.broker_.Empty()) {
      client.lastGrantAt_ = aNow;
      client.near_ = aFact.dataCentre_ == table_.OwnDataCentre();
      poolsOf_[aFact.service_].push_back(pool);
      Place(pool, client, aNow);
    }
    client.held_[aFact.instance_].announced_ = aFact.slots_;
    client.held_[aFact.instance_].connections_ =
      ConnectionShare(aFact.connections_, options_.entries_.size());
    if (const auto broker = brokers_.find(pool); broker != brokers_.end()) {
      broker->second.SetUpstream(
        aFact.instance_,
        aFact.slots_,
        ConnectionShare(aFact.connections_, options_.entries_.size()));
    }
    Apply(client, aFact.instance_);
  }

  void RemoveUpstream(const InstanceName& aInstance) override
  {
    const auto it = poolOf_.find(aInstance);
    if (it == poolOf_.end()) {
      return;
    }
    const SlotPool pool = it->second;
    poolOf_.erase(it);
    Client& client = clients_.at(pool);
    Held& held = client.held_[aInstance];
    client.total_ -= held.slots_;
    client.idle_ -= held.idle_;
    client.held_.erase(aInstance);
    client.dirty_ = true;
    Touch(pool);
    table_.SetAllowance(aInstance, 0);
    if (const auto broker = brokers_.find(pool); broker != brokers_.end()) {
      broker->second.RemoveUpstream(aInstance);
    }
  }

  void SetEjected(const InstanceName& aInstance, bool aEjected) override
  {
    const auto it = poolOf_.find(aInstance);
    if (it == poolOf_.end()) {
      return;
    }
    Client& client = clients_.at(it->second);
    Held& held = client.held_.at(aInstance);
    if (held.ejected_ == aEjected) {
      return;
    }
    held.ejected_ = aEjected;
    if (aEjected) {
      GiveBack(client, aInstance, held.idle_);
    }
    client.dirty_ = true;
    Touch(it->second);
  }

  void SetDemand(const ServiceName& aService,
                 const SlotDemand& aDemand,
                 Millis /*aNow*/) override
  {
    demands_[aService] = aDemand;
    for (const SlotPool& pool : poolsOf_[aService]) {
      Touch(pool);
    }
  }

  void Begun(const InstanceName& aInstance) override
  {
    if (Client* client = ClientOf(aInstance)) {
      Count(*client, aInstance);
      Touch(poolOf_.at(aInstance));
    }
  }

  void Ended(const InstanceName& aInstance, Millis aNow) override
  {
    Client* client = ClientOf(aInstance);
    if (client == nullptr) {
      return;
    }
    Count(*client, aInstance);
    Touch(poolOf_.at(aInstance));
    const Held& held = client->held_.at(aInstance);
    const bool surplus = client->total_ > client->maxHeld_ || held.ejected_ ||
                         !MayReuse(poolOf_.at(aInstance), *client, aNow);
    if (surplus && held.idle_ > 0) {
      GiveBack(*client, aInstance, 1);
    }
  }

  void Take(const NodeName& aFrom,
            const PeerMessage& aMessage,
            Millis aNow) override
  {
    Start(aNow);
    place_.Heard(aFrom, aNow);
    if (const auto* report = std::get_if<SlotReport>(&aMessage)) {
      const auto broker = brokers_.find(report->pool_);
      if (broker != brokers_.end()) {
        broker->second.Take(aFrom, *report, aNow);
      }
    } else if (const auto* grant = std::get_if<SlotGrant>(&aMessage)) {
      TakeGrant(aFrom, *grant, aNow);
    }
  }

  std::vector<ServiceName> TakeRaised() override
  {
    return std::exchange(raised_, {});
  }

  std::vector<OutgoingMessage> Flush(Millis aNow) override
  {
    Start(aNow);
    if (place_.Update(aNow)) {
      PlaceAll(aNow);
    }
    Beat(aNow);
    if (aNow >= nextSweepAt_) {
      nextSweepAt_ = aNow + kSweep;
      for (const auto& [pool, client] : clients_) {
        Touch(pool);
      }
    }
    for (const SlotPool& pool : std::exchange(touched_, {})) {
      Client& client = clients_.at(pool);
      client.touched_ = false;
      Bridge(client, aNow);
      TrimIdle(client);
      ReportIfDue(pool, client, aNow);
    }
    TickBrokers(aNow);
    PassGrants(aNow);
    wakeAt_ = WorkOutWake(aNow);
    for (const OutgoingMessage& message : out_) {
      if (!std::holds_alternative<Heartbeat>(message.message_)) {
        told_.insert(message.to_);
      }
    }
    return std::exchange(out_, {});
  }

  Millis NextWake() const override { return wakeAt_; }

private:
  struct Held
  {
    uint32_t slots_ = 0; // from the broker
    uint32_t idle_ = 0;  // of these
    uint32_t announced_ = 0;
    uint32_t connections_ = 0; // this entry's part
    bool ejected_ = false;
  };

  struct Client
  {
    NodeName broker_;
    bool near_ = false;
    uint64_t term_ = 0;
    uint64_t acknowledged_ = 0;
    std::map<InstanceName, Held> held_;
    uint32_t total_ = 0;
    uint32_t idle_ = 0;
    uint32_t keepIdle_ = 0;
    uint32_t maxHeld_ = UINT32_MAX;
    bool othersWait_ = false;
    Millis othersOldestAt_; // arrival of their first job, on this clock
    Millis lastGrantAt_;
    Millis askedAt_; // since when jobs have waited for this broker
    bool bridging_ = false;
    bool dirty_ = true;
    bool touched_ = false;
    Millis lastSentAt_ = Millis(-1);
    uint32_t sentWaiting_ = 0;
    uint32_t sentIdle_ = 0;
  };

  void Start(Millis aNow)
  {
    if (!started_) {
      started_ = true;
      place_.Start(aNow);
      nextBeatAt_ = aNow;
    }
  }

  Client* ClientOf(const InstanceName& aInstance)
  {
    const auto it = poolOf_.find(aInstance);
    return it != poolOf_.end() ? &clients_.at(it->second) : nullptr;
  }

  // Has the pool looked at by the next flush.
  void Touch(const SlotPool& aPool)
  {
    Client& client = clients_.at(aPool);
    if (!client.touched_) {
      client.touched_ = true;
      touched_.push_back(aPool);
    }
  }

  // Counts the idle slots on one upstream anew.
  void Count(Client& aClient, const InstanceName& aInstance)
  {
    Held& held = aClient.held_.at(aInstance);
    const UpstreamSlots* upstream = table_.Find(aInstance);
    const uint32_t used = upstream != nullptr ? upstream->Used() : 0;
    const uint32_t idle = held.slots_ > used ? held.slots_ - used : 0;
    aClient.idle_ += idle - held.idle_;
    held.idle_ = idle;
  }

  void Apply(Client& aClient, const InstanceName& aInstance)
  {
    Held& held = aClient.held_.at(aInstance);
    uint32_t allowance = held.slots_;
    if (aClient.bridging_) {
      allowance = std::max(allowance, EqualShare(aClient, held));
    }
    table_.SetAllowance(aInstance, std::min(allowance, held.connections_));
    Count(aClient, aInstance);
  }

  uint32_t EqualShare(const Client& aClient, const Held& aHeld) const
  {
    const uint32_t entries =
      aClient.near_ ? place_.EntriesIn(table_.OwnDataCentre())
                    : static_cast<uint32_t>(options_.entries_.size());
    return std::max(aHeld.announced_ / std::max(entries, 1U), 1U);
  }

  void GiveBack(Client& aClient, const InstanceName& aInstance, uint32_t aSlots)
  {
    Held& held = aClient.held_.at(aInstance);
    const uint32_t given = std::min(aSlots, held.slots_);
    held.slots_ -= given;
    aClient.total_ -= given;
    aClient.dirty_ |= given > 0;
    Apply(aClient, aInstance);
  }

  bool MayReuse(const SlotPool& aPool, const Client& aClient, Millis aNow)
  {
    const SlotDemand& demand = demands_[aPool.service_];
    const bool stale = aNow - aClient.lastGrantAt_ > kAgeHolds;
    if (!aClient.othersWait_ || demand.waiting_ == 0 || stale) {
      return true;
    }
    return demand.oldestArrivedAt_ <= aClient.othersOldestAt_ + kReuseSlack;
  }

  void TakeGrant(const NodeName& aFrom, const SlotGrant& aGrant, Millis aNow)
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
    // A new broker learns from reports what is held, and asks by its term.
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
      // A slot of an upstream that is not known here goes back by the next
      // report, which does not name it.
      if (held != client.held_.end()) {
        held->second.slots_ += added.slots_;
        client.total_ += added.slots_;
        Apply(client, added.instance_);
      }
      client.dirty_ = true;
    }
    Touch(aGrant.pool_);
    if (!aGrant.added_.empty()) {
      raised_.push_back(aGrant.pool_.service_);
    }
  }

  void PlaceAll(Millis aNow)
  {
    for (auto& [pool, client] : clients_) {
      Place(pool, client, aNow);
    }
    for (auto& [pool, broker] : brokers_) {
      TellEntries(pool, broker, aNow);
    }
  }

  void Place(const SlotPool& aPool, Client& aClient, Millis aNow)
  {
    const NodeName broker = place_.BrokerOf(aPool);
    if (broker == aClient.broker_) {
      return;
    }
    const bool wasMine = aClient.broker_ == options_.self_;
    aClient.broker_ = broker;
    aClient.term_ = 0;
    aClient.acknowledged_ = 0;
    aClient.dirty_ = true;
    aClient.lastSentAt_ = Millis(-1);
    Touch(aPool);
    if (wasMine) {
      brokers_.erase(aPool);
    }
    if (broker == options_.self_) {
      const auto added = brokers_.try_emplace(
        aPool,
        SlotBrokerOptions{ .pool_ = aPool, .term_ = ++term_ },
        options_.makeAllotment_(),
        aNow);
      for (const auto& [instance, held] : aClient.held_) {
        added.first->second.SetUpstream(
          instance, held.announced_, held.connections_);
      }
      TellEntries(aPool, added.first->second, aNow);
    }
  }

  void TellEntries(const SlotPool& aPool, SlotBroker& aBroker, Millis aNow)
  {
    for (const PeerEntry& entry : place_.Entries()) {
      aBroker.SetEntry(entry.name_,
                       place_.IsLive(entry.name_),
                       entry.dataCentre_ == aPool.dataCentre_,
                       aNow);
    }
  }

  void Beat(Millis aNow)
  {
    if (aNow < nextBeatAt_) {
      return;
    }
    nextBeatAt_ = aNow + BrokerPlace::kBeat;
    for (const PeerEntry& entry : place_.Entries()) {
      // Any other message since the last beat has said that this entry lives.
      const bool told = told_.contains(entry.name_);
      if (entry.name_ != options_.self_ && !told) {
        out_.push_back({ .to_ = entry.name_, .message_ = Heartbeat{} });
      }
    }
    told_.clear();
  }

  void Bridge(Client& aClient, Millis aNow)
  {
    const Millis since = std::max(aClient.lastGrantAt_, aClient.askedAt_);
    const bool bridging =
      aClient.sentWaiting_ > 0 && aNow - since >= kBridgeAfter;
    if (bridging == aClient.bridging_) {
      return;
    }
    aClient.bridging_ = bridging;
    for (auto& [instance, held] : aClient.held_) {
      Apply(aClient, instance);
      if (bridging) {
        raised_.push_back(poolOf_.at(instance).service_);
      }
    }
  }

  void TrimIdle(Client& aClient)
  {
    const uint32_t over =
      aClient.total_ > aClient.maxHeld_ ? aClient.total_ - aClient.maxHeld_ : 0;
    const uint32_t keep = std::min(
      aClient.keepIdle_, aClient.idle_ - std::min(over, aClient.idle_));
    if (aClient.idle_ <= keep) {
      return;
    }
    for (auto& [instance, held] : aClient.held_) {
      if (aClient.idle_ <= keep) {
        return;
      }
      GiveBack(aClient, instance, std::min(held.idle_, aClient.idle_ - keep));
    }
  }

  // Jobs that the pool's broker is asked to serve. Another data centre's is
  // asked only after a wait that its latency is worth.
  uint32_t Wanted(const SlotPool& aPool, const Client& aClient, Millis aNow)
  {
    const SlotDemand& demand = demands_[aPool.service_];
    if (aClient.near_ || demand.waiting_ == 0) {
      return demand.waiting_;
    }
    const Millis spill = table_.Latency(aPool.dataCentre_) + kSpillMargin;
    return aNow - demand.oldestArrivedAt_ >= spill ? demand.waiting_ : 0;
  }

  void ReportIfDue(const SlotPool& aPool, Client& aClient, Millis aNow)
  {
    const uint32_t wanted = Wanted(aPool, aClient, aNow);
    const Millis since = aNow - aClient.lastSentAt_;
    const bool idleNews =
      aClient.idle_ != aClient.sentIdle_ && since >= kLazyReport;
    const bool news =
      aClient.dirty_ || wanted != aClient.sentWaiting_ || idleNews;
    const bool calm = wanted == 0 && !aClient.othersWait_;
    const bool due = since >= (calm ? kCalmReportPeriod : kReportPeriod);
    const bool waitsForSpill =
      wanted == 0 && demands_[aPool.service_].waiting_ > 0;
    if ((!news && !due) || since < kLeastSpacing) {
      aClient.dirty_ |= news;
      if (news || waitsForSpill) {
        Touch(aPool); // looked at again by the next flush
      }
      return;
    }
    SendReport(aPool, aClient, wanted, aNow);
  }

  void SendReport(const SlotPool& aPool,
                  Client& aClient,
                  uint32_t aWanted,
                  Millis aNow)
  {
    const SlotDemand& demand = demands_[aPool.service_];
    SlotReport report{ .pool_ = aPool,
                       .sequence_ = ++reportSequence_,
                       .term_ = aClient.term_,
                       .acknowledged_ = aClient.acknowledged_,
                       .waiting_ = aWanted,
                       .urgent_ = std::min(demand.urgent_, aWanted),
                       .oldestAge_ = aWanted > 0
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
    if (aClient.sentWaiting_ == 0) {
      aClient.askedAt_ = aNow;
    }
    aClient.sentWaiting_ = aWanted;
    aClient.sentIdle_ = aClient.idle_;
    if (aClient.broker_ == options_.self_) {
      brokers_.at(aPool).Take(options_.self_, report, aNow);
      return;
    }
    out_.push_back({ .to_ = aClient.broker_, .message_ = std::move(report) });
  }

  void TickBrokers(Millis aNow)
  {
    if (aNow < nextTickAt_) {
      return;
    }
    bool busy = false;
    for (auto& [pool, broker] : brokers_) {
      broker.Tick(aNow);
      busy |= broker.Busy();
    }
    nextTickAt_ = aNow + (busy ? SlotBroker::kTick : kIdleTick);
  }

  void PassGrants(Millis aNow)
  {
    for (auto& [pool, broker] : brokers_) {
      if (broker.Busy()) {
        nextTickAt_ = std::min(nextTickAt_, aNow + SlotBroker::kTick);
      }
      for (auto& [entry, grant] : broker.TakeGrants()) {
        if (entry == options_.self_) {
          TakeGrant(entry, grant, aNow);
        } else {
          out_.push_back({ .to_ = entry, .message_ = std::move(grant) });
        }
      }
    }
  }

  Millis WorkOutWake(Millis aNow) const
  {
    Millis wake = std::min(nextBeatAt_, nextSweepAt_);
    if (!brokers_.empty()) {
      wake = std::min(wake, nextTickAt_);
    }
    if (!touched_.empty()) {
      wake = aNow;
    }
    return std::max(wake, aNow + kLeastSpacing);
  }

  SlotTable& table_;
  BrokeredOptions options_;
  BrokerPlace place_;
  bool started_ = false;
  Millis nextBeatAt_;
  Millis nextTickAt_;
  Millis nextSweepAt_;
  Millis wakeAt_;
  uint64_t reportSequence_;
  uint64_t term_;
  std::map<SlotPool, Client> clients_;
  std::unordered_map<ServiceName, std::vector<SlotPool>> poolsOf_;
  std::unordered_map<InstanceName, SlotPool> poolOf_;
  std::vector<SlotPool> touched_;
  std::map<SlotPool, SlotBroker> brokers_;
  std::unordered_map<ServiceName, SlotDemand> demands_;
  std::vector<ServiceName> raised_;
  std::vector<OutgoingMessage> out_;
  std::set<NodeName> told_; // sent something since the last beat
};

} // namespace

std::unique_ptr<SlotSharing> MakeBrokered(SlotTable& aTable,
                                          BrokeredOptions aOptions)
{
  return std::make_unique<BrokeredSharing>(aTable, std::move(aOptions));
}

} // namespace vanillahatch
