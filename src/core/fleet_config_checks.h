// What makes a change acceptable, and what it does to the state. Used by
// `FleetConfig` only.
#pragma once

#include "config.pb.h"

#include <string>

namespace vanillahatch::fleet_config {

// Empty if the change may be made to the state, else the field at fault and
// what is accepted.
std::string Check(const v1::FleetState& aState, const v1::Change& aChange);

// The revision that `expected_revision` is held against.
uint64_t LastRevision(const v1::FleetState& aState, const v1::Change& aChange);

// The value now in force of what the change is about, for people.
std::string CurrentValue(const v1::FleetState& aState,
                         const v1::Change& aChange);

// Makes an acceptable change; the state's revision is already the new one.
void Perform(v1::FleetState& aState, const v1::Change& aChange);

} // namespace vanillahatch::fleet_config
