// Proposes a payload to the control log and resumes on the caller's executor.
//
//   const ProposalResult result = co_await AwaitProposal(replica, payload);
#pragma once

#include "replica/log_replica.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace vanillahatch {

inline boost::asio::awaitable<ProposalResult> AwaitProposal(
  LogReplica& aReplica,
  std::string aPayload)
{
  namespace asio = boost::asio;
  const auto executor = co_await asio::this_coro::executor;
  auto initiate = [&aReplica, executor](auto aHandler,
                                        const std::string& aBytes) {
    auto handler = std::make_shared<decltype(aHandler)>(std::move(aHandler));
    aReplica.Propose(aBytes,
                     [handler, executor](const ProposalResult& aResult) {
                       asio::post(executor, [handler, aResult]() mutable {
                         std::move (*handler)(aResult);
                       });
                     });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(ProposalResult)>(
    initiate, asio::use_awaitable, std::move(aPayload));
}

} // namespace vanillahatch
