// Creates gRPC channels and servers with common keepalive and size settings.
#pragma once

#include "vanillahatch/core/clock.h"
#include "vanillahatch/core/upstream.h"

#include <grpcpp/grpcpp.h>
#include <memory>
#include <span>

namespace vanillahatch {

std::shared_ptr<grpc::Channel> MakeChannel(const Endpoint& aEndpoint);

// Null if the endpoint cannot be bound. The services must outlive the server.
std::unique_ptr<grpc::Server> StartServer(
  const Endpoint& aEndpoint,
  std::span<grpc::Service* const> aServices);
std::unique_ptr<grpc::Server> StartServer(const Endpoint& aEndpoint,
                                          grpc::Service& aService);

void SetDeadline(grpc::ClientContext& aContext, Millis aTimeout);

} // namespace vanillahatch
