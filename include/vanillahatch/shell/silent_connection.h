// Socket options that find a connection whose other end is gone without a
// reset, because something in between has lost track of it.
#pragma once

#include "vanillahatch/core/clock.h"

#include <boost/asio/ip/tcp.hpp>

namespace vanillahatch {

// Unacknowledged data breaks the connection after `aUnacknowledged`; an idle
// one is probed and breaks after about `aKeepalive` without a reply.
void FindSilence(boost::asio::ip::tcp::socket& aSocket,
                 Millis aUnacknowledged,
                 Millis aKeepalive);

} // namespace vanillahatch
