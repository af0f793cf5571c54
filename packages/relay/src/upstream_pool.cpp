#include "sapphirereel/relay/upstream_call.hpp"

#include "sapphirereel/telemetry/clocks.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <charconv>
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
