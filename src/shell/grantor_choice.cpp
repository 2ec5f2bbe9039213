#include "vanillahatch/shell/grantor_choice.h"

#include <algorithm>

namespace vanillahatch {

const ControlSettings& GrantorOf(const DataCentreName& aDataCentre,
                                 std::span<const ControlSettings> aControls)
{
  const auto it =
    std::find_if(aControls.begin(), aControls.end(), [&](const auto& aControl) {
      return aControl.dataCentre_ == aDataCentre;
    });
  return it != aControls.end() ? *it : aControls.front();
}

} // namespace vanillahatch
