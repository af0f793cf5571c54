#include "sapphirereel/relay/upstream_call.hpp"

#include "sapphirereel/telemetry/clocks.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Maximum time that a connection is kept idle.
constexpr auto max_idle_time = duration{std::chrono::seconds{10}};

/// Time before the other side's idle limit from which a connection is no longer
/// used, so that a request does not cross the other side's close.
constexpr auto idle_margin = duration{std::chrono::milliseconds{600}};

/// Maximum number of idle connections per address.
constexpr auto max_idle_connections = std::size_t{16};

/// Idle limit from a response's Keep-Alive header, less `idle_margin`; the
/// maximum if there is none.
auto keep_alive_limit(http::response_head const& head) -> duration
{
    auto const stated = http::find(head.fields, "keep-alive");
    if (!stated)
    {
        return max_idle_time;
    }
    auto const at = stated->find("timeout=");
    if (at == std::string_view::npos)
    {
        return max_idle_time;
    }
    auto const digits =
        stated->substr(at + std::string_view{"timeout="}.size());
    auto seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    auto const limit = duration{std::chrono::seconds{seconds}} - idle_margin;
    return std::clamp(limit, duration{0}, max_idle_time);
}

} // namespace

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
         {}});
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
    fail(
        {head_delivered_ ? call_stage::answering : call_stage::waiting,
         how == connection_end::closed ? "the connection was closed"
                                       : "the connection broke",
         how != connection_end::broken,
         has_partial_head_ || how == connection_end::closed});
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

upstream_pool::upstream_pool(asio::io_context& loop)
    : loop_(loop)
    , connector_([&loop](
                     asio::ip::tcp::endpoint const& to,
                     duration limit,
                     connection::connect_handler done) {
        connection::connect(loop, to, limit, std::move(done));
    })
{}

auto upstream_pool::set_buffer_limit(std::size_t bytes) -> void
{
    buffers_->set_limit(bytes);
}

auto upstream_pool::set_connector(connector connect) -> void
{
    connector_ = std::move(connect);
}

auto upstream_pool::connect(
    asio::ip::tcp::endpoint const& to,
    duration limit,
    connection::connect_handler done) -> void
{
    ++opened_;
    connector_(to, limit, std::move(done));
}

auto upstream_pool::start(
    asio::ip::tcp::endpoint const& to,
    std::string bytes,
    call_options const& options,
    upstream_call::handlers callbacks) -> std::shared_ptr<upstream_call>
{
    auto call = std::shared_ptr<upstream_call>{new upstream_call{
        *this, to, std::move(bytes), options, std::move(callbacks)}};
    auto held =
        call->may_share_connection() ? take_idle(to, options) : std::nullopt;
    if (held)
    {
        call->is_on_kept_connection_ = true;
        // Posted to the event loop, so that no handler runs before the caller
        // holds the call.
        asio::post(loop_, [call, held = *held] {
            if (call->finished_)
            {
                held.transport->close();
                return;
            }
            call->begin(held);
        });
        return call;
    }
    connect(
        to, options.connect_timeout,
        [call, number = opened_ + 1](
            std::shared_ptr<connection> made, std::error_code error) {
            if (call->finished_)
            {
                if (made)
                {
                    made->close();
                }
                return;
            }
            if (error)
            {
                call->fail(
                    {call_stage::connecting, error.message(), false, false,
                     error == asio::error::connection_refused});
                return;
            }
            call->begin({std::move(made), number});
        });
    return call;
}

auto upstream_pool::is_usable(
    idle_connection const& each, duration max_idle, time_point now) -> bool
{
    auto const idle = now - each.since;
    return each.held.transport->is_open() && idle <= max_idle &&
           idle <= each.limit && !each.held.transport->has_input();
}

auto upstream_pool::take_idle(
    asio::ip::tcp::endpoint const& to, call_options const& options)
    -> std::optional<pooled_connection>
{
    auto const found = idle_.find(to);
    if (found == idle_.end())
    {
        return std::nullopt;
    }
    auto& waiting = found->second;
    auto const now = telemetry::monotonic_now();
    // The most recently used one is the least likely to have been dropped.
    auto at = waiting.end();
    while (at != waiting.begin())
    {
        --at;
        if (!is_usable(*at, options.max_idle, now))
        {
            at->held.transport->close();
            at = waiting.erase(at);
            continue;
        }
        if (!at->held.failed.contains(options.request_id))
        {
            auto taken = std::move(at->held);
            waiting.erase(at);
            return taken;
        }
    }
    return std::nullopt;
}

auto upstream_pool::return_connection(
    asio::ip::tcp::endpoint const& to,
    pooled_connection held,
    http::response_head const& head) -> void
{
    auto& waiting = idle_[to];
    if (waiting.size() >= max_idle_connections)
    {
        held.transport->close();
        return;
    }
    // Bytes that arrive on an idle connection belong to no request, so the
    // connection is closed.
    auto const weak = std::weak_ptr<connection>{held.transport};
    held.transport->set_handlers(
        {[weak](std::string_view) {
             if (auto const open = weak.lock())
             {
                 open->close();
             }
         },
         [](connection_end) {},
         {}});
    waiting.push_back(
        {std::move(held), telemetry::monotonic_now(), keep_alive_limit(head)});
}

auto upstream_pool::close_idle(asio::ip::tcp::endpoint const& to) -> void
{
    auto const found = idle_.find(to);
    if (found == idle_.end())
    {
        return;
    }
    for (auto const& each : found->second)
    {
        each.held.transport->close();
    }
    idle_.erase(found);
}

auto upstream_pool::expire(time_point now) -> void
{
    for (auto& [to, waiting] : idle_)
    {
        std::erase_if(waiting, [&](idle_connection const& each) {
            auto const done = !each.held.transport->is_open() ||
                              now - each.since > each.limit;
            if (done)
            {
                each.held.transport->close();
            }
            return done;
        });
    }
}

} // namespace sapphirereel::relay
