/// \file
/// Defines configuration_sync, which keeps a daemon's copy of the configuration
/// in sync: it reads the log, appends operators' edits, republishes the state
/// before the log's retention ends, and catches up from peers while the log is
/// unavailable.
#ifndef SAPPHIREREEL_COMPOSITION_CONFIGURATION_SYNC_HPP
#define SAPPHIREREEL_COMPOSITION_CONFIGURATION_SYNC_HPP

#include "sapphirereel/composition/action.hpp"
#include "sapphirereel/composition/generation_coordinator.hpp"
#include "sapphirereel/core/configuration_log.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sapphirereel {

/// Settings of configuration_sync.
struct configuration_sync_settings
{
    /// Minimum time for which the log retains a record.
    duration retention = std::chrono::hours{1};
    /// Longest wait for an edit to be read back.
    duration edit_wait = std::chrono::seconds{8};
    /// Time between two queries to peers.
    duration query_interval = std::chrono::seconds{1};
    /// Time between two attempts to republish.
    duration snapshot_interval = std::chrono::seconds{10};
    auto operator<=>(configuration_sync_settings const&) const = default;
};

/// Append tokens of configuration records start here; those of claims are
/// lower.
inline constexpr auto first_configuration_token = std::uint64_t{1} << 62U;

/// One daemon's replica of the configuration, and the edits that wait to be
/// read back.
class configuration_sync
{
public:
    explicit configuration_sync(configuration_sync_settings const& settings);

    auto on(configuration_page const& page, time_point now)
        -> component_outputs;
    auto on(edit_proposed const& proposed, time_point now) -> component_outputs;
    auto on(append_result const& outcome, time_point now) -> component_outputs;
    auto on(
        daemon_id const& from, configuration_query const& query, time_point now)
        -> component_outputs;
    auto on(
        daemon_id const& from,
        configuration_snapshot const& snapshot,
        time_point now) -> component_outputs;

    /// Advances timeouts. `members` shows which configuration each daemon has;
    /// `rank` is this daemon's position among the live ones.
    auto tick(
        std::vector<member> const& members,
        std::size_t rank,
        wall_time wall_now,
        time_point now) -> component_outputs;

    /// Whether this daemon has read the log to its end, or caught up from a
    /// peer, since it started. Until then it cannot distinguish an unknown
    /// service from one whose record it has not read yet.
    [[nodiscard]] auto is_caught_up() const -> bool
    {
        return caught_up_;
    }

    [[nodiscard]] auto log() const -> configuration_log const&
    {
        return log_;
    }

private:
    struct open_edit
    {
        operator_query query;
        edit_id id;
        append_token token;
        time_point deadline;
    };

    auto decide_open_edits(component_outputs& outputs) -> void;
    auto query_peers(std::vector<member> const& members, time_point now)
        -> component_outputs;

    configuration_sync_settings settings_;
    configuration_log log_;
    std::vector<open_edit> edits_;
    std::uint64_t last_token_ = first_configuration_token;
    time_point next_query_{};
    time_point next_snapshot_{};
    bool page_seen_ = false;
    bool caught_up_ = false;
};

} // namespace sapphirereel

#endif
