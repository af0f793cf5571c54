/// \file
/// Defines lease_holder, which acquires and renews one daemon's leases and
/// stops using each one a safety margin before it expires on the daemon's own
/// monotonic clock.
/// Not connected to the daemon.
#ifndef SAPPHIREREEL_CORE_LEASE_HOLDER_HPP
#define SAPPHIREREEL_CORE_LEASE_HOLDER_HPP

#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/lease_table.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sapphirereel {

/// Timing of leases.
struct lease_settings
{
    duration term = std::chrono::seconds{30};
    /// Time before the end of a term at which the holder stops using the lease.
    duration safety_margin = std::chrono::seconds{5};
    /// Time between two attempts to append the same record.
    duration append_retry = std::chrono::seconds{2};
    /// Maximum delay of an order to an endpoint that does not check fencing
    /// tokens.
    duration order_time = std::chrono::seconds{15};
    auto operator<=>(lease_settings const&) const = default;
};

/// Acquires, renews and releases leases. The caller appends the returned
/// entries to the stream `leases`. The result of an append is not needed: only
/// the records read back count.
class lease_holder
{
public:
    static auto create(daemon_id self, lease_settings settings)
        -> result<lease_holder>;

    /// Requests the lease from now on. `fenced` says that the endpoints check
    /// fencing tokens, so that the lease can be acquired without waiting for
    /// the previous holder's orders in flight.
    auto request(lease_name const& name, bool fenced) -> void;

    /// Stops requesting the lease; returns the release record if it was held.
    auto release(lease_name const& name, lease_table const& table)
        -> std::vector<lease_entry>;

    /// Updates the leases from the table; returns the entries to append now.
    auto step(lease_table const& table, time_point now)
        -> std::vector<lease_entry>;

    /// Fencing token of the lease while it may be used. Must be checked
    /// immediately before each order is sent.
    [[nodiscard]] auto valid_fence(lease_name const& name, time_point now) const
        -> std::optional<log_offset>;

private:
    struct requested_lease
    {
        bool fenced = false;
        /// Set while held.
        std::optional<log_offset> fence;
        time_point valid_until{};
        /// Offset of the last record of the lease that was processed.
        log_offset seen;
        /// Times of the first and the last submission of the entry that has not
        /// been read back yet.
        std::optional<time_point> pending_since;
        std::uint64_t pending_number = 0;
        time_point pending_last{};
    };

    lease_holder(daemon_id self, lease_settings settings);

    auto observe_lease(requested_lease& requested, lease_state const& lease)
        -> void;
    auto next_entry(
        lease_name const& name,
        requested_lease& requested,
        lease_table const& table,
        time_point now) -> std::optional<lease_entry>;

    daemon_id self_;
    lease_settings settings_;
    std::uint64_t last_number_ = 0;
    std::map<lease_name, requested_lease> requested_;
};

} // namespace sapphirereel

#endif
