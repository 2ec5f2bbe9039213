// How much tasks of one kind take: the declared size until enough of them have
// been measured, then a high quantile of what was measured.
#pragma once

#include "vanillahatch/core/resources.h"

#include <cstddef>
#include <vector>

namespace vanillahatch {

class TaskSize
{
public:
  // Takes in the most that one task used over its run.
  void Learn(const Resources& aPeakUse);

  // What to reserve for the next task of this kind. Accelerators are taken
  // whole, so they stay as declared.
  Resources Reserve(const Resources& aDeclared) const;

private:
  static constexpr size_t kKept = 64;  // latest tasks
  static constexpr size_t kEnough = 8; // before they replace the declared
  static constexpr int64_t kPercentile = 95;
  static constexpr int64_t kMarginPercent = 10;

  std::vector<Resources> seen_; // a ring
  size_t next_ = 0;
};

} // namespace vanillahatch
