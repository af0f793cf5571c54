/// \file
/// Defines the streams that wait for a replica with room: the order in which
/// they are attempted, and which of them yield to more urgent ones of this
/// daemon and of its peers.
#ifndef SAPPHIREREEL_RELAY_HELD_STREAMS_HPP
#define SAPPHIREREEL_RELAY_HELD_STREAMS_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/relay/waiting_entry.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace sapphirereel::relay {

/// Most entries about waiting requests in one report.
inline constexpr auto max_waiting_entries = std::size_t{8};

/// Age above which a peer's entries are ignored. In a zone of 100 daemons
/// regular reports are 1,000 ms apart, and a weak daemon sends them late.
inline constexpr auto max_waiting_age =
    duration{std::chrono::milliseconds{1'500}};

/// Longest time for which a stream yields to more urgent ones, as a share of
/// its target latency, so that it can still start in time.
inline constexpr auto max_yield_share = 0.5;

/// A stream that waits for room.
struct held_stream
{
    service_name service;
    /// 0 is the most urgent.
    int priority = 0;
    /// Latest moment at which it can be sent and still start in time.
    time_point latest_start;
    /// Memory that it needs on its replica, in tokens.
    double tokens = 0;
    auto operator<=>(held_stream const&) const = default;
};

/// Whether a stream is attempted before another one of its service: by
/// priority, then by the latest moment at which it can start in time.
auto is_attempted_before(held_stream const& first, held_stream const& second)
    -> bool;

/// Whether a stream that has waited so long still yields to more urgent ones.
auto may_yield(duration waited, duration target_latency) -> bool;

/// The streams held at this daemon, and what its zone's peers report of theirs.
class held_streams
{
public:
    using hold_id = std::uint64_t;
    using attempt_function = std::function<void()>;

    /// Adds a stream. `attempt` looks for a replica and releases the stream if
    /// it finds one.
    auto hold(held_stream stream, attempt_function attempt) -> hold_id;
    auto release(hold_id which) -> void;

    /// Attempts all held streams of a service in their order. Streams that are
    /// released meanwhile are left out.
    auto attempt_in_order(service_name const& service) -> void;

    /// Replaces what a peer of the zone reports. Entries of no requests, and
    /// those beyond `max_waiting_entries`, are ignored.
    auto set_peer_entries(
        daemon_id const& peer,
        std::vector<waiting_entry> const& entries,
        time_point now) -> void;

    /// Whether any stream of the service that is held here comes before this
    /// one.
    [[nodiscard]] auto is_any_before(held_stream const& stream) const -> bool;

    /// Whether more urgent streams of the service are held here or at a peer.
    [[nodiscard]] auto is_any_more_urgent(
        service_name const& service, int priority, time_point now) const
        -> bool;

    /// Whether streams of the service with another priority are held here or at
    /// a peer.
    [[nodiscard]] auto is_any_of_other_priority(
        service_name const& service, int priority, time_point now) const
        -> bool;

    /// Memory, in tokens, that is needed before this stream gets its room: by
    /// the streams that come before it here, by this daemon's part of the more
    /// urgent ones at peers, and by itself.
    /// `own` is its own entry, which is not counted again.
    [[nodiscard]] auto tokens_until(
        held_stream const& stream,
        time_point now,
        std::optional<hold_id> own = std::nullopt) const -> double;

    /// The entries for this daemon's reports, the most urgent first, at most
    /// `max_waiting_entries`. Services for which `is_reported` is false are
    /// left out.
    [[nodiscard]] auto entries_to_report(
        std::function<bool(service_name const&)> const& is_reported) const
        -> std::vector<waiting_entry>;

private:
    struct held
    {
        held_stream stream;
        attempt_function attempt;
    };
    struct peer_entries
    {
        std::vector<waiting_entry> entries;
        time_point received_at;
    };

    /// Whether any entry of this daemon or of a peer satisfies a condition on
    /// its service and priority.
    template <class Condition>
    [[nodiscard]] auto is_any(time_point now, Condition const& condition) const
        -> bool;

    std::map<hold_id, held> held_;
    hold_id last_id_ = 0;
    std::map<daemon_id, peer_entries> peers_;
};

} // namespace sapphirereel::relay

#endif
