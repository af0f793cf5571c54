#include "sapphirereel/relay/upstream_call.hpp"

#include <fmt/format.h>
#include <utility>

namespace sapphirereel::relay {

upstream_call::upstream_call(
    upstream_pool& pool,
    asio::ip::tcp::endpoint const& to,
    std::string bytes,
    call_options const& options,
    handlers callbacks)
    : pool_(&pool)
    , to_(to)
    , bytes_(std::move(bytes))
    , options_(options)
    , handlers_(std::move(callbacks))
    , parser_(options.is_head_request)
    , buffers_(pool.buffers_)
{}

upstream_call::~upstream_call()
{
    release_buffer();
}

auto upstream_call::charge_buffer(std::size_t bytes) -> bool
{
    if (options_.max_body_bytes == unlimited_body)
    {
        return true;
    }
    if (!buffers_->charge(bytes, buffered_bytes_))
    {
        return false;
    }
    buffered_bytes_ += bytes;
    return true;
}

auto upstream_call::release_buffer() -> void
{
    buffers_->release(std::exchange(buffered_bytes_, 0));
}

auto upstream_call::begin(pooled_connection transport) -> void
{
    connection_ = std::move(transport);
    auto const self = shared_from_this();
    connection_.transport->set_handlers(
        {[self](std::string_view bytes) { self->receive(bytes); },
         [self](connection_end how) { self->end(how); },
         {},
         true});
    connection_.transport->read();
    connection_.transport->send(std::move(bytes_));
}

auto upstream_call::receive(std::string_view bytes) -> void
{
    auto unread = std::string{};
    auto next = bytes;
    do
    {
        auto const fed = parser_.feed(next);
        if (!fed)
        {
            fail_response(fed.error());
            return;
        }
        has_partial_head_ = !parser_.head();
        take_head();
        take_body();
        if (finished_ || !parser_.complete())
        {
            return;
        }
        if (!is_discarding_)
        {
            complete();
            return;
        }
        unread = parser_.take_excess();
        next = unread;
        parser_ = http::response_parser{options_.is_head_request};
        is_discarding_ = false;
    } while (!unread.empty());
}

auto upstream_call::take_head() -> void
{
    if (head_delivered_ || is_discarding_ || !parser_.head())
    {
        return;
    }
    auto const& head = *parser_.head();
    auto const use =
        handlers_.examine ? handlers_.examine(head) : response_use::deliver;
    if (finished_ || refuse_stated_length(head, use))
    {
        return;
    }
    switch (use)
    {
    case response_use::deliver:
        head_delivered_ = true;
        if (handlers_.answered)
        {
            handlers_.answered(head);
        }
        return;
    case response_use::discard:
        begin_discarding();
        return;
    case response_use::fail:
        fail_response("the answer is not known to be about this request");
        return;
    }
}

auto upstream_call::refuse_stated_length(
    http::response_head const& head, response_use use) -> bool
{
    auto const limit = use == response_use::discard
                           ? max_discarded_bytes - discarded_bytes_
                           : options_.max_body_bytes;
    if (use == response_use::fail || head.stated_length.value_or(0) <= limit)
    {
        return false;
    }
    fail_response(fmt::format(
        "the answer states a body of {} bytes, the limit is {}",
        *head.stated_length, limit));
    return true;
}

auto upstream_call::begin_discarding() -> void
{
    is_discarding_ = true;
    if (++discarded_responses_ > max_discarded_responses)
    {
        fail_response("too many answers are about other requests");
    }
}

auto upstream_call::take_body() -> void
{
    if (finished_ || !(head_delivered_ || is_discarding_))
    {
        return;
    }
    auto const body = parser_.take_body();
    if (is_discarding_)
    {
        discarded_bytes_ += body.size();
        if (discarded_bytes_ > max_discarded_bytes)
        {
            fail_response("the answer to another request is too long");
        }
        return;
    }
    body_bytes_ += body.size();
    if (body_bytes_ > options_.max_body_bytes)
    {
        fail_response("the body of the answer is too long");
        return;
    }
    if (!charge_buffer(body.size()))
    {
        fail_response("the bodies of all answers together are too long");
        return;
    }
    if (!body.empty() && handlers_.body)
    {
        handlers_.body(body);
    }
}

auto upstream_call::end(connection_end how) -> void
{
    if (finished_)
    {
        return;
    }
    if (how == connection_end::closed && head_delivered_ &&
        parser_.ends_with_connection())
    {
        parser_.feed_end();
        if (parser_.complete())
        {
            complete();
            return;
        }
    }
    auto const is_closed =
        how == connection_end::closed || how == connection_end::closed_early;
    fail(
        {head_delivered_ ? call_stage::answering : call_stage::waiting,
         is_closed ? "the connection was closed" : "the connection broke",
         how != connection_end::broken, has_partial_head_ || is_closed});
}

auto upstream_call::may_share_connection() const -> bool
{
    return !options_.is_head_request && !options_.has_own_connection;
}

auto upstream_call::is_connection_reusable() const -> bool
{
    auto const& held = *connection_.transport;
    return may_share_connection() && parser_.head()->keep_alive &&
           discarded_responses_ == 0 && !parser_.has_excess() &&
           !parser_.ends_with_connection() && held.is_open() &&
           held.unsent_bytes() == 0 && !connection_.failed.is_full();
}

auto upstream_call::close_connection() -> void
{
    auto const held = std::exchange(connection_.transport, nullptr);
    if (held)
    {
        held->close();
    }
}

auto upstream_call::complete() -> void
{
    finished_ = true;
    release_buffer();
    auto const& head = *parser_.head();
    auto const is_success = head.status / 100 == 2;
    auto const is_result =
        is_success && (!handlers_.is_result || handlers_.is_result());
    if (!is_result && !options_.request_id.empty())
    {
        connection_.failed.add(options_.request_id);
    }
    if (is_connection_reusable())
    {
        pool_->return_connection(to_, std::move(connection_), head);
        connection_.transport = nullptr;
    }
    else
    {
        close_connection();
    }
    auto const callbacks = std::exchange(handlers_, {});
    if (callbacks.completed)
    {
        callbacks.completed();
    }
}

auto upstream_call::fail_response(std::string const& why) -> void
{
    fail({call_stage::answering, why, false, true});
}

auto upstream_call::fail(call_failure const& why) -> void
{
    if (std::exchange(finished_, true))
    {
        return;
    }
    release_buffer();
    close_connection();
    auto const callbacks = std::exchange(handlers_, {});
    if (callbacks.failed)
    {
        callbacks.failed(why);
    }
}

auto upstream_call::cancel() -> void
{
    finished_ = true;
    release_buffer();
    // Kept until this function returns, because the handlers may own its
    // caller.
    auto const callbacks = std::exchange(handlers_, {});
    close_connection();
}

auto upstream_call::pause() -> void
{
    if (connection_.transport)
    {
        connection_.transport->pause();
    }
}

auto upstream_call::resume() -> void
{
    if (connection_.transport)
    {
        connection_.transport->read();
    }
}

} // namespace sapphirereel::relay
