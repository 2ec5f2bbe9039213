// Returns the control replica that is the grantor of a data centre: the first
// one listed in that data centre, or the first in the list if it has none.
// `aControls` must not be empty.
#pragma once

#include "vanillahatch/shell/settings.h"

#include <span>

namespace vanillahatch {

const ControlSettings& GrantorOf(const DataCentreName& aDataCentre,
                                 std::span<const ControlSettings> aControls);

} // namespace vanillahatch
