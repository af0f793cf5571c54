#include "sapphirereel/relay/peer_gossip.hpp"

#include "sapphirereel/relay/control_intervals.hpp"
#include "sapphirereel/relay/crash_memory_message.hpp"
#include "sapphirereel/telemetry/clocks.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// One in so many periodic reports is also sent to unresponsive addresses.
constexpr auto reports_per_probe = 4;

/// Reports of a daemon that has just started upon which it is told of crashes:
/// datagrams are lost now and then.
constexpr auto reports_answered_with_memory = 3U;

/// Mean number of daemons that tell it each time, if there are more.
constexpr auto tellers_of_memory = 6.0;

} // namespace

peer_gossip::peer_gossip(
    asio::io_context& loop,
    relay_settings const& settings,
    std::uint64_t incarnation,
    process_log& log,
    relay_metrics& metrics,
    describer describe,
    zone_describer describe_zone,
    report_handler on_report)
    : loop_(loop)
    , own_(settings.peers)
    , zone_(settings.zone)
    , seeds_(settings.seeds)
    , incarnation_(incarnation)
    , log_(log)
    , metrics_(metrics)
    , describe_(std::move(describe))
    , describe_zone_(std::move(describe_zone))
    , on_report_(std::move(on_report))
    , peers_(
          settings.peers.ip,
          settings.seeds,
          settings.zone,
          incarnation,
          silence_limit(settings.shortest_bound()))
    , random_(incarnation)
    , report_timer_(loop)
{}

auto peer_gossip::open() -> tl::expected<void, std::string>
{
    auto opened = peer_socket::open(
        loop_, own_.ip, own_.port,
        [this](std::string_view bytes) { receive(bytes); });
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    datagrams_ = std::move(*opened);
    return {};
}

auto peer_gossip::make_report() -> peer_report
{
    auto report = describe_();
    report.ip = own_.ip;
    report.incarnation = incarnation_;
    report.sequence = ++sequence_;
    return report;
}

auto peer_gossip::send(std::vector<std::string> const& to, peer_report report)
    -> void
{
    auto encoded = std::map<std::uint32_t, std::string>{};
    for (auto const& ip : to)
    {
        report.version = version_for(ip);
        auto& bytes = encoded[report.version];
        if (bytes.empty())
        {
            bytes = write_peer_report(report);
        }
        metrics_.add(relay_counter::peer_reports_sent);
        metrics_.add(relay_counter::peer_bytes_sent, bytes.size());
        datagrams_->send(ip, bytes);
    }
}

/// A daemon that has never reported may run either of the last two versions, so
/// it gets them in turn. One that reported in an earlier version may have taken
/// this one to know no other; it gets the present version now and then.
auto peer_gossip::version_for(std::string const& ip) const -> std::uint32_t
{
    auto const turn = periodic_reports_ / reports_per_probe;
    auto const heard = peers_.version_of(ip);
    if (!heard)
    {
        return turn % 2 == 0 ? report_version : previous_report_version;
    }
    auto const is_probe = periodic_reports_ % reports_per_probe == 1;
    return is_probe ? report_version : *heard;
}

auto peer_gossip::send_report(report_scope scope) -> void
{
    auto const now = telemetry::monotonic_now();
    auto report = make_report();
    if (scope == report_scope::unresponsive)
    {
        report.known_addresses = peers_.known_addresses();
    }
    send(
        scope == report_scope::zone
            ? peers_.targets_in(zone_, now)
            : peers_.targets(now, scope == report_scope::unresponsive),
        report);
    if (scope == report_scope::all)
    {
        report.load.clear();
        send(peers_.contacts(now), std::move(report));
    }
}

/// Asks a daemon of each other zone for its report and that zone's load.
auto peer_gossip::ask_contacts(time_point now) -> void
{
    auto const contacts = peers_.contacts(now);
    if (contacts.empty())
    {
        return;
    }
    auto report = make_report();
    report.load.clear();
    report.wants_reply = true;
    send(contacts, std::move(report));
}

/// Asks daemons whose report is overdue for one.
auto peer_gossip::ask_overdue(time_point now) -> void
{
    auto const overdue = peers_.take_overdue(now);
    if (overdue.empty())
    {
        return;
    }
    auto report = make_report();
    report.wants_reply = true;
    send(overdue, std::move(report));
}

auto peer_gossip::is_in_mesh(peer_report const& report) const -> bool
{
    return !peers_.is_zoned() || report.zone == zone_;
}

auto peer_gossip::send_reply(peer_report const& asked) -> void
{
    auto report = make_report();
    report.load.clear();
    report.zone_load = describe_zone_();
    if (++replies_ % reports_per_probe == 0)
    {
        report.known_addresses = peers_.known_addresses();
    }
    send({asked.ip}, std::move(report));
}

auto peer_gossip::schedule_report(report_scope scope) -> void
{
    scheduled_scope_ = std::max(scheduled_scope_, scope);
    if (std::exchange(is_scheduled_, true))
    {
        return;
    }
    report_timer_.expires_after(report_delay(peers_.mesh_size()));
    report_timer_.async_wait([this](std::error_code error) {
        is_scheduled_ = false;
        if (!error)
        {
            send_report(std::exchange(scheduled_scope_, report_scope::zone));
        }
    });
}

auto peer_gossip::report_if_due(time_point now) -> bool
{
    if (now >= next_contact_at_)
    {
        next_contact_at_ = now + contact_interval;
        ask_contacts(now);
    }
    ask_overdue(now);
    if (now < next_report_at_)
    {
        return false;
    }
    next_report_at_ = now + report_interval(peers_.mesh_size());
    log_liveness_changes(now);
    send_report(
        periodic_reports_++ % reports_per_probe == 0
            ? report_scope::unresponsive
            : report_scope::mesh);
    return true;
}

