#include "sapphirereel/relay/caller_intake.hpp"

#include "sapphirereel/telemetry/clocks.hpp"

#include <utility>

namespace sapphirereel::relay {
namespace {

constexpr auto service_unavailable = 503;

} // namespace

caller_intake::caller_intake(
    intake_limits const& limits, process_log& log, relay_metrics& metrics)
    : log_(log)
    , metrics_(metrics)
{
    if (limits.memory_bytes > 0)
    {
        account_->set_limit(static_cast<std::size_t>(
            limits.memory_bytes * intake_share_of_memory));
    }
    sessions_.set_limit(max_sessions_for(limits.descriptors));
}

auto caller_intake::accept(
    asio::ip::tcp::socket socket,
    caller_session::limits_source limits,
    caller_session::request_handler on_request)
    -> std::shared_ptr<caller_session>
{
    auto session = caller_session::start(
        std::move(socket), std::move(limits), std::move(on_request), account_);
    session->on_rejected([this](int status) {
        record_rejected(status, telemetry::monotonic_now());
    });
    session->set_room_maker(
        [this](std::size_t wanted) { return sessions_.end_largest(wanted); });
    if (sessions_.add(session))
    {
        metrics_.add(relay_counter::sessions_ended);
    }
    return session;
}

auto caller_intake::remove_closed() -> void
{
    sessions_.remove_closed();
}

auto caller_intake::open_sessions() const
    -> std::vector<std::shared_ptr<caller_session>>
{
    return sessions_.open_sessions();
}

auto caller_intake::record_rejected(int status, time_point now) -> void
{
    metrics_.add(relay_counter::arrivals_rejected);
    if (status == service_unavailable)
    {
        metrics_.add(relay_counter::arrivals_without_room);
    }
    ++unlogged_rejections_;
    if (logged_at_ && now - *logged_at_ < rejection_log_interval)
    {
        return;
    }
    logged_at_ = now;
    log_.info(
        "callers", "refused requests before they had arrived whole",
        {{"last_status", status},
         {"requests", std::exchange(unlogged_rejections_, 0)},
         {"held_bytes", account_->bytes()}});
}

} // namespace sapphirereel::relay
