/// \file
/// Defines how much of the replicas' memory less urgent streams leave free for
/// more urgent ones, from the requests that arrived recently.
#ifndef SAPPHIREREEL_RELAY_ROOM_POLICY_HPP
#define SAPPHIREREEL_RELAY_ROOM_POLICY_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/relay/routing.hpp"

#include <cstddef>
#include <deque>
#include <map>

namespace sapphirereel::relay {

/// Time for which an arrived request counts.
inline constexpr auto room_demand_window = duration{std::chrono::seconds{10}};

/// Largest share of a replica's memory that is left free.
inline constexpr auto max_reserved_share = 0.15;

/// What an arriving stream needs.
struct room_demand
{
    /// 0 is the most urgent.
    int priority = 0;
    /// Memory that it needs on its replica, in tokens.
    double tokens = 0;
    duration target_latency{0};
    auto operator<=>(room_demand const&) const = default;
};

/// The daemons and replicas among which a service's requests are spread.
struct room_supply
{
    std::size_t daemons = 1;
    std::size_t replicas = 0;
    /// Memory of one replica, in tokens.
    double memory_tokens = 0;
    auto operator<=>(room_supply const&) const = default;
};

/// The demand of the streams that arrived at this daemon, by service and
/// priority.
class room_policy
{
public:
    auto record_arrival(
        service_name const& service, room_demand const& demand, time_point now)
        -> void;

    /// Share of a replica's memory that a stream of a priority leaves free:
    /// what more urgent streams need within their target latency, if all
    /// daemons receive as much as this one. 0 if no more urgent stream arrived
    /// within `room_demand_window`.
    [[nodiscard]] auto reserved_share(
        service_name const& service,
        int priority,
        room_supply const& supply,
        time_point now) const -> double;

    /// Whether streams of several priorities arrived within
    /// `room_demand_window`.
    [[nodiscard]] auto has_several_priorities(
        service_name const& service, time_point now) const -> bool;

private:
    /// Arrivals of one interval.
    struct interval
    {
        time_point begin;
        /// Sum of the memory needed, in tokens, times the target latency, in
        /// seconds.
        double token_seconds = 0;
    };
    using intervals = std::deque<interval>;

    /// Intervals by priority.
    std::map<service_name, std::map<int, intervals>> arrivals_;
};

/// Whether a configuration gives several priorities to the streams of a
/// service, by its routes or by its customers.
auto allows_several_priorities(
    routing_configuration const& configuration, service_name const& service)
    -> bool;

} // namespace sapphirereel::relay

#endif