auto peer_gossip::set_seeds(std::vector<std::string> const& seeds) -> void
{
    seeds_ = seeds;
    peers_.add(seeds);
}

auto peer_gossip::is_seed() const -> bool
{
    return std::find(seeds_.begin(), seeds_.end(), own_.ip) != seeds_.end();
}

/// Sends all known addresses to a daemon after its first report, so that it
/// need not wait until gossip spreads them.
auto peer_gossip::send_known_addresses(std::string const& ip) -> void
{
    auto report = make_report();
    report.known_addresses = peers_.all_known_addresses();
    send({ip}, std::move(report));
}

auto peer_gossip::set_permit_handlers(
    std::function<permit_response(permit_request const&, permit_shares const&)>
        issue,
    std::function<void(permit_response const&)> responded) -> void
{
    issue_permit_ = std::move(issue);
    on_permit_response_ = std::move(responded);
}

auto peer_gossip::set_memory_handlers(
    std::function<crash_memory(time_point)> recall,
    std::function<void(crash_memory const&, time_point)> learn) -> void
{
    recall_ = std::move(recall);
    learn_ = std::move(learn);
}

/// Whether the daemon that sent a report has just started, and is told of
/// crashes by this daemon.
auto peer_gossip::is_told_memory(peer_report const& report) -> bool
{
    auto const has_just_started =
        peers_.reports_since_start(report.ip) <= reports_answered_with_memory;
    if (!recall_ || !has_just_started || !is_in_mesh(report))
    {
        return false;
    }
    auto const share =
        tellers_of_memory / static_cast<double>(peers_.mesh_size());
    return std::bernoulli_distribution{std::min(1.0, share)}(random_);
}

auto peer_gossip::tell_memory(std::string const& ip, time_point now) -> void
{
    auto const memory = recall_(now);
    if (memory.is_empty())
    {
        return;
    }
    auto const bytes = write_crash_memory(memory);
    metrics_.add(relay_counter::crash_memories_told);
    metrics_.add(relay_counter::peer_bytes_sent, bytes.size());
    log_.info(
        "crashes", "told a daemon that has started",
        {{"peer", ip},
         {"crashes", memory.crashes.size()},
         {"clearances", memory.clearances.size()},
         {"bytes", bytes.size()}});
    datagrams_->send(ip, bytes);
}

auto peer_gossip::request_permit(permit_request asked) -> void
{
    auto const now = telemetry::monotonic_now();
    auto const home = peers_.permit_home_of(asked.replica, now);
    metrics_.add(relay_counter::permits_asked);
    if (home.ip == own_.ip)
    {
        on_permit_response_(
            issue_permit_(asked, permit_shares_for(asked.replica, now)));
        return;
    }
    asked.ip = own_.ip;
    datagrams_->send(home.ip, write_permit_message(asked));
}

auto peer_gossip::permit_shares_for(
    endpoint_id const& replica, time_point now) const -> permit_shares
{
    return {peers_.permit_share(now), peers_.cold_permit_share(replica, now)};
}

auto peer_gossip::receive_permit_message(permit_message const& message) -> void
{
    if (auto const* const asked = std::get_if<permit_request>(&message))
    {
        auto const now = telemetry::monotonic_now();
        auto const response =
            issue_permit_(*asked, permit_shares_for(asked->replica, now));
        datagrams_->send(asked->ip, write_permit_message(response));
        return;
    }
    on_permit_response_(std::get<permit_response>(message));
}

auto peer_gossip::receive(std::string_view bytes) -> void
{
    if (auto const message = read_permit_message(bytes))
    {
        receive_permit_message(*message);
        return;
    }
    auto const report = read_peer_report(bytes);
    auto const now = telemetry::monotonic_now();
    if (!report)
    {
        auto const memory = read_crash_memory(bytes);
        if (memory && learn_)
        {
            learn_(*memory, now);
        }
        return;
    }
    auto const is_first_report = !peers_.has_report_from(report->ip);
    auto const mesh_before = peers_.mesh_size();
    auto const is_newer = peers_.apply_report(*report, now);
    if (peers_.mesh_size() > mesh_before)
    {
        // Daemons that start together learn of each other here.
        schedule_report(report_scope::unresponsive);
    }
    if (!is_newer)
    {
        return;
    }
    if (is_first_report && is_seed())
    {
        send_known_addresses(report->ip);
    }
    if (is_told_memory(*report))
    {
        tell_memory(report->ip, now);
    }
    if (report->wants_reply && is_in_mesh(*report))
    {
        send({report->ip}, make_report());
    }
    else if (report->wants_reply)
    {
        send_reply(*report);
    }
    metrics_.add(relay_counter::peer_reports_received);
    on_report_(*report, now);
}

/// Logs which peers have become alive or unresponsive.
auto peer_gossip::log_liveness_changes(time_point now) -> void
{
    auto alive_now = std::set<std::string>{};
    for (auto const& ip : peers_.targets(now, false))
    {
        alive_now.insert(ip);
        if (!alive_.contains(ip))
        {
            log_.info("peers", "heard", {{"peer", ip}});
        }
    }
    for (auto const& ip : alive_)
    {
        if (!alive_now.contains(ip))
        {
            log_.warning(
                "peers", "silent",
                {{"peer", ip}, {"limit", peer_timeout(peers_.mesh_size())}});
        }
    }
    alive_ = std::move(alive_now);
}

} // namespace sapphirereel::relay
