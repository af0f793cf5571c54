/// \file
/// Defines an HTTP call that blocks its thread, that another thread can break
/// off, and that believes an answer only if it is whole.
#ifndef SAPPHIREREEL_CALLS_BLOCKING_CALL_HPP
#define SAPPHIREREEL_CALLS_BLOCKING_CALL_HPP

#include "sapphirereel/calls/call_socket.hpp"
#include "sapphirereel/http/message.hpp"
#include "sapphirereel/http/response_parser.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace sapphirereel::calls {

/// How long a call may take.
struct call_limits
{
    /// Until the connection stands.
    duration connect{std::chrono::seconds{1}};
    /// Without a byte that is sent or arrives.
    duration idle{std::chrono::seconds{5}};
    auto operator<=>(call_limits const&) const = default;
};

/// How far a call came that brought no answer.
enum class failed_stage
{
    /// No byte of the request left.
    not_sent,
    /// The request may have arrived, no whole answer did.
    unanswered,
    /// The taker of the answer, or `stop`, ended the call.
    stopped
};

/// Why a call brought no whole answer.
struct call_error
{
    failed_stage stage = failed_stage::unanswered;
    /// Whether connecting failed, and not for the time that it took.
    bool is_refused = false;
    std::string detail;
    auto operator<=>(call_error const&) const = default;
};

/// Takes an answer as it arrives; the call ends early when a function returns
/// false.
struct answer_taker
{
    std::function<bool(http::response_head const&)> head;
    std::function<bool(std::string_view)> body;
};

/// A request of one call.
struct call_request
{
    std::string method;
    /// The path as it goes out.
    std::string target;
    http::field_list fields = {};
    std::string body = {};
    auto operator<=>(call_request const&) const = default;
};

/// Largest answer that `fetch` gathers, in bytes.
inline constexpr auto max_gathered_bytes = std::size_t{64} << 20U;

/// Calls of one address, one at a time; each opens a connection of its own. A
/// whole answer is one whose framing proves its end, whatever becomes of the
/// request by then, or one that ends with its connection in order, after the
/// whole request has arrived.
class blocking_call
{
public:
    blocking_call(socket_address address, call_limits limits);

    /// Sends a request and passes its answer on as it arrives. Returns the head
    /// of an answer that was whole.
    auto perform(call_request const& request, answer_taker const& taker)
        -> tl::expected<http::response_head, call_error>;

    /// Sends a request and gathers its answer.
    auto fetch(call_request const& request)
        -> tl::expected<http::response, call_error>;

    /// Ends the present and every later call, from any thread.
    auto stop() -> void;
    [[nodiscard]] auto is_stopped() const -> bool;

private:
    auto exchange(
        std::string_view unsent,
        http::response_parser& parser,
        answer_taker const& taker) -> tl::expected<void, call_error>;
    auto receive(
        http::response_parser& parser, answer_taker const& taker, bool was_sent)
        -> tl::expected<void, call_error>;
    [[nodiscard]] auto fail(std::string detail) const
        -> tl::unexpected<call_error>;

    socket_address address_;
    call_limits limits_;
    call_socket socket_;
    bool is_head_taken_ = false;
};

} // namespace sapphirereel::calls

#endif
