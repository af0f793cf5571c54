/// \file
/// Defines a call whose answer is taken whole, with a time limit.
#ifndef SAPPHIREREEL_RELAY_WHOLE_CALL_HPP
#define SAPPHIREREEL_RELAY_WHOLE_CALL_HPP

#include "sapphirereel/http/message.hpp"
#include "sapphirereel/relay/upstream_call.hpp"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace sapphirereel::relay {

using whole_answer = tl::expected<http::response, call_failure>;
using whole_answer_handler = std::function<void(whole_answer)>;

/// A call under way; dropping every copy does not end it, `cancel` does.
class whole_call : public std::enable_shared_from_this<whole_call>
{
public:
    /// Sends a request and hands its whole answer, or why there is none, to
    /// `done`, at the latest after `limit`.
    static auto start(
        asio::io_context& loop,
        upstream_pool& pool,
        asio::ip::tcp::endpoint const& to,
        std::string bytes,
        duration limit,
        whole_answer_handler done,
        call_options const& options = {}) -> std::shared_ptr<whole_call>;

    auto cancel() -> void;

private:
    whole_call(asio::io_context& loop, whole_answer_handler done);

    auto finish(whole_answer answer) -> void;

    asio::steady_timer timer_;
    whole_answer_handler done_;
    http::response answer_;
    std::shared_ptr<upstream_call> call_;
};

} // namespace sapphirereel::relay

#endif
