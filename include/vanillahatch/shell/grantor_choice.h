// Which control replica is the grantor of a data centre: the first one listed
// in that data centre, or the first of all where it has none of its own.
#pragma once

#include "vanillahatch/shell/settings.h"

#include <span>

namespace vanillahatch {

const ControlSettings& GrantorOf(const DataCentreName& aDataCentre,
                                 std::span<const ControlSettings> aControls);

} // namespace vanillahatch
