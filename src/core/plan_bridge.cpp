#include "vanillahatch/core/plan_bridge.h"

#include "vanillahatch/core/effective_settings.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <sstream>

namespace vanillahatch {

namespace {

constexpr std::string_view kAuthor = "planner";
constexpr std::string_view kBegun = "begun";
constexpr std::string_view kStarted = "started";
constexpr int64_t kSecondsPerDay = 86'400;

// Assigns consecutive indexes to names, from zero.
template<class Index, class NameType>
class IndexMap
{
public:
  Index Of(const NameType& aName)
  {
    const auto next = static_cast<uint32_t>(indexes_.size());
    return static_cast<Index>(indexes_.try_emplace(aName, next).first->second);
  }
  uint32_t Count() const { return static_cast<uint32_t>(indexes_.size()); }

private:
  std::map<NameType, uint32_t> indexes_;
};

uint32_t ToNumber(std::string_view aText)
{
  uint32_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

PoolView BuildPool(const v1::FleetState& aState,
                   const v1::PoolContract& aPool,
                   Millis aUnixNow)
{
  const std::string scope = "pool:" + aPool.name();
  const auto setting = [&](std::string_view aName) {
    const auto value = FindEffectiveValue(aState, aName, scope, aUnixNow);
    return value ? value->value_ : 0;
  };
  const auto percent =
    static_cast<uint32_t>(setting("pool.availability_budget"));
  return { .contract_ = { .name_ = PoolName(aPool.name()),
                          .service_ = ServiceName(aPool.service()),
                          .floor_ = aPool.floor(),
                          .ceiling_ = aPool.ceiling(),
                          .budget_ = { .count_ = aPool.max_unavailable(),
                                       .percent_ = percent },
                          .spare_ = aPool.spare(),
                          .priority_ = aPool.priority(),
                          .rackSpread_ = aPool.rack_spread(),
                          .dataCentreSpread_ = aPool.data_centre_spread(),
                          .yieldToPeak_ = aPool.yield_to_peak() },
           .version_ = Version{ aPool.version() },
           .previousVersion_ = Version{ aPool.previous_version() },
           .maintenancePeriod_ =
             Seconds(setting("pool.maintenance_period") * kSecondsPerDay) };
}

bool IsInScope(std::string_view aScope,
               const v1::Membership& aMembership,
               const InstanceObservation& aObserved)
{
  return aScope == "rack:" + aObserved.rack_.Str() ||
         aScope == "worker:" + aObserved.worker_.Str() ||
         aScope == "instance:" + aMembership.instance() ||
         aScope == "pool:" + aMembership.pool() ||
         aScope == "data_centre:" + aMembership.data_centre();
}

// Whether an operator's maintenance covers the instance now and the instance
// has not been rebooted since its start.
bool IsRequested(const v1::FleetState& aState,
                 const v1::Membership& aMembership,
                 const InstanceObservation& aObserved,
                 Millis aUnixNow)
{
  return std::any_of(
    aState.maintenances().begin(),
    aState.maintenances().end(),
    [&](const v1::Maintenance& aMaintenance) {
      const Millis start(aMaintenance.starts_at_unix_ms());
      return IsInScope(aMaintenance.scope(), aMembership, aObserved) &&
             start <= aUnixNow &&
             aUnixNow.Count() < aMaintenance.ends_at_unix_ms() &&
             aObserved.bootedAt_ < start;
    });
}

InstanceState StateOf(const v1::Membership& aMembership,
                      const std::optional<DrainReason>& aReason,
                      const InstanceObservation& aObserved,
                      const PoolContract& aContract)
{
  if (!aObserved.isReachable_) {
    return InstanceState::kCutOff;
  }
  if (aReason && aReason->phase_ == DrainPhase::kStarted) {
    return InstanceState::kMaintenance;
  }
  const bool servesOtherService = aObserved.service_ != aContract.service_;
  const bool isJoining =
    aObserved.isStarting_ || (aObserved.isLive_ && servesOtherService);
  if (!aMembership.draining() && isJoining) {
    return InstanceState::kJoining;
  }
  if (!aObserved.isLive_) {
    return InstanceState::kDown;
  }
  return aMembership.draining() ? InstanceState::kDraining
                                : InstanceState::kServing;
}

void SetStepInProgress(InstanceView& aInstance,
                       const std::optional<DrainReason>& aReason,
                       const std::map<PoolName, PoolIndex>& aPools)
{
  if (!aReason) {
    return;
  }
  aInstance.purpose_ = aReason->purpose_;
  aInstance.target_ = aInstance.pool_;
  if (aReason->purpose_ == Purpose::kMove) {
    const auto target = aPools.find(PoolName(aReason->target_));
    // The target pool was removed; a move to its own pool ends the drain.
    aInstance.target_ =
      target != aPools.end() ? target->second : aInstance.pool_;
  } else if (aReason->phase_ == DrainPhase::kStarted &&
             aReason->purpose_ != Purpose::kPeriodic) {
    aInstance.version_ = Version{ ToNumber(aReason->target_) };
  }
}

} // namespace

std::string DrainReason::ToText() const
{
  std::string text(kAuthor);
  text += ' ';
  text += NameOf(purpose_);
  text += ' ' + target_ + ' ';
  text += phase_ == DrainPhase::kStarted ? kStarted : kBegun;
  return text;
}

std::optional<DrainReason> DrainReason::Parse(std::string_view aReason)
{
  std::istringstream in{ std::string(aReason) };
  std::string author;
  std::string purpose;
  std::string target;
  std::string phase;
  in >> author >> purpose >> target >> phase;
  if (author != kAuthor || (phase != kBegun && phase != kStarted)) {
    return std::nullopt;
  }
  for (const Purpose known : { Purpose::kMove,
                               Purpose::kPeriodic,
                               Purpose::kRollOut,
                               Purpose::kRollBack }) {
    if (NameOf(known) == purpose) {
      return DrainReason{ .purpose_ = known,
                          .target_ = target,
                          .phase_ = phase == kStarted ? DrainPhase::kStarted
                                                      : DrainPhase::kBegun };
    }
  }
  return std::nullopt;
}

FleetView BuildView(const v1::FleetState& aState,
                    std::span<const InstanceObservation> aObservations,
                    Millis aUnixNow)
{
  FleetView view;
  std::map<PoolName, PoolIndex> pools;
  for (const v1::PoolContract& pool : aState.pools()) {
    const auto index = static_cast<PoolIndex>(view.pools_.size());
    pools[PoolName(pool.name())] = index;
    view.pools_.push_back(BuildPool(aState, pool, aUnixNow));
  }
  std::map<std::string_view, const InstanceObservation*> observationByName;
  for (const InstanceObservation& observation : aObservations) {
    observationByName[observation.instance_.View()] = &observation;
  }
  IndexMap<RackIndex, RackName> racks;
  IndexMap<DataCentreIndex, std::string> dataCentres;
  for (const v1::Membership& membership : aState.memberships()) {
    const auto pool = pools.find(PoolName(membership.pool()));
    const auto found = observationByName.find(membership.instance());
    if (pool == pools.end() || found == observationByName.end()) {
      continue;
    }
    const InstanceObservation& observed = *found->second;
    const auto reason = membership.draining()
                          ? DrainReason::Parse(membership.drain_reason())
                          : std::nullopt;
    InstanceView instance{
      .name_ = observed.instance_,
      .pool_ = pool->second,
      .rack_ = racks.Of(observed.rack_),
      .dataCentre_ = dataCentres.Of(membership.data_centre()),
      .state_ = StateOf(
        membership, reason, observed, view.pools_[At(pool->second)].contract_),
      .epoch_ = membership.epoch(),
      .step_ = membership.revision(),
      .version_ = Version{ observed.version_ },
      .failedVersion_ = Version{ observed.failedVersion_ },
      .lastMaintained_ = observed.bootedAt_,
      .holdUntil_ = observed.guardedUntil_,
      .drained_ = membership.drained(),
      .failed_ = observed.failed_,
      .guard_ = observed.guard_,
      .isRequested_ = IsRequested(aState, membership, observed, aUnixNow),
      .repairedAt_ = observed.repairedAt_,
    };
    SetStepInProgress(instance, reason, pools);
    const bool runsExpectedVersion =
      instance.version_ == Version{ observed.version_ };
    instance.healthy_ = observed.isLive_ && !observed.isStarting_ &&
                        runsExpectedVersion && !observed.failed_;
    view.instances_.push_back(std::move(instance));
  }
  view.rackCount_ = racks.Count();
  view.dataCentreCount_ = dataCentres.Count();
  return view;
}

std::optional<v1::Change> ToChange(const Step& aStep,
                                   const FleetView& aView,
                                   const v1::FleetState& aState,
                                   Millis aUnixNow)
{
  if (aStep.kind_ == StepKind::kHold) {
    return std::nullopt;
  }
  const InstanceView& instance = aView.instances_[At(aStep.instance_)];
  v1::Change change;
  change.set_change_id(aStep.ChangeId(aView));
  change.set_author(std::string(kAuthor));
  change.set_proposed_at_unix_ms(aUnixNow.Count());
  if (aStep.kind_ == StepKind::kMoveInstance) {
    v1::AssignInstance& assign = *change.mutable_assign_instance();
    assign.set_instance(instance.name_.Str());
    assign.set_pool(aView.pools_[At(aStep.target_)].contract_.name_.Str());
    assign.set_epoch(instance.epoch_ + 1);
    for (const v1::Membership& membership : aState.memberships()) {
      if (membership.instance() == instance.name_.Str()) {
        assign.set_data_centre(membership.data_centre());
      }
    }
    return change;
  }
  v1::DrainInstance& drain = *change.mutable_drain_instance();
  drain.set_instance(instance.name_.Str());
  drain.set_draining(aStep.kind_ != StepKind::kReturnToService);
  if (drain.draining()) {
    const bool isMove = aStep.purpose_ == Purpose::kMove;
    const bool isStart = aStep.kind_ == StepKind::kStartMaintenance;
    const DrainReason reason{
      .purpose_ = aStep.purpose_,
      .target_ = isMove ? aView.pools_[At(aStep.target_)].contract_.name_.Str()
                        : std::to_string(static_cast<uint32_t>(aStep.version_)),
      .phase_ = isStart ? DrainPhase::kStarted : DrainPhase::kBegun
    };
    drain.set_reason(reason.ToText());
  }
  return change;
}

} // namespace vanillahatch
