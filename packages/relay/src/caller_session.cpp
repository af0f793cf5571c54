#include "sapphirereel/relay/caller_session.hpp"

#include "sapphirereel/telemetry/clocks.hpp"

#include <utility>

namespace sapphirereel::relay {
namespace {

constexpr auto service_unavailable = 503;

/// Buffered bytes of pipelined requests above which reading pauses while a
/// request is served.
constexpr auto max_pipelined_bytes = std::size_t{16'384};

/// Buffered bytes of responses above which no further pipelined request is
/// served.
constexpr auto max_unread_bytes = std::size_t{65'536};

/// How often a body is in memory while it is served: as it arrived, and as it
/// is written to its replica.
constexpr auto copies_of_served_body = std::size_t{2};

} // namespace

caller_session::caller_session(
    std::shared_ptr<connection> transport,
    asio::steady_timer timer,
    limits_source limits,
    request_handler on_request,
    std::shared_ptr<intake_account> intake)
    : connection_(std::move(transport))
    , timer_(std::move(timer))
    , limits_(std::move(limits))
    , on_request_(std::move(on_request))
    , last_active_(telemetry::monotonic_now())
    , intake_(std::move(intake))
{}

caller_session::~caller_session()
{
    count_bytes(0);
}

auto caller_session::start(
    asio::ip::tcp::socket socket,
    limits_source limits,
    request_handler on_request,
    std::shared_ptr<intake_account> intake) -> std::shared_ptr<caller_session>
{
    auto timer = asio::steady_timer{socket.get_executor()};
    auto self = std::shared_ptr<caller_session>{new caller_session{
        connection::adopt(std::move(socket)), std::move(timer),
        std::move(limits), std::move(on_request), std::move(intake)}};
    self->begin();
    return self;
}

auto caller_session::begin() -> void
{
    auto const self = shared_from_this();
    connection_->set_handlers(
        {[self](std::string_view bytes) { self->receive(bytes); },
         [self](connection_end) { self->handle_disconnect(); },
         [self] {
             self->drained();
         }});
    arm_timer();
    connection_->read();
}

auto caller_session::receive(std::string_view bytes) -> void
{
    last_active_ = telemetry::monotonic_now();
    parser_.append(bytes);
    if (!busy_ && !is_output_blocked())
    {
        serve_next();
        return;
    }
    if (parser_.waiting_bytes() > max_pipelined_bytes)
    {
        connection_->pause();
    }
}

auto caller_session::drained() -> void
{
    if (drain_handler_)
    {
        drain_handler_();
        return;
    }
    serve_waiting();
}

auto caller_session::is_output_blocked() const -> bool
{
    return connection_->unsent_bytes() > max_unread_bytes;
}

auto caller_session::serve_waiting() -> void
{
    if (busy_ || !connection_->is_open() || is_output_blocked())
    {
        return;
    }
    connection_->read();
    if (parser_.waiting_bytes() > 0)
    {
        serve_next();
    }
}

auto caller_session::count_bytes(std::size_t bytes) -> bool
{
    if (!intake_)
    {
        return true;
    }
    if (!intake_->resize(counted_bytes_, bytes))
    {
        return false;
    }
    counted_bytes_ = bytes;
    return true;
}

auto caller_session::take_room(std::size_t bytes) -> bool
{
    auto is_taken = count_bytes(bytes);
    while (!is_taken && make_room_ && make_room_(bytes))
    {
        is_taken = count_bytes(bytes);
    }
    return is_taken;
}

auto caller_session::serve_next() -> void
{
    auto const limits = limits_();
    parser_.set_limits(limits.message);
    auto next = parser_.next();
    if (!next)
    {
        reject(next.error());
        return;
    }
    auto const served_bytes =
        *next ? (*next)->body.capacity() * copies_of_served_body : 0;
    if (!take_room(parser_.held_bytes() + served_bytes))
    {
        reject_without_room();
        return;
    }
    if (parser_.take_continue_wanted())
    {
        connection_->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!*next)
    {
        auto const request_begins = parser_.has_partial() && !timing_request_;
        if (request_begins)
        {
            arm_timer();
        }
        return;
    }
    busy_ = true;
    has_served_ = true;
    timing_request_ = false;
    timer_.cancel();
    keep_alive_ = (*next)->keep_alive && !stopping_;
    accepts_chunks_ = (*next)->accepts_chunks;
    on_request_(shared_from_this(), std::move(**next));
}

auto caller_session::arm_timer() -> void
{
    auto const limits = limits_();
    timing_request_ = parser_.has_partial();
    examined_body_bytes_ = parser_.body_bytes();
    examined_unsent_bytes_ = connection_->unsent_bytes();
    timer_.expires_after(
        timing_request_ ? limits.head_timeout : limits.idle_timeout);
    timer_.async_wait([weak = weak_from_this()](std::error_code error) {
        auto const self = weak.lock();
        if (!error && self && !self->busy_)
        {
            self->timed_out();
        }
    });
}

auto caller_session::timed_out() -> void
{
    if (is_output_blocked())
    {
        examine_output();
        return;
    }
    if (timing_request_)
    {
        examine_arrival();
        return;
    }
    close_if_idle();
    if (connection_->is_open())
    {
        arm_timer();
    }
}

auto caller_session::examine_arrival() -> void
{
    auto const arrived = parser_.body_bytes() - examined_body_bytes_;
    if (parser_.is_reading_body() && arrived >= min_body_progress_bytes)
    {
        arm_timer();
        return;
    }
    reject({408, "the request did not arrive in time"});
}

auto caller_session::examine_output() -> void
{
    if (connection_->unsent_bytes() < examined_unsent_bytes_)
    {
        arm_timer();
        return;
    }
    abort();
}

auto caller_session::end_unserved() -> void
{
    if (busy_)
    {
        return;
    }
    if (is_closing() || !parser_.has_partial())
    {
        // Nothing is sent that a reset could overtake, or there was time.
        timer_.cancel();
        connection_->close();
        return;
    }
    reject({408, "the daemon has too many connections"});
}

auto caller_session::end_for_room() -> void
{
    if (!busy_)
    {
        reject_without_room();
    }
}

auto caller_session::set_room_maker(room_maker make_room) -> void
{
    make_room_ = std::move(make_room);
}

auto caller_session::on_rejected(std::function<void(int status)> handler)
    -> void
{
    rejected_handler_ = std::move(handler);
}

/// A request that has arrived and was not read yet is served.
auto caller_session::close_if_idle() -> void
{
    if (busy_ || parser_.has_partial() || connection_->has_input())
    {
        return;
    }
    timer_.cancel();
    connection_->close_gracefully();
}

auto caller_session::reject(http::request_error const& error) -> void
{
    if (rejected_handler_)
    {
        rejected_handler_(error.status);
    }
    // What has arrived is not read on; its memory is not needed while the
    // connection closes.
    parser_.clear();
    keep_alive_ = false;
    busy_ = true;
    auto fields = http::field_list{{"Content-Type", "text/plain"}};
    if (error.status == service_unavailable)
    {
        fields.push_back(
            {"Retry-After", std::to_string(retry_without_room.count())});
    }
    respond(error.status, std::move(fields), error.detail);
}

auto caller_session::reject_without_room() -> void
{
    reject(
        {service_unavailable,
         "the daemon holds as many bytes of requests as it may; send the "
         "request again later"});
}

auto caller_session::connection_fields(http::field_list& fields) const -> void
{
    if (!keep_alive_ || stopping_)
    {
        fields.push_back({"Connection", "close"});
    }
}

auto caller_session::respond(
    int status, http::field_list fields, std::string_view body) -> void
{
    connection_fields(fields);
    keep_alive_ = keep_alive_ && !stopping_;
    connection_->send(http::write_response(status, std::move(fields), body));
    response_completed();
}

auto caller_session::begin_stream(
    int status, std::string_view reason, http::field_list fields) -> void
{
    keep_alive_ = keep_alive_ && !stopping_ && accepts_chunks_;
    connection_fields(fields);
    if (accepts_chunks_)
    {
        fields.push_back({"Transfer-Encoding", "chunked"});
    }
    streaming_ = true;
    connection_->send(http::write_head(status, reason, fields));
}

auto caller_session::stream(std::string_view bytes) -> void
{
    connection_->send(
        accepts_chunks_ ? http::write_chunk(bytes) : std::string{bytes});
}

auto caller_session::finish_stream() -> void
{
    if (accepts_chunks_)
    {
        connection_->send(std::string{http::last_chunk});
    }
    response_completed();
}

auto caller_session::response_completed() -> void
{
    disconnect_handler_ = {};
    drain_handler_ = {};
    busy_ = false;
    streaming_ = false;
    last_active_ = telemetry::monotonic_now();
    count_bytes(parser_.held_bytes());
    if (!keep_alive_)
    {
        timer_.cancel();
        connection_->close_gracefully();
        return;
    }
    arm_timer();
    if (is_output_blocked())
    {
        connection_->pause();
        return;
    }
    connection_->read();
    if (parser_.waiting_bytes() > 0)
    {
        // Posted to the event loop because the exchange that sent the response
        // is still on the stack.
        auto const executor = timer_.get_executor();
        asio::post(
            executor, [self = shared_from_this()] { self->serve_waiting(); });
    }
}

auto caller_session::abort() -> void
{
    report_incomplete(session_end::daemon);
    disconnect_handler_ = {};
    drain_handler_ = {};
    timer_.cancel();
    if (streaming_ && !accepts_chunks_)
    {
        connection_->reset();
        return;
    }
    connection_->close();
}

auto caller_session::close_incomplete() -> void
{
    report_incomplete(session_end::daemon);
    disconnect_handler_ = {};
    drain_handler_ = {};
    timer_.cancel();
    connection_->close_gracefully();
}

auto caller_session::stop() -> void
{
    stopping_ = true;
    if (connection_->is_open())
    {
        close_if_idle();
    }
}

auto caller_session::handle_disconnect() -> void
{
    report_incomplete(session_end::caller);
    timer_.cancel();
    drain_handler_ = {};
    if (auto const handler = std::exchange(disconnect_handler_, {}))
    {
        handler();
    }
}

auto caller_session::on_disconnect(std::function<void()> handler) -> void
{
    disconnect_handler_ = std::move(handler);
}

auto caller_session::on_drained(std::function<void()> handler) -> void
{
    drain_handler_ = std::move(handler);
}

auto caller_session::unsent_bytes() const -> std::size_t
{
    return connection_->unsent_bytes();
}

auto caller_session::on_incomplete(incomplete_handler handler) -> void
{
    incomplete_handler_ = std::move(handler);
}

auto caller_session::stage() const -> session_stage
{
    if (busy_)
    {
        return streaming_ ? session_stage::answering : session_stage::waiting;
    }
    if (connection_->unsent_bytes() > 0)
    {
        return session_stage::flushing;
    }
    return parser_.has_partial() ? session_stage::receiving
                                 : session_stage::idle;
}

auto caller_session::is_in_use() const -> bool
{
    if (connection_->is_closed())
    {
        return false;
    }
    return stage() != session_stage::idle ||
           (connection_->is_open() && connection_->has_input());
}

auto caller_session::report_incomplete(session_end ended_by) const -> void
{
    auto const reached = stage();
    if (reached != session_stage::idle && incomplete_handler_)
    {
        incomplete_handler_({ended_by, reached, connection_->unsent_bytes()});
    }
}

auto caller_session::is_closed() const -> bool
{
    return connection_->is_closed();
}

} // namespace sapphirereel::relay
