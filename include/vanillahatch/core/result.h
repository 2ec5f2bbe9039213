// The result of an operation that can fail: a Boost.Outcome result with the
// error type of the layer that returns it. Each layer converts the errors of
// the layer below into its own error type.
//
//   Result<Settings, SettingsErrors> LoadSettings(...);
#pragma once

#include <boost/outcome/outcome.hpp>

namespace vanillahatch {

template<class T, class E>
using Result = boost::outcome_v2::basic_result<
  T,
  E,
  boost::outcome_v2::policy::throw_bad_result_access<E, void>>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

} // namespace vanillahatch
