#include "vanillahatch/shell/rpc.h"

#include "vanillahatch/shell/settings.h"

#include <absl/synchronization/mutex.h>
#include <array>
#include <chrono>

namespace vanillahatch {

namespace {

constexpr int kKeepaliveTimeMs = 5000;
constexpr int kKeepaliveTimeoutMs = 2000;
constexpr int kMinReconnectBackoffMs = 100;
constexpr int kMaxReconnectBackoffMs = 1000;
constexpr int kMaxMessageBytes = 64 << 20; // a snapshot of the fleet's state

// Debian builds Abseil with tracking of the lock order: each lock that gRPC
// takes is looked up under a global lock, to find deadlocks in gRPC.
void DisableLockOrderTracking()
{
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
}

} // namespace

std::shared_ptr<grpc::Channel> MakeChannel(const Endpoint& aEndpoint)
{
  DisableLockOrderTracking();
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveTimeMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   kMinReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  return grpc::CreateCustomChannel(
    ToText(aEndpoint), grpc::InsecureChannelCredentials(), arguments);
}

std::unique_ptr<grpc::Server> StartServer(const Endpoint& aEndpoint,
                                          grpc::Service& aService)
{
  const std::array services = { &aService };
  return StartServer(aEndpoint, services);
}

std::unique_ptr<grpc::Server> StartServer(
  const Endpoint& aEndpoint,
  std::span<grpc::Service* const> aServices)
{
  DisableLockOrderTracking();
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(
    ToText(aEndpoint), grpc::InsecureServerCredentials(), &port);
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveTimeMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                             kKeepaliveTimeoutMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  builder.AddChannelArgument(
    GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 1000);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  for (grpc::Service* service : aServices) {
    builder.RegisterService(service);
  }
  std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
  return port != 0 ? std::move(server) : nullptr;
}

void SetDeadline(grpc::ClientContext& aContext, Millis aTimeout)
{
  aContext.set_deadline(std::chrono::system_clock::now() +
                        std::chrono::milliseconds(aTimeout.Count()));
}

} // namespace vanillahatch
