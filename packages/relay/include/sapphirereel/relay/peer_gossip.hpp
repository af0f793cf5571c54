/// \file
/// Defines how a daemon and its peers keep each other informed: when it
/// reports, to whom, and who is alive.
#ifndef SAPPHIREREEL_RELAY_PEER_GOSSIP_HPP
#define SAPPHIREREEL_RELAY_PEER_GOSSIP_HPP

#include "sapphirereel/relay/peer_socket.hpp"
#include "sapphirereel/relay/peer_table.hpp"
#include "sapphirereel/relay/process_log.hpp"
#include "sapphirereel/relay/relay_metrics.hpp"
#include "sapphirereel/relay/relay_settings.hpp"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <tl/expected.hpp>

namespace sapphirereel::relay {

/// Who is told.
enum class report_scope
{
    /// Daemons of this zone, which place work on the same replicas first.
    zone,
    /// All daemons that are alive.
    all,
    /// Also those that were heard of and don't answer.
    unresponsive
};

/// Sends and receives reports. Must outlive the loop's run.
class peer_gossip
{
public:
    /// What a report says of this daemon; address, incarnation and sequence
    /// are filled in.
    using describer = std::function<peer_report()>;
    /// Told of each report that was not overtaken.
    using report_handler = std::function<void(peer_report const&, time_point)>;

    peer_gossip(
        asio::io_context& loop,
        relay_settings const& settings,
        std::uint64_t incarnation,
        process_log& log,
        relay_metrics& metrics,
        describer describe,
        report_handler told);

    auto open() -> tl::expected<void, std::string>;

    /// Sends the regular report where it is due; true if it was.
    auto report_if_due(time_point now) -> bool;

    /// Reports a change soon, with others that come until then.
    auto schedule_report(report_scope scope) -> void;

    auto send_report(report_scope scope) -> void;

    /// Adds addresses at which daemons may be found.
    auto set_seeds(std::vector<std::string> const& seeds) -> void;

    [[nodiscard]] auto alive(time_point now) const -> std::vector<peer_report>
    {
        return peers_.alive(now);
    }

    /// Largest number of daemons, this one included, that may be running.
    [[nodiscard]] auto max_daemons() const -> std::size_t
    {
        return peers_.max_daemons();
    }

private:
    auto make_report() -> peer_report;
    auto apply_report(std::string_view bytes) -> void;
    [[nodiscard]] auto is_seed() const -> bool;
    auto send_known_addresses(std::string const& ip) -> void;
    auto send(std::string const& ip, std::string_view bytes) -> void;
    auto log_liveness_changes(time_point now) -> void;

    asio::io_context& loop_;
    listen_address own_;
    zone_name zone_;
    std::vector<std::string> seeds_;
    std::uint64_t incarnation_;
    process_log& log_;
    relay_metrics& metrics_;
    describer describe_;
    report_handler on_report_;
    peer_table peers_;
    std::unique_ptr<peer_socket> datagrams_;
    asio::steady_timer report_timer_;
    std::set<std::string> alive_;
    time_point next_report_at_{};
    std::uint64_t sequence_ = 0;
    std::uint64_t regular_reports_ = 0;
    report_scope scheduled_scope_ = report_scope::zone;
    bool is_scheduled_ = false;
};

} // namespace sapphirereel::relay

#endif
