#define BOOST_TEST_MODULE plan_bridge
#include "vanillahatch/core/plan_bridge.h"

#include "vanillahatch/core/fleet_config.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

constexpr Millis kNow = Seconds(1'700'000'000);

// Simulates a control log of one replica, and the platform and the grantor as
// far as the planner's changes involve them.
struct Deployment
{
  explicit Deployment(uint32_t aInstances = 20)
  {
    for (const char* name : { "loops", "billing" }) {
      v1::Change change = MakeChange(std::string("pool-") + name);
      v1::PoolContract& pool = *change.mutable_put_pool();
      pool.set_name(name);
      pool.set_service(name);
      pool.set_floor(2);
      pool.set_ceiling(40);
      pool.set_max_unavailable(3);
      pool.set_spare(pool.name() == "billing");
      pool.set_priority(pool.spare() ? 0 : 1);
      pool.set_version(1);
      pool.set_previous_version(1);
      Accept(change);
    }
    for (uint32_t i = 0; i < aInstances; ++i) {
      const std::string name = "i" + std::to_string(i);
      const char* const pool = i < aInstances / 2 ? "loops" : "billing";
      v1::Change change = MakeChange("assign-" + name);
      v1::AssignInstance& assign = *change.mutable_assign_instance();
      assign.set_instance(name);
      assign.set_pool(pool);
      assign.set_epoch(1);
      assign.set_data_centre("dc" + std::to_string(i % 3));
      Accept(change);
      observations_.push_back({ .instance_ = InstanceName(name),
                                .service_ = ServiceName(pool),
                                .rack_ = RackName("r" + std::to_string(i / 4)),
                                .worker_ = WorkerName(name + "-worker"),
                                .isLive_ = true,
                                .version_ = 1,
                                .bootedAt_ = kNow - Seconds(3600) });
    }
    outlooks_.assign(2, { .now_ = 24, .ahead_ = 24, .recent_ = 24 });
  }

  static v1::Change MakeChange(const std::string& aId)
  {
    v1::Change change;
    change.set_change_id(aId);
    change.set_author("test");
    change.set_proposed_at_unix_ms(kNow.Count());
    return change;
  }

  void Accept(const v1::Change& aChange)
  {
    const v1::ChangeReply reply = config_.Apply(aChange);
    BOOST_REQUIRE_MESSAGE(reply.status() == v1::CHANGE_ACCEPTED,
                          aChange.ShortDebugString() << ": " << reply.detail());
  }

  FleetView View() const
  {
    return BuildView(config_.State(), observations_, now_);
  }

  // One round: the platform and the grantor act, then a new leader plans.
  void Round()
  {
    now_ = now_ + Seconds(1);
    for (const v1::Membership& membership : config_.State().memberships()) {
      Observe(v1::Membership(membership));
    }
    const FleetView view = View();
    const auto objective = MakeObjective("roll-out-time");
    const Planner planner({}, *objective);
    for (const Step& step : planner.MakePlan(view, outlooks_, now_).steps_) {
      const auto change = ToChange(step, view, config_.State(), now_);
      if (change) {
        Accept(*change);
        ++accepted_;
        // The same change proposed again by another leader has no effect.
        const uint64_t revision = config_.Revision();
        config_.Apply(*change);
        BOOST_TEST(config_.Revision() == revision);
      }
    }
  }

  void Observe(const v1::Membership& aMembership)
  {
    const auto observed = std::find_if(observations_.begin(),
                                       observations_.end(),
                                       [&](const auto& aObservation) {
                                         return aObservation.instance_.Str() ==
                                                aMembership.instance();
                                       });
    observed->service_ = ServiceName(aMembership.pool());
    observed->guard_ =
      aMembership.draining() ? GuardAnswer::kConsents : GuardAnswer::kNone;
    const auto reason = DrainReason::Parse(aMembership.drain_reason());
    if (reason && reason->phase_ == DrainPhase::kStarted) {
      observed->bootedAt_ = now_;
      const bool isRestart = reason->purpose_ != Purpose::kPeriodic;
      observed->version_ =
        isRestart ? static_cast<uint32_t>(std::stoul(reason->target_))
                  : observed->version_;
    }
    if (aMembership.draining() && !aMembership.drained()) {
      v1::Change change = MakeChange("confirm-" + aMembership.instance() + "-" +
                                     std::to_string(aMembership.revision()));
      change.mutable_confirm_drain()->set_instance(aMembership.instance());
      change.mutable_confirm_drain()->set_epoch(aMembership.epoch());
      Accept(change);
    }
  }

  uint32_t Members(const std::string& aPool) const
  {
    uint32_t count = 0;
    for (const v1::Membership& membership : config_.State().memberships()) {
      count += membership.pool() == aPool && !membership.draining() ? 1 : 0;
    }
    return count;
  }

  FleetConfig config_;
  std::vector<InstanceObservation> observations_;
  std::vector<DemandOutlook> outlooks_;
  Millis now_ = kNow;
  uint32_t accepted_ = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(DrainReasonIsParsedFromItsText)
{
  const DrainReason reason{ .purpose_ = Purpose::kRollOut,
                            .target_ = "3",
                            .phase_ = DrainPhase::kStarted };
  const auto parsed = DrainReason::Parse(reason.ToText());
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST((parsed->purpose_ == Purpose::kRollOut));
  BOOST_TEST(parsed->target_ == "3");
  BOOST_TEST((parsed->phase_ == DrainPhase::kStarted));
  for (const char* other : { "",
                             "disk swap",
                             "planner",
                             "planner move loops",
                             "planner x y begun",
                             "me move loops begun" }) {
    BOOST_TEST(!DrainReason::Parse(other).has_value());
  }
}

BOOST_AUTO_TEST_CASE(DemandMovesInstancesThroughTheControlLog)
{
  Deployment deployment;
  deployment.outlooks_[0] = { 100, 100, 100, true };
  for (int i = 0; i < 10; ++i) {
    deployment.Round();
  }
  BOOST_TEST(deployment.Members("loops") >= InstancesFor(100, 8, 1));
  deployment.outlooks_[0] = { 8, 8, 8, false };
  for (int i = 0; i < 10; ++i) {
    deployment.Round();
  }
  BOOST_TEST(deployment.Members("loops") == 2U);
}

BOOST_AUTO_TEST_CASE(ChangedVersionIsRolledOutThroughTheControlLog)
{
  Deployment deployment;
  v1::Change change = Deployment::MakeChange("new-version");
  *change.mutable_put_pool() = deployment.config_.State().pools(0);
  change.mutable_put_pool()->set_version(2);
  deployment.Accept(change);
  for (int i = 0; i < 40; ++i) {
    deployment.Round();
  }
  for (const v1::Membership& membership :
       deployment.config_.State().memberships()) {
    BOOST_TEST(!membership.draining());
    const auto& observed =
      deployment.observations_[std::stoul(membership.instance().substr(1))];
    BOOST_TEST((membership.pool() != "loops" || observed.version_ == 2));
  }
}

BOOST_AUTO_TEST_CASE(OperatorsMaintenanceOfARackIsCarriedOutOnce)
{
  Deployment deployment;
  v1::Change change = Deployment::MakeChange("rack-work");
  v1::Maintenance& maintenance = *change.mutable_start_maintenance();
  maintenance.set_name("rack-work");
  maintenance.set_reason("new switch");
  maintenance.set_scope("rack:r1");
  maintenance.set_starts_at_unix_ms(kNow.Count());
  maintenance.set_ends_at_unix_ms((kNow + Seconds(3600)).Count());
  deployment.Accept(change);
  for (int i = 0; i < 60; ++i) {
    deployment.Round();
  }
  for (const InstanceObservation& observed : deployment.observations_) {
    BOOST_TEST((observed.bootedAt_ >= kNow) ==
               (observed.rack_ == RackName("r1")));
  }
  const uint32_t before = deployment.accepted_;
  for (int i = 0; i < 20; ++i) {
    deployment.Round();
  }
  BOOST_TEST(deployment.accepted_ == before);
}

BOOST_AUTO_TEST_CASE(OperatorsDrainIsNotChangedByThePlanner)
{
  Deployment deployment;
  v1::Change change = Deployment::MakeChange("drain");
  change.mutable_drain_instance()->set_instance("i0");
  change.mutable_drain_instance()->set_draining(true);
  change.mutable_drain_instance()->set_reason("disk swap");
  deployment.Accept(change);
  for (int i = 0; i < 10; ++i) {
    deployment.Round();
  }
  const FleetView view = deployment.View();
  BOOST_TEST((view.instances_[0].state_ == InstanceState::kDraining));
  BOOST_TEST((view.instances_[0].purpose_ == Purpose::kNone));
}

BOOST_AUTO_TEST_CASE(ExceptionChangesThePoolsBudget)
{
  Deployment deployment;
  v1::Change change = Deployment::MakeChange("exception");
  v1::Exception& exception = *change.mutable_add_exception();
  exception.set_name("season");
  exception.set_reason("harvest");
  exception.set_setting("pool.availability_budget");
  exception.set_scope("pool:loops");
  exception.set_value("10");
  exception.set_ends_at_unix_ms((kNow + Seconds(100)).Count());
  deployment.Accept(change);
  const auto percent = [&] {
    return deployment.View().pools_[0].contract_.budget_.percent_;
  };
  BOOST_TEST(percent() == 10U);
  deployment.now_ = kNow + Seconds(200);
  BOOST_TEST(percent() == 25U);
}

BOOST_AUTO_TEST_CASE(UnreachableAndDownInstancesAreDistinguished)
{
  Deployment deployment;
  deployment.observations_[0].isReachable_ = false;
  deployment.observations_[1].isLive_ = false;
  deployment.observations_[2].isStarting_ = true;
  const FleetView view = deployment.View();
  BOOST_TEST((view.instances_[0].state_ == InstanceState::kCutOff));
  BOOST_TEST((view.instances_[1].state_ == InstanceState::kDown));
  BOOST_TEST((view.instances_[2].state_ == InstanceState::kJoining));
  BOOST_TEST((view.instances_[3].state_ == InstanceState::kServing));
}
