/// \file
/// Defines a call whose response is buffered completely, with a timeout.
#ifndef SAPPHIREREEL_RELAY_BUFFERED_CALL_HPP
#define SAPPHIREREEL_RELAY_BUFFERED_CALL_HPP

#include "sapphirereel/http/message.hpp"
#include "sapphirereel/relay/upstream_call.hpp"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace sapphirereel::relay {

using buffered_response = tl::expected<http::response, call_failure>;
using buffered_response_handler = std::function<void(buffered_response)>;

/// A pending call. Releasing all references does not end it, `cancel` does.
class buffered_call : public std::enable_shared_from_this<buffered_call>
{
public:
    /// Sends a request and passes its complete response, or the failure, to
    /// `done`, at the latest after `limit`.
    static auto start(
        asio::io_context& loop,
        upstream_pool& pool,
        asio::ip::tcp::endpoint const& to,
        std::string bytes,
        duration limit,
        buffered_response_handler done,
        call_options const& options = {}) -> std::shared_ptr<buffered_call>;

    auto cancel() -> void;

private:
    buffered_call(asio::io_context& loop, buffered_response_handler done);

    auto finish(buffered_response answer) -> void;
    auto fail(call_failure why) -> void;

    asio::steady_timer timer_;
    buffered_response_handler done_;
    http::response answer_;
    std::shared_ptr<upstream_call> call_;
};

} // namespace sapphirereel::relay

#endif
