// Reads one HTTP message from a stream and reports its progress.
#pragma once

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/errc.hpp>
#include <string>

namespace vanillahatch {

constexpr size_t kMaxReadBytes = size_t(64) << 10U;

// A body that takes memory for the bytes that arrived, where `string_body`
// takes the declared length in advance.
struct ArrivedBody
{
  // NOLINTBEGIN(readability-identifier-naming): names of Beast's concept.
  using value_type = std::string;

  class reader
  {
  public:
    template<bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>& /*aHeader*/,
           value_type& aBody)
      : body_(aBody)
    {
    }

    void init(const boost::optional<uint64_t>& aDeclaredBytes,
              boost::system::error_code& aError)
    {
      declaredBytes_ = static_cast<size_t>(aDeclaredBytes.value_or(0));
      aError = {};
    }

    template<class Buffers>
    size_t put(const Buffers& aBuffers, boost::system::error_code& aError)
    {
      aError = {};
      const size_t count = boost::beast::buffer_bytes(aBuffers);
      Reserve(body_.size() + count);
      for (const auto buffer : boost::beast::buffers_range_ref(aBuffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return count;
    }

    void finish(boost::system::error_code& aError) { aError = {}; }
    // NOLINTEND(readability-identifier-naming)

  private:
    // `std::string::reserve()` on a string with content may double it.
    void Reserve(size_t aBytes)
    {
      if (aBytes <= body_.capacity()) {
        return;
      }
      const size_t wanted = aBytes <= declaredBytes_
                              ? std::min(2 * aBytes, declaredBytes_)
                              : aBytes + aBytes / 4;
      std::string grown;
      grown.reserve(wanted);
      grown.append(body_);
      body_.swap(grown);
    }

    value_type& body_;
    size_t declaredBytes_ = 0;
  };
};

// `aBuffer` keeps what follows the message; its maximum size bounds each part
// of the message that is parsed as a whole: the headers, the trailers, the line
// before a chunk. `aOnProgress` is called while the message is incomplete,
// after each read; the read ends with `errc::not_enough_memory` if it returns
// false.
template<class Parser, class OnProgress>
boost::asio::awaitable<boost::system::error_code> ReadMessage(
  boost::beast::tcp_stream& aStream,
  boost::beast::flat_buffer& aBuffer,
  Parser& aParser,
  OnProgress aOnProgress)
{
  namespace asio = boost::asio;
  namespace beast = boost::beast;
  namespace http = boost::beast::http;
  boost::system::error_code error;
  aParser.eager(true);
  for (;;) {
    if (aBuffer.size() > 0) {
      aBuffer.consume(aParser.put(aBuffer.data(), error));
      if (aParser.is_done()) {
        co_return boost::system::error_code();
      }
      if (error && error != http::error::need_more) {
        co_return error;
      }
      if (!aOnProgress()) {
        co_return make_error_code(boost::system::errc::not_enough_memory);
      }
    }
    const size_t room = beast::read_size(aBuffer, kMaxReadBytes);
    if (room == 0) {
      co_return http::make_error_code(http::error::buffer_overflow);
    }
    error = {};
    const size_t count = co_await aStream.async_read_some(
      aBuffer.prepare(room), asio::redirect_error(asio::use_awaitable, error));
    aBuffer.commit(count);
    if (error == asio::error::eof) {
      if (!aParser.got_some()) {
        co_return http::make_error_code(http::error::end_of_stream);
      }
      error = {};
      aParser.put_eof(error);
      if (!error && !aParser.is_done()) {
        error = http::make_error_code(http::error::partial_message);
      }
      co_return error;
    }
    if (error) {
      co_return error;
    }
  }
}

} // namespace vanillahatch
