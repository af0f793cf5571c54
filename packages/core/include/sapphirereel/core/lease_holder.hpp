/// \file
/// Defines lease_holder: one daemon's own leases, which it stops using well
/// before they end, by its own monotonic clock.
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

/// Times of leases.
struct lease_settings
{
    duration term = std::chrono::seconds{30};
    /// Time before the end of a term at which the holder stops using it.
    duration safety_margin = std::chrono::seconds{5};
    /// Time between two attempts to append the same record.
    duration append_retry = std::chrono::seconds{2};
    /// Longest time that an order can be on its way to an endpoint that
    /// ignores fencing numbers.
    duration order_time = std::chrono::seconds{15};
    auto operator<=>(lease_settings const&) const = default;
};

/// Acquires, renews and releases leases. Entries that it returns are to be
/// appended to the stream `leases`; whether an append was answered does not
/// matter, only what is read back.
class lease_holder
{
public:
    static auto create(daemon_id self, lease_settings settings)
        -> result<lease_holder>;

    /// Wants the lease from now on. `fenced` says that endpoints check fencing
    /// numbers, so that the time of orders on their way need not pass.
    auto request(lease_name const& name, bool fenced) -> void;

    /// Gives the lease up; returns the release record if it was held.
    auto release(lease_name const& name, lease_table const& table)
        -> std::vector<lease_entry>;

    /// Looks at what was read; returns the entries to append now.
    auto step(lease_table const& table, time_point now)
        -> std::vector<lease_entry>;

    /// Fencing number of the lease while it may be used. Ask immediately
    /// before each order is sent.
    [[nodiscard]] auto valid_fence(lease_name const& name, time_point now) const
        -> std::optional<log_offset>;

private:
    struct requested_lease
    {
        bool fenced = false;
        /// Set while held.
        std::optional<log_offset> fence;
        time_point valid_until{};
        /// Last record of the lease that was seen.
        log_offset seen;
        /// First and last hand-out of the record that is not read back yet.
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
