/// \file
/// Defines how long replicas are still used whose entries are missing from the
/// log beside an outage of it. Entries expire while they can't be renewed, and
/// are back soon after the log; one that stays missing is that of a replica
/// that has left.
#ifndef SAPPHIREREEL_RELAY_LAPSED_REPLICAS_HPP
#define SAPPHIREREEL_RELAY_LAPSED_REPLICAS_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <map>
#include <optional>
#include <set>

namespace sapphirereel::relay {

/// Time from the return of the log, or from its restoration, after which an
/// entry that is still missing is that of a replica that has left.
inline constexpr auto lapse_grace = duration{std::chrono::milliseconds{2'200}};

/// Time from the return of the log within which its readers find the entries
/// missing that expired during the outage.
inline constexpr auto lapse_found_within =
    duration{std::chrono::milliseconds{400}};

/// Time before a leaving replica's end at which it is no longer used: a request
/// is some time on its way, and the removal was acknowledged before it was
/// read.
inline constexpr auto drain_margin = duration{std::chrono::milliseconds{300}};

/// The replicas whose entries are missing and may have lapsed. Until when one
/// of them is used is settled when its entry is found missing; looking again
/// does not put it off. Only another outage does, and only for those that were
/// found right after the return of the log: nothing that left while the log was
/// stable is among them.
class lapsed_replicas
{
public:
    /// `drain_limit` is the time for which a replica that leaves serves.
    explicit lapsed_replicas(duration drain_limit)
        : drain_limit_(drain_limit)
    {}

    /// Whether a replica whose entry is missing is used. Until `doubt_until`
    /// entries of replicas that run may be missing.
    auto keeps(endpoint_id const& which, time_point doubt_until, time_point now)
        -> bool;

    /// Notes which replicas are missing and used; forgets all others.
    auto retain(std::set<endpoint_id> const& missing) -> void;

    /// Notes that entries may be missing for longer, after another outage.
    auto prolong(time_point doubt_until) -> void;

    /// When the first replica of those that are used is no longer; none if
    /// there are none.
    [[nodiscard]] auto next_end() const -> std::optional<time_point>;

private:
    struct lapse
    {
        time_point until;
        /// Whether it was found missing right after the return of the log.
        bool is_of_outage = false;
    };

    /// Until when a replica that is found to have left is used.
    [[nodiscard]] auto end_of_service(time_point found_at) const -> time_point;

    duration drain_limit_;
    std::map<endpoint_id, lapse> lapses_;
};

} // namespace sapphirereel::relay

#endif
