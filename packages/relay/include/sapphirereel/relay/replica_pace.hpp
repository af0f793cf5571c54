/// \file
/// Defines the record of how long work takes on the machines of replicas, from
/// the figures in their responses and the reports of peers.
#ifndef SAPPHIREREEL_RELAY_REPLICA_PACE_HPP
#define SAPPHIREREEL_RELAY_REPLICA_PACE_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/relay/pace_entry.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sapphirereel::relay {

struct replica;

/// The lowest of the values that were added within one to two windows before
/// the last one. Kept until another value is added.
class recent_lowest
{
public:
    auto add(double value, time_point now) -> void;

    /// None before the first value.
    [[nodiscard]] auto value() const -> std::optional<double>;

    /// Whether a value was added within the last two windows.
    [[nodiscard]] auto is_recent(time_point now) const -> bool;

private:
    std::optional<double> current_;
    std::optional<double> previous_;
    time_point current_since_;
    time_point added_at_;
};

/// Pace of one start of a replica: the time that work takes on its machine, in
/// percent of the usual time.
struct known_pace
{
    /// Start time of the replica, Unix time in milliseconds; 0 if unknown.
    std::uint64_t started_at_ms = 0;
    /// Figures that this daemon read, and those together with peers' entries.
    recent_lowest own;
    recent_lowest all;
    /// The last figure that this daemon read, and when.
    std::optional<double> last;
    time_point last_at;
    /// When this daemon read a figure that was news to the peers.
    std::optional<time_point> news_at;

    /// The lowest pace stated recently. Figures are higher while a machine is
    /// slow for a short time.
    [[nodiscard]] auto usual() const -> double;

    /// Whether the machine is in a slow period by a figure that is recent.
    [[nodiscard]] auto is_slow(time_point now) const -> bool;
};

/// Paces of all replicas, by this daemon's and its peers' responses.
class replica_pace
{
public:
    /// Records a figure of a response, in percent. Returns false, and records
    /// nothing, if it is out of bounds. A figure of an earlier start than the
    /// known one is ignored.
    auto record_figure(replica const& of, double pace, time_point now) -> bool;

    /// Applies a peer's entries. Those of starts that are not listed, or that
    /// are out of bounds, are ignored.
    auto apply_report(
        std::vector<pace_entry> const& entries,
        std::map<endpoint_id, replica> const& listed,
        time_point now) -> void;

    /// What this daemon read itself and peers do not know yet, and a few other
    /// entries in rotation, as reports may be lost. Entries of peers are not
    /// repeated: a pace that is no longer stated would never expire.
    [[nodiscard]] auto entries_to_report(time_point now)
        -> std::vector<pace_entry>;

    /// None if no figure of the replica is known.
    [[nodiscard]] auto find(endpoint_id const& id) const -> known_pace const*;

    [[nodiscard]] auto is_empty() const -> bool
    {
        return known_.empty();
    }

    /// Drops the entries of replicas that are not listed or have started anew.
    auto retain(std::map<endpoint_id, replica> const& listed) -> void;

private:
    std::map<endpoint_id, known_pace> known_;
    /// The last replica that was reported in rotation.
    endpoint_id rotated_to_;
};

} // namespace sapphirereel::relay

#endif
