#include "sapphirereel/relay/peer_desk.hpp"

#include "sapphirereel/relay/report_pace.hpp"
#include "sapphirereel/telemetry/clocks.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Every which regular report goes to silent daemons as well.
constexpr auto reports_to_silent = 4;

} // namespace

peer_desk::peer_desk(
    asio::io_context& loop,
    relay_settings const& settings,
    std::uint64_t incarnation,
    event_log& log,
    relay_metrics& metrics,
    describer describe,
    report_handler told)
    : loop_(loop)
    , own_(settings.peers)
    , zone_(settings.zone)
    , seeds_(settings.seeds)
    , incarnation_(incarnation)
    , log_(log)
    , metrics_(metrics)
    , describe_(std::move(describe))
    , told_(std::move(told))
    , peers_(settings.peers.ip, settings.seeds)
    , soon_(loop)
{}

auto peer_desk::open() -> tl::expected<void, std::string>
{
    auto opened = peer_socket::open(
        loop_, own_.ip, own_.port,
        [this](std::string_view bytes) { heard(bytes); });
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    datagrams_ = std::move(*opened);
    return {};
}

auto peer_desk::make_report() -> peer_report
{
    auto report = describe_();
    report.ip = own_.ip;
    report.incarnation = incarnation_;
    report.sequence = ++sequence_;
    return report;
}

auto peer_desk::send(std::string const& ip, std::string_view bytes) -> void
{
    metrics_.add(relay_counter::peer_reports_sent);
    datagrams_->send(ip, bytes);
}

auto peer_desk::report_now(report_scope scope) -> void
{
    auto const now = telemetry::monotonic_now();
    auto report = make_report();
    if (scope == report_scope::silent)
    {
        report.known = peers_.known();
    }
    auto const bytes = write_peer_report(report);
    auto const targets =
        scope == report_scope::zone
            ? peers_.targets_in(zone_, now)
            : peers_.targets(now, scope == report_scope::silent);
    for (auto const& ip : targets)
    {
        send(ip, bytes);
    }
}

auto peer_desk::report_shortly(report_scope scope) -> void
{
    due_scope_ = std::max(due_scope_, scope);
    if (std::exchange(is_due_, true))
    {
        return;
    }
    soon_.expires_after(report_delay(most_daemons()));
    soon_.async_wait([this](std::error_code error) {
        is_due_ = false;
        if (!error)
        {
            report_now(std::exchange(due_scope_, report_scope::zone));
        }
    });
}

auto peer_desk::report_regularly(time_point now) -> bool
{
    if (now < next_at_)
    {
        return false;
    }
    next_at_ = now + report_interval(most_daemons());
    log_who_is_alive(now);
    report_now(
        regular_reports_++ % reports_to_silent == 0 ? report_scope::silent
                                                    : report_scope::all);
    return true;
}

auto peer_desk::set_seeds(std::vector<std::string> const& seeds) -> void
{
    seeds_ = seeds;
    peers_.add(seeds);
}

auto peer_desk::is_seed() const -> bool
{
    return std::find(seeds_.begin(), seeds_.end(), own_.ip) != seeds_.end();
}

/// Tells a daemon that has just been heard of for the first time of all others,
/// so that it need not wait until they tell each other.
auto peer_desk::introduce_others_to(std::string const& ip) -> void
{
    auto report = make_report();
    report.known = peers_.all_known();
    send(ip, write_peer_report(report));
}

auto peer_desk::heard(std::string_view bytes) -> void
{
    auto const report = read_peer_report(bytes);
    auto const now = telemetry::monotonic_now();
    if (!report)
    {
        return;
    }
    auto const is_newcomer = !peers_.has_heard(report->ip);
    if (!peers_.heard(*report, now))
    {
        return;
    }
    if (is_newcomer && is_seed())
    {
        introduce_others_to(report->ip);
    }
    metrics_.add(relay_counter::peer_reports_received);
    told_(*report, now);
}

/// Logs who has fallen silent and who is heard again.
auto peer_desk::log_who_is_alive(time_point now) -> void
{
    auto heard = std::set<std::string>{};
    for (auto const& ip : peers_.targets(now, false))
    {
        heard.insert(ip);
        if (!alive_.contains(ip))
        {
            log_.info("peers", "heard", {{"peer", ip}});
        }
    }
    for (auto const& ip : alive_)
    {
        if (!heard.contains(ip))
        {
            log_.warning(
                "peers", "silent",
                {{"peer", ip}, {"limit", alive_limit(most_daemons())}});
        }
    }
    alive_ = std::move(heard);
}

} // namespace sapphirereel::relay
