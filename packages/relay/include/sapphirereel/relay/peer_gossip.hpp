/// \file
/// Defines the gossip between daemons: each sends reports periodically and
/// after changes, and tracks which peers are alive by the reports it receives.
#ifndef SAPPHIREREEL_RELAY_PEER_GOSSIP_HPP
#define SAPPHIREREEL_RELAY_PEER_GOSSIP_HPP

#include "sapphirereel/core/poison_request.hpp"
#include "sapphirereel/relay/peer_socket.hpp"
#include "sapphirereel/relay/peer_table.hpp"
#include "sapphirereel/relay/process_log.hpp"
#include "sapphirereel/relay/relay_metrics.hpp"
#include "sapphirereel/relay/relay_settings.hpp"
#include "sapphirereel/relay/send_permit.hpp"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tl/expected.hpp>

namespace sapphirereel::relay {

/// The recipients of a report.
enum class report_scope
{
    /// Daemons of this zone that are alive; they prefer the same replicas.
    zone,
    /// All daemons that are alive and that this one reports to: those of its
    /// zone only in a large fleet.
    mesh,
    /// In addition, this daemon's contacts in the other zones of a large fleet.
    all,
    /// In addition, known addresses at which no daemon responds.
    unresponsive
};

/// Sends and receives reports. Must outlive the loop's run.
class peer_gossip
{
public:
    /// Makes the report of this daemon; its address, incarnation and sequence
    /// number are filled in by the caller.
    using describer = std::function<peer_report()>;
    /// Sums up the load that all daemons of this zone have placed.
    using zone_describer = std::function<load_report()>;
    /// Called with each received report that is newer than the peer's last.
    using report_handler = std::function<void(peer_report const&, time_point)>;

    peer_gossip(
        asio::io_context& loop,
        relay_settings const& settings,
        std::uint64_t incarnation,
        process_log& log,
        relay_metrics& metrics,
        describer describe,
        zone_describer describe_zone,
        report_handler on_report);

    auto open() -> tl::expected<void, std::string>;

    /// Sends the periodic report if it is due, and asks the contacts in other
    /// zones. Returns whether the report was due.
    auto report_if_due(time_point now) -> bool;

    /// Schedules a report after a short delay, so that further changes within
    /// it go into the same report.
    auto schedule_report(report_scope scope) -> void;

    auto send_report(report_scope scope) -> void;

    /// Sets the handler of requests for permits, by this daemon and by others,
    /// and that of the responses to this daemon's own requests.
    auto set_permit_handlers(
        std::function<
            permit_response(permit_request const&, permit_shares const&)> issue,
        std::function<void(permit_response const&)> responded) -> void;

    /// Sets what this daemon remembers of crashes, which is told to daemons
    /// that have just started, and the handler of what others remember.
    auto set_memory_handlers(
        std::function<crash_memory(time_point)> recall,
        std::function<void(crash_memory const&, time_point)> learn) -> void;

    /// Sends a request for a permit to the replica's home. If that is this
    /// daemon, the response arrives at once.
    auto request_permit(permit_request asked) -> void;

    /// Adds addresses at which daemons may run.
    auto set_seeds(std::vector<std::string> const& seeds) -> void;

    [[nodiscard]] auto alive(time_point now) const -> std::vector<peer_report>
    {
        return peers_.alive(now);
    }

    /// Share of the known daemons that this one hears.
    [[nodiscard]] auto reachable_share(time_point now) const -> double
    {
        return peers_.reachable_share(now);
    }

    /// Upper bound on the number of running daemons, this one included.
    [[nodiscard]] auto max_daemons() const -> std::size_t
    {
        return peers_.max_daemons();
    }

    /// Whether daemons report to their zone only.
    [[nodiscard]] auto is_zoned() const -> bool
    {
        return peers_.is_zoned();
    }

private:
    auto make_report() -> peer_report;
    auto receive(std::string_view bytes) -> void;
    auto receive_permit_message(permit_message const& message) -> void;
    [[nodiscard]] auto permit_shares_for(
        endpoint_id const& replica, time_point now) const -> permit_shares;
    [[nodiscard]] auto is_seed() const -> bool;
    auto send_known_addresses(std::string const& ip) -> void;
    auto send_reply(peer_report const& asked) -> void;
    auto tell_memory(std::string const& ip, time_point now) -> void;
    [[nodiscard]] auto is_told_memory(peer_report const& report) -> bool;
    auto ask_contacts(time_point now) -> void;
    auto ask_overdue(time_point now) -> void;
    /// Whether a daemon's reports count one by one, not as a sum of its zone.
    [[nodiscard]] auto is_in_mesh(peer_report const& report) const -> bool;
    /// Sends a report to each address, in the encoding that its daemon reads.
    auto send(std::vector<std::string> const& to, peer_report report) -> void;
    /// Encoding in which a report to an address is sent.
    [[nodiscard]] auto version_for(std::string const& ip) const
        -> std::uint32_t;
    auto log_liveness_changes(time_point now) -> void;

    asio::io_context& loop_;
    listen_address own_;
    zone_name zone_;
    std::vector<std::string> seeds_;
    std::uint64_t incarnation_;
    process_log& log_;
    relay_metrics& metrics_;
    describer describe_;
    zone_describer describe_zone_;
    report_handler on_report_;
    std::function<permit_response(permit_request const&, permit_shares const&)>
        issue_permit_;
    std::function<void(permit_response const&)> on_permit_response_;
    std::function<crash_memory(time_point)> recall_;
    std::function<void(crash_memory const&, time_point)> learn_;
    peer_table peers_;
    std::mt19937_64 random_;
    std::unique_ptr<peer_socket> datagrams_;
    asio::steady_timer report_timer_;
    std::set<std::string> alive_;
    time_point next_report_at_{};
    time_point next_contact_at_{};
    std::uint64_t sequence_ = 0;
    std::uint64_t periodic_reports_ = 0;
    std::uint64_t replies_ = 0;
    report_scope scheduled_scope_ = report_scope::zone;
    bool is_scheduled_ = false;
};

} // namespace sapphirereel::relay

#endif
