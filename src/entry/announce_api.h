// Parses an upstream's announcement (JSON) into a fact.
//
//   POST /v1/announce  {"instance":"loops-1","service":"loops",
//     "address":"10.0.0.5","port":8080,"slots":8,"connections":64,
//     "data_centre":"lagos-1","rack":"r1","worker":"w1",
//     "generation":1700000000000,"sequence":1,"lease_ms":3000}
//
// `"departed": true` announces that the upstream takes no more work.
#pragma once

#include "vanillahatch/core/result.h"
#include "vanillahatch/core/upstream.h"

#include <string>
#include <string_view>

namespace vanillahatch {

// The first invalid field and what is wrong with it.
struct MalformedAnnouncement
{
  std::string field_;
  std::string detail_;
};

Result<UpstreamFact, MalformedAnnouncement> ParseAnnouncement(
  std::string_view aJson);

} // namespace vanillahatch
