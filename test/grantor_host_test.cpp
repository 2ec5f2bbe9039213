#define BOOST_TEST_MODULE grantor_host
#include "control/grantor_host.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace vanillahatch;

namespace {

const Millis kLeaseDuration = GrantorOptions().leaseDuration_;
const DataCentreName kDataCentre("lagos-1");

// Sends the requests of one entry.
struct Holder
{
  v1::GrantReply Renew(GrantorHost& aHost)
  {
    v1::GrantRequest request;
    request.set_data_centre(kDataCentre.Str());
    request.set_holder("e1");
    request.set_session("1");
    request.set_sequence(++sequence_);
    request.set_incarnation(incarnation_);
    v1::SeenInstance& seen = *request.add_seen();
    seen.set_instance("i1");
    seen.set_service("readings");
    seen.set_slots(8);
    v1::GrantReply reply;
    BOOST_REQUIRE(aHost.Renew(request, reply));
    incarnation_ = reply.incarnation();
    return reply;
  }

  uint64_t sequence_ = 0;
  std::string incarnation_;
};

void SleepForALease()
{
  const Millis lease = Grantor::GrantorLeaseDuration(kLeaseDuration);
  std::this_thread::sleep_for(std::chrono::milliseconds(lease.Count() + 1));
}

} // namespace

BOOST_AUTO_TEST_CASE(GrantorFirstAskedLongAfterItsStartWaitsForItsPredecessor)
{
  const ControlSettings self{ .name_ = NodeName("c1"),
                              .dataCentre_ = kDataCentre };
  Settings settings;
  settings.controls_ = { self };
  ControlState state;
  GrantorHost host(
    settings, self, state, [](const v1::Change&) { return v1::ChangeReply(); });
  // Until now the entries' settings named another replica.
  SleepForALease();
  Holder holder;
  BOOST_REQUIRE(holder.Renew(host).present());
  BOOST_TEST(holder.Renew(host).changes_size() == 0);
  SleepForALease();
  BOOST_TEST(holder.Renew(host).changes_size() == 1);
}
