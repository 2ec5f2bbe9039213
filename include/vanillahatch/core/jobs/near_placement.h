// Decides how long a task waits for a place near its data, or a gang for a rack
// that takes all of its tasks, while there is free capacity elsewhere.
//
// A task away from its data runs several times as long. It waits while the
// expected gain exceeds the cost of waiting. No place is reserved: every round
// decides again.
//
//   RackPlaces places(need);
//   places.AddInstance(now, free, endsOfRuns);
//   choice.placeAt_ = places.At(tasksAhead);
//   if (WaitForNearPlace(choice)) { ... }
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/resources.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace vanillahatch {

// A wait while there is free capacity ends after this time at the latest.
constexpr Millis kMaxNearWait = Seconds(1);

struct NearChoice
{
  Millis now_;
  Millis waitingSince_;           // `now_` if the step has not waited yet
  std::optional<Millis> placeAt_; // expected; empty if none is expected
  double chance_ = 1.0; // that the place goes to the task, from earlier waits
  Millis nearRun_;      // run time near the data
  Millis farRun_;       // run time elsewhere
  Millis dueAt_;        // latest in-time end of the job
  // Expected time from a start near the data to the end of the job.
  Millis timeToEnd_;
  // More work waits than the free capacity takes.
  bool isCapacityShort_ = false;
};

// Returns until when the task waits, or nothing if it takes a place elsewhere
// now. A rule of this type is chosen in `FleetSchedulerOptions`.
using NearWaitRule = std::optional<Millis> (*)(const NearChoice& aChoice);
std::optional<Millis> WaitForNearPlace(const NearChoice& aChoice);

// Capacity that comes free on an instance when a run ends.
struct ExpectedEnd
{
  Millis at_;
  Resources freed_;
};

// Expected times at which places for tasks of one size come free in a rack.
class RackPlaces
{
public:
  explicit RackPlaces(const Resources& aNeed)
    : need_(aNeed)
  {
  }

  void AddInstance(Millis aNow,
                   Resources aFree,
                   std::vector<ExpectedEnd> aEnds);
  // When a task with that many others ahead of it is expected to get a place.
  std::optional<Millis> At(size_t aTasksAhead);

private:
  Resources need_;
  std::vector<Millis> times_;
  bool isSorted_ = true;
};

// The steps that wait or have waited, and how their waits ended.
class NearWaits
{
public:
  struct StepKey
  {
    uint64_t acceptanceIndex_ = 0; // of the job
    uint32_t occurrence_ = 0;
    uint32_t step_ = 0;

    friend auto operator<=>(const StepKey&, const StepKey&) = default;
  };
  // Tasks of one step in one round.
  struct Round
  {
    uint32_t startedNear_ = 0;
    uint32_t waiting_ = 0;
  };
  enum class Change
  {
    kNone,
    kBegun,
    kEnded, // no task of the step waits any more
  };
  struct Wait
  {
    // All waits of a step lie within one span from here, also after retries.
    Millis firstAt_;
    Millis since_;         // of the present or latest wait
    Millis lastAt_;        // the latest round in which it waited
    std::string rackName_; // with its service
    uint32_t waiting_ = 0;
    uint32_t endedNear_ = 0;
    uint32_t endedFar_ = 0;
  };

  // Null if the step has not waited.
  const Wait* Find(const StepKey& aStep) const;
  Change Update(Millis aNow,
                const StepKey& aStep,
                const std::string& aRackName,
                const Round& aRound);
  // Share of the waits for the rack that ended there.
  double ChanceAt(const std::string& aRackName) const;
  size_t Size() const { return waits_.size(); }
  template<class Predicate>
  void RemoveIf(Predicate aPredicate)
  {
    std::erase_if(waits_, [&](const auto& aItem) {
      return aPredicate(aItem.first.acceptanceIndex_);
    });
  }

private:
  struct Chance
  {
    double share_ = 0.5;
    uint32_t samples_ = 1;
  };

  void RecordEnds(const std::string& aRackName, uint32_t aCount, bool aAreNear);

  std::map<StepKey, Wait> waits_;
  std::map<std::string, Chance> chances_; // by rack name
};

} // namespace vanillahatch
