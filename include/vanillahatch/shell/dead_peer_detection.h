// Socket options that detect a connection whose peer is unreachable although no
// reset arrived, for example because a device on the path lost its state.
#pragma once

#include "vanillahatch/core/clock.h"

#include <boost/asio/ip/tcp.hpp>

namespace vanillahatch {

// The connection fails once data has been unacknowledged for `aUnacknowledged`.
// An idle connection is probed and fails after about `aKeepalive` without a
// reply. Errors in setting the options are ignored.
void EnableDeadPeerDetection(boost::asio::ip::tcp::socket& aSocket,
                             Millis aUnacknowledged,
                             Millis aKeepalive);

} // namespace vanillahatch
