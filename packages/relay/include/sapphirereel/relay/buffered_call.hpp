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

/// How long a call may take.
class call_limit
{
public:
    /// The call ends after a time, whatever has arrived.
    template <class Count, class Period>
    explicit(false) call_limit(std::chrono::duration<Count, Period> whole)
        : first_(whole)
    {}

    /// The response's body begins within a time; the call then goes on while
    /// `min_progress_bytes` or more arrive in each span of `progress_span`.
    static auto of_progress(duration until_response) -> call_limit
    {
        auto limit = call_limit{until_response};
        limit.ends_with_progress_ = true;
        return limit;
    }

    /// Time until the call is examined for the first time.
    [[nodiscard]] auto first() const -> duration
    {
        return first_;
    }

    /// Whether a call goes on that has received `bytes` of its response's body,
    /// and had received `before` when it was examined last.
    [[nodiscard]] auto continues(std::size_t bytes, std::size_t before) const
        -> bool;

    auto operator<=>(call_limit const&) const = default;

private:
    duration first_;
    bool ends_with_progress_ = false;
};

/// Time between two looks at whether a response's body still arrives, and the
/// least that must have arrived between them: 20 KB a second, a sixtieth of a
/// weak VM's link.
inline constexpr auto progress_span = duration{std::chrono::milliseconds{800}};
inline constexpr auto min_progress_bytes = std::size_t{16'384};

using buffered_response = tl::expected<http::response, call_failure>;
using buffered_response_handler = std::function<void(buffered_response)>;

/// Whether the rest of a response is still wanted, by what has arrived of it.
using partial_response_test = std::function<bool(http::response const&)>;

/// A pending call. Releasing all references does not end it, `cancel` does.
class buffered_call : public std::enable_shared_from_this<buffered_call>
{
public:
    /// Sends a request and passes its complete response, or the failure, to
    /// `done`, at the latest when `limit` is reached. Ends the call, which then
    /// fails, as soon as `is_wanted` rejects the part that has arrived.
    static auto start(
        asio::io_context& loop,
        upstream_pool& pool,
        asio::ip::tcp::endpoint const& to,
        std::string bytes,
        call_limit const& limit,
        buffered_response_handler done,
        call_options const& options = {},
        partial_response_test is_wanted = {}) -> std::shared_ptr<buffered_call>;

    auto cancel() -> void;

private:
    buffered_call(
        asio::io_context& loop,
        call_limit const& limit,
        buffered_response_handler done,
        partial_response_test is_wanted);

    auto arm_timer(duration until) -> void;
    auto examine_progress() -> void;
    auto add_body(std::string const& body) -> void;

    auto finish(buffered_response answer) -> void;
    auto fail(call_failure why) -> void;

    call_limit limit_;
    asio::steady_timer timer_;
    buffered_response_handler done_;
    partial_response_test is_wanted_;
    http::response answer_;
    /// Bytes of the response's body when the call was examined last.
    std::size_t examined_bytes_ = 0;
    std::shared_ptr<upstream_call> call_;
};

} // namespace sapphirereel::relay

#endif
