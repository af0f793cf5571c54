#include "sapphirereel/relay/caller_session.hpp"

#include <utility>

namespace sapphirereel::relay {
namespace {

/// Buffered bytes of pipelined requests above which reading pauses while a
/// request is served.
constexpr auto max_pipelined_bytes = std::size_t{65'536};

} // namespace

caller_session::caller_session(
    std::shared_ptr<connection> transport,
    asio::steady_timer timer,
    limits_source limits,
    request_handler on_request)
    : connection_(std::move(transport))
    , timer_(std::move(timer))
    , limits_(std::move(limits))
    , on_request_(std::move(on_request))
{}

auto caller_session::start(
    asio::ip::tcp::socket socket,
    limits_source limits,
    request_handler on_request) -> std::shared_ptr<caller_session>
{
    auto timer = asio::steady_timer{socket.get_executor()};
    auto self = std::shared_ptr<caller_session>{new caller_session{
        connection::adopt(std::move(socket)), std::move(timer),
        std::move(limits), std::move(on_request)}};
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
             if (self->drain_handler_)
             {
                 self->drain_handler_();
             }
         }});
    arm_timer();
    connection_->read();
}

auto caller_session::receive(std::string_view bytes) -> void
{
    parser_.append(bytes);
    if (busy_)
    {
        if (parser_.waiting_bytes() > max_pipelined_bytes)
        {
            connection_->pause();
        }
        return;
    }
    serve_next();
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
    keep_alive_ = false;
    busy_ = true;
    respond(error.status, {{"Content-Type", "text/plain"}}, error.detail);
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
    if (!keep_alive_)
    {
        timer_.cancel();
        connection_->close_gracefully();
        return;
    }
    arm_timer();
    connection_->read();
    if (parser_.waiting_bytes() > 0)
    {
        // Posted to the event loop because the exchange that sent the response
        // is still on the stack.
        auto const executor = timer_.get_executor();
        asio::post(executor, [self = shared_from_this()] {
            if (!self->busy_ && self->connection_->is_open())
            {
                self->serve_next();
            }
        });
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
