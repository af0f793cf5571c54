/// \file
/// Defines lease_table: the holder of each lease according to the stream
/// `leases`, and when another daemon may acquire it.
/// Not connected to the daemon.
#ifndef SAPPHIREREEL_CORE_LEASE_TABLE_HPP
#define SAPPHIREREEL_CORE_LEASE_TABLE_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/lease_record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sapphirereel {

/// State of one lease according to the log.
struct lease_state
{
    daemon_id holder;
    /// Offset of the acquire record: the fencing token.
    log_offset fence;
    /// Offset and log time of the last record that was accepted.
    log_offset last;
    wall_time last_appended;
    duration term{0};
    bool released = false;
    /// The writer's sequence number of the last record that was accepted.
    std::uint64_t number = 0;
    /// When this daemon read the last record that was accepted.
    time_point read_at{};
    auto operator<=>(lease_state const&) const = default;
};

/// The leases in the stream `leases`. Which records are accepted depends on the
/// log alone, so that every reader sees the same holder.
class lease_table
{
public:
    /// `longest_term` is the maximum term of any lease.
    explicit lease_table(duration longest_term);

    /// Applies a page; returns the names whose lease changed, in log order. A
    /// page that doesn't continue at next_offset() is ignored.
    auto apply(lease_page const& page, time_point now)
        -> std::vector<lease_name>;

    [[nodiscard]] auto find(lease_name const& name) const
        -> std::optional<lease_state>;

    /// Whether another daemon may acquire the lease: it was released or its
    /// term has expired, and `order_time`, the maximum delay of an order that
    /// the last holder sent, has passed as well (0 where endpoints check
    /// fencing tokens).
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
    /// When a gap was last found in the records read; leases in the gap are
    /// unknown.
    std::optional<time_point> gap_read_at_;
    std::map<lease_name, lease_state> leases_;
};

} // namespace sapphirereel

#endif
