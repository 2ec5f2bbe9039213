// The configuration that operators' changes add up to, with its revision.
//
// Every replica applies the same changes in the same order and so holds the
// same state. A change carries an id of its caller's making: the second
// arrival of an id gets the first answer back and changes nothing.
#pragma once

#include "config.pb.h"

#include <map>
#include <string>

namespace vanillahatch {

class FleetConfig
{
public:
  // Applies one change in log order and says what became of it.
  v1::ChangeReply Apply(const v1::Change& aChange);

  // Replaces everything with a state taken elsewhere, if it is not older.
  // False if `aState` is older than what is held.
  bool Restore(const v1::FleetState& aState);

  const v1::FleetState& State() const { return state_; }
  uint64_t Revision() const { return state_.revision(); }

private:
  // Empty if the change is acceptable, else why it is refused.
  std::string Check(const v1::Change& aChange) const;
  void Perform(const v1::Change& aChange);

  v1::FleetState state_;
  std::map<std::string, v1::ChangeReply> answers_; // by change id
};

} // namespace vanillahatch
