/// \file
/// Defines the server side of a caller's HTTP/1.1 connection, which parses
/// requests and writes their responses one at a time.
#ifndef SAPPHIREREEL_RELAY_CALLER_SESSION_HPP
#define SAPPHIREREEL_RELAY_CALLER_SESSION_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/http/request_parser.hpp"
#include "sapphirereel/relay/connection.hpp"
#include "sapphirereel/relay/intake_account.hpp"
#include "sapphirereel/relay/routing.hpp"
#include "sapphirereel/relay/session_stage.hpp"

#include <asio/post.hpp>
#include <functional>
#include <memory>
#include <string>

namespace sapphirereel::relay {

/// Least bytes of a body that must arrive within the time limit of a head,
/// again and again: a caller that sends less is refused, one that sends
/// steadily has the time that it needs.
inline constexpr auto min_body_progress_bytes = std::size_t{4'096};

/// Time after which a caller whose message found no room may send it again.
inline constexpr auto retry_without_room = std::chrono::seconds{1};

/// One connection from a caller. Requests are served one at a time; pipelined
/// requests wait in the parser.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    using request_handler =
        std::function<void(std::shared_ptr<caller_session>, http::request)>;
    using limits_source = std::function<caller_limits()>;
    using incomplete_handler = std::function<void(incomplete_session const&)>;
    /// Makes room for a request that is to hold so many bytes; returns whether
    /// there may be some now.
    using room_maker = std::function<bool(std::size_t)>;

    /// Starts reading. `limits` is evaluated before each request. `intake` is
    /// the account of the bytes that requests take; none if they are not
    /// counted.
    static auto start(
        asio::ip::tcp::socket socket,
        limits_source limits,
        request_handler on_request,
        std::shared_ptr<intake_account> intake = nullptr)
        -> std::shared_ptr<caller_session>;

    ~caller_session();
    caller_session(caller_session const&) = delete;
    auto operator=(caller_session const&) -> caller_session& = delete;

    /// Sets a handler that is called once if the caller disconnects before its
    /// response is complete.
    auto on_disconnect(std::function<void()> handler) -> void;

    /// Sends a complete response to the current request.
    auto respond(int status, http::field_list fields, std::string_view body)
        -> void;

    /// Starts a chunked response, appends to it, and ends it. For a caller of
    /// HTTP/1.0 the end of the connection ends the response.
    auto begin_stream(
        int status, std::string_view reason, http::field_list fields) -> void;
    auto stream(std::string_view bytes) -> void;
    auto finish_stream() -> void;

    /// Closes the connection at once, so that an incomplete response does not
    /// look complete.
    auto abort() -> void;

    /// Closes the connection after the buffered bytes have been written,
    /// although the response is incomplete.
    auto close_incomplete() -> void;

    /// Sets a handler that is called if the connection ends before a request
    /// that was read, at least in part, has its complete response.
    auto on_incomplete(incomplete_handler handler) -> void;

    /// Closes the connection once it is idle; a response in progress is
    /// completed first.
    auto stop() -> void;

    /// Closes the connection after the next response.
    auto close_after_next() -> void
    {
        stopping_ = true;
    }

    /// Bytes of the response that are buffered for writing.
    [[nodiscard]] auto unsent_bytes() const -> std::size_t;

    /// Sets a handler that is called when all buffered bytes of the response
    /// have been written.
    auto on_drained(std::function<void()> handler) -> void;

    /// How far the present request has got.
    [[nodiscard]] auto stage() const -> session_stage;

    /// Whether a request has arrived, at least in part, that has no answer yet,
    /// or part of an answer is still buffered.
    [[nodiscard]] auto is_in_use() const -> bool;

    /// Whether the socket is closed.
    [[nodiscard]] auto is_closed() const -> bool;

    /// Whether the connection carries no whole request now.
    [[nodiscard]] auto may_be_ended() const -> bool
    {
        return !busy_;
    }

    /// Ends a connection that carries no whole request: with 408 if one has
    /// begun to arrive; at once if it is closing already.
    auto end_unserved() -> void;

    /// Whether the connection is being closed and its socket is still open.
    [[nodiscard]] auto is_closing() const -> bool
    {
        return !connection_->is_open() && !connection_->is_closed();
    }

    /// Refuses a request that is arriving, as others need its room.
    auto end_for_room() -> void;

    /// Bytes that the account counts for this connection.
    [[nodiscard]] auto counted_bytes() const -> std::size_t
    {
        return counted_bytes_;
    }

    /// Sets what is asked for room before a request is refused for want of it.
    auto set_room_maker(room_maker make_room) -> void;

    /// Whether a whole request has arrived on the connection.
    [[nodiscard]] auto has_served() const -> bool
    {
        return has_served_;
    }

    /// When bytes last arrived or a response was completed.
    [[nodiscard]] auto last_active() const -> time_point
    {
        return last_active_;
    }

    /// Sets a handler that is called with the status of each request that is
    /// refused before it has arrived whole.
    auto on_rejected(std::function<void(int status)> handler) -> void;

private:
    caller_session(
        std::shared_ptr<connection> transport,
        asio::steady_timer timer,
        limits_source limits,
        request_handler on_request,
        std::shared_ptr<intake_account> intake);

    auto begin() -> void;
    auto receive(std::string_view bytes) -> void;
    auto drained() -> void;
    /// Serves the next request that has arrived, once the caller has read
    /// enough of the responses before it.
    auto serve_waiting() -> void;
    auto serve_next() -> void;
    /// Whether so many bytes of responses are buffered that no further request
    /// is served.
    [[nodiscard]] auto is_output_blocked() const -> bool;
    /// Counts what is held; returns whether it may be.
    auto count_bytes(std::size_t bytes) -> bool;
    /// The same, after others have made room if there is none.
    auto take_room(std::size_t bytes) -> bool;
    auto reject_without_room() -> void;
    auto response_completed() -> void;
    auto reject(http::request_error const& error) -> void;
    auto handle_disconnect() -> void;
    auto report_incomplete(session_end ended_by) const -> void;
    auto arm_timer() -> void;
    auto timed_out() -> void;
    /// Refuses a request that does not arrive in time; gives one whose body
    /// arrives steadily more time.
    auto examine_arrival() -> void;
    /// Ends a connection whose caller reads nothing of what is buffered.
    auto examine_output() -> void;
    auto close_if_idle() -> void;
    auto connection_fields(http::field_list& fields) const -> void;

    std::shared_ptr<connection> connection_;
    asio::steady_timer timer_;
    limits_source limits_;
    request_handler on_request_;
    http::request_parser parser_;
    std::function<void()> disconnect_handler_;
    std::function<void()> drain_handler_;
    incomplete_handler incomplete_handler_;
    bool busy_ = false;
    /// Whether a streamed response has begun.
    bool streaming_ = false;
    bool keep_alive_ = true;
    /// Whether the caller of the present request can read chunks.
    bool accepts_chunks_ = true;
    bool stopping_ = false;
    /// Whether the timer limits the time to receive a request instead of the
    /// idle time.
    bool timing_request_ = false;
    /// Bytes of the body that had arrived when the timer was set.
    std::size_t examined_body_bytes_ = 0;
    /// Bytes of responses that were buffered then.
    std::size_t examined_unsent_bytes_ = 0;
    bool has_served_ = false;
    time_point last_active_;
    std::shared_ptr<intake_account> intake_;
    /// Bytes that the account counts for this connection.
    std::size_t counted_bytes_ = 0;
    std::function<void(int)> rejected_handler_;
    room_maker make_room_;
};

} // namespace sapphirereel::relay

#endif
