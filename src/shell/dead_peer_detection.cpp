#include "vanillahatch/shell/dead_peer_detection.h"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace vanillahatch {

namespace {

constexpr int kProbeCount = 3;

void SetTcp(int aSocket, int aOption, int aValue)
{
  ::setsockopt(aSocket, IPPROTO_TCP, aOption, &aValue, sizeof aValue);
}

} // namespace

void EnableDeadPeerDetection(boost::asio::ip::tcp::socket& aSocket,
                             Millis aUnacknowledged,
                             Millis aKeepalive)
{
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  // The first probe is sent after a third of the time.
  const auto seconds = static_cast<int>(aKeepalive.Count() / 1000);
  const int idle = std::max(seconds / 3, 1);
  const int interval = std::max((seconds - idle) / kProbeCount, 1);
  const int handle = aSocket.native_handle();
  SetTcp(handle, TCP_KEEPIDLE, idle);
  SetTcp(handle, TCP_KEEPINTVL, interval);
  SetTcp(handle, TCP_KEEPCNT, kProbeCount);
  SetTcp(handle, TCP_USER_TIMEOUT, static_cast<int>(aUnacknowledged.Count()));
}

} // namespace vanillahatch
