/// \file
/// Defines replica_homes, the ledgers of the replicas for which a daemon is the
/// home: it answers reservations, tracks the streams and polls the engines'
/// load.
#ifndef SAPPHIREREEL_COMPOSITION_REPLICA_HOMES_HPP
#define SAPPHIREREEL_COMPOSITION_REPLICA_HOMES_HPP

#include "sapphirereel/composition/action.hpp"
#include "sapphirereel/composition/cluster_view.hpp"
#include "sapphirereel/core/length_estimate.hpp"
#include "sapphirereel/core/replica_ledger.hpp"

#include <map>
#include <optional>
#include <vector>

namespace sapphirereel {

/// Settings of a daemon's replica ledgers.
struct home_settings
{
    ledger_settings ledger;
    length_settings lengths;
    /// Time between two load polls of a replica.
    duration load_interval = std::chrono::seconds{1};
    auto operator<=>(home_settings const&) const = default;
};

/// A message to another daemon, addressed by daemon id.
struct daemon_message
{
    daemon_id to;
    peer_message message;
    auto operator<=>(daemon_message const&) const = default;
};
using daemon_messages = std::vector<daemon_message>;

/// Summary of one replica's ledger.
struct replica_status
{
    endpoint_id replica;
    ledger_summary summary;
    std::optional<load_report> report;
    auto operator<=>(replica_status const&) const = default;
};

/// The ledgers of one daemon. Reservations for a replica with another home are
/// answered as well: while daemons disagree about which members are live, each
/// ledger accounts for streams it doesn't track by the load that the engine
/// reports.
class replica_homes
{
public:
    static auto create(home_settings const& settings) -> result<replica_homes>;

    auto on(
        daemon_id const& from, reserve_message const& message, time_point now)
        -> daemon_messages;
    auto on(
        daemon_id const& from, release_message const& message, time_point now)
        -> daemon_messages;
    auto on(
        daemon_id const& from, progress_message const& message, time_point now)
        -> daemon_messages;
    auto on(
        daemon_id const& from, announce_message const& message, time_point now)
        -> daemon_messages;

    /// Applies an engine's load report.
    auto record_load(load_arrived const& arrived, time_point now)
        -> daemon_messages;

    /// Applies a new view: ledgers of replicas that moved to another home are
    /// dropped once they are empty, and leaving replicas refuse new streams.
    auto adopt(cluster_view const& view, configuration const& config) -> void;

    /// Returns the replicas whose load is due to be polled.
    auto due_polls(time_point now) -> std::vector<endpoint_id>;

    /// Advances timeouts; queued offers may be granted.
    auto tick(time_point now) -> daemon_messages;

    [[nodiscard]] auto status(time_point now) const
        -> std::vector<replica_status>;

private:
    struct ledger_record
    {
        replica_ledger ledger;
        /// Whether this daemon is the replica's home.
        bool is_home = false;
        time_point next_poll{};
        std::optional<load_report> report;
    };

    replica_homes(home_settings const& settings, length_estimator lengths);
    auto record_for(endpoint_id const& replica) -> ledger_record&;
    auto grants(
        endpoint_id const& replica, ledger_record& target, time_point now)
        -> daemon_messages;

    home_settings settings_;
    length_estimator lengths_;
    share_weights weights_;
    std::map<endpoint_id, ledger_record> ledgers_;
};

} // namespace sapphirereel

#endif
