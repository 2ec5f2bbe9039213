// Validation of configuration changes and their effect on the state. Used only
// by `FleetConfig`.
#pragma once

#include "config.pb.h"

#include <string>

namespace vanillahatch::fleet_config {

// Returns an empty string if the change is valid for the state, otherwise an
// error text with the invalid field and its accepted values.
std::string Check(const v1::FleetState& aState, const v1::Change& aChange);

// The revision of the last change that can conflict with `aChange`; an older
// `expected_revision` is a conflict.
uint64_t LastRelevantRevision(const v1::FleetState& aState,
                              const v1::Change& aChange);

// The current value of the changed item as human-readable text.
std::string CurrentValue(const v1::FleetState& aState,
                         const v1::Change& aChange);

// Applies a valid change. The state must already have the new revision.
void ApplyToState(v1::FleetState& aState, const v1::Change& aChange);

} // namespace vanillahatch::fleet_config
