/// \file
/// Defines lease_table: who holds which lease according to the stream
/// `leases`, and when another may take it.
#ifndef SAPPHIREREEL_CORE_LEASE_TABLE_HPP
#define SAPPHIREREEL_CORE_LEASE_TABLE_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/lease_record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sapphirereel {

/// One lease as the log tells it.
struct lease_state
{
    daemon_id holder;
    /// Offset of the acquire record: the fencing number.
    log_offset fence;
    /// Offset and log time of the last record that counted.
    log_offset last;
    wall_time last_appended;
    duration term{0};
    bool released = false;
    /// The writer's number of the last record that counted.
    std::uint64_t number = 0;
    /// When this daemon read the last record that counted.
    time_point read_at{};
    auto operator<=>(lease_state const&) const = default;
};

/// The leases of the stream `leases`. Which records count depends on the log
/// alone, so that every reader names the same holder.
class lease_table
{
public:
    /// `longest_term` bounds the terms that daemons give their leases.
    explicit lease_table(duration longest_term);

    /// Applies a page; returns the names whose lease changed, in log order. A
    /// page that doesn't continue at next_offset() is passed over.
    auto apply(lease_page const& page, time_point now)
        -> std::vector<lease_name>;

    [[nodiscard]] auto find(lease_name const& name) const
        -> std::optional<lease_state>;

    /// Whether another daemon may ask for the lease: it was released or its
    /// term is over, and `order_time` has passed besides, the longest time
    /// that an order of the last holder can be on its way (0 where endpoints
    /// check fencing numbers).
    [[nodiscard]] auto is_free(
        lease_name const& name, duration order_time, time_point now) const
        -> bool;

    /// Offset to read the stream `leases` from.
    [[nodiscard]] auto next_offset() const -> log_offset;

private:
    auto apply_entry(
        lease_log_record const&, lease_entry const&, time_point now) -> bool;

    duration longest_term_;
    log_offset next_{1};
    /// Records were missed up to this moment; their leases are unknown.
    std::optional<time_point> gap_read_at_;
    std::map<lease_name, lease_state> leases_;
};

} // namespace sapphirereel

#endif
