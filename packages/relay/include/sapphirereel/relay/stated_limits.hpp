/// \file
/// Defines what replicas state in their responses about the requests that they
/// take from all daemons together, and the registry of it that daemons report
/// to each other.
#ifndef SAPPHIREREEL_RELAY_STATED_LIMITS_HPP
#define SAPPHIREREEL_RELAY_STATED_LIMITS_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sapphirereel::relay {

struct replica;

/// What a replica states in a response. It holds until a later response of the
/// same replica states something else.
struct stated_limits
{
    /// Requests per second that it takes from all daemons together.
    std::optional<double> rate;
    /// Requests per second that it can reject before it fails. A replica that
    /// states this is sent requests only if it has room for them.
    std::optional<double> rejections;
    auto operator<=>(stated_limits const&) const = default;

    [[nodiscard]] auto is_empty() const -> bool
    {
        return !rate && !rejections;
    }
};

/// What one start of a replica states, as daemons report it to each other.
struct limit_entry
{
    endpoint_id id;
    /// Start time of the replica, Unix time in milliseconds; 0 if unknown.
    std::uint64_t started_at_ms = 0;
    /// Orders the changes: each has a higher number than those that its daemon
    /// knew of. Of two with one number the first that arrives holds.
    std::uint64_t revision = 0;
    stated_limits limits;
    auto operator<=>(limit_entry const&) const = default;
};

/// What all replicas state, by this daemon's and its peers' responses.
class limit_registry
{
public:
    /// Records what a response to a request that was sent at `sent_at` states.
    /// Returns whether that is a change. A response that states less than is
    /// known counts only if its request was sent after the last one that stated
    /// it: earlier responses may arrive late.
    auto record_response(
        replica const& from,
        stated_limits const& stated,
        time_point sent_at,
        time_point now) -> bool;

    /// Applies a peer's entries. Returns whether one of them is news.
    auto apply_report(std::vector<limit_entry> const& entries, time_point now)
        -> bool;

    /// All limits that are stated, and those that ended lately.
    [[nodiscard]] auto entries_to_report(time_point now) const
        -> std::vector<limit_entry>;

    /// What a replica states; empty if it states nothing.
    [[nodiscard]] auto limits_of(endpoint_id const& id) const -> stated_limits;

    /// Whether nothing is known of any replica.
    [[nodiscard]] auto is_empty() const -> bool
    {
        return entries_.empty();
    }

    /// The replicas that state something.
    [[nodiscard]] auto limited_replicas() const -> std::set<endpoint_id>;

    /// Drops the entries of replicas that are not listed or have started anew,
    /// and old entries without limits.
    auto retain(std::map<endpoint_id, replica> const& listed, time_point now)
        -> void;

private:
    struct known_entry
    {
        limit_entry entry;
        /// When the last response or report that states the limits arrived.
        time_point stated_at;
        time_point changed_at;
    };

    std::map<endpoint_id, known_entry> entries_;
};

} // namespace sapphirereel::relay

#endif
