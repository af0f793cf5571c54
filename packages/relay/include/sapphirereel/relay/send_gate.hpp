/// \file
/// Defines the gate that everything sent to replicas passes: it keeps to the
/// limits that replicas state.
#ifndef SAPPHIREREEL_RELAY_SEND_GATE_HPP
#define SAPPHIREREEL_RELAY_SEND_GATE_HPP

#include "sapphirereel/relay/cold_replicas.hpp"
#include "sapphirereel/relay/replica_table.hpp"
#include "sapphirereel/relay/send_permit.hpp"
#include "sapphirereel/relay/stated_limits.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sapphirereel::relay {

/// Whether something may be sent to a replica now.
enum class permission
{
    granted,
    /// The replica's home has been asked for a permit.
    awaited,
    denied
};

/// Replicas of a service that may not be sent a request now.
struct closed_replicas
{
    std::set<endpoint_id> ids;
    /// Whether one of them may be open within some milliseconds.
    bool may_open_soon = false;
    /// Time until a permit for one of those that are cold may be issued.
    std::optional<duration> cold_wait = std::nullopt;
    auto operator<=>(closed_replicas const&) const = default;
};

/// Keeps to the limits that replicas state: requests per second over all
/// daemons by permits, and rejections by sending only where there is room.
class send_gate
{
public:
    /// Sends a request for a permit to the replica's home. May call
    /// `apply_response` at once.
    using asker = std::function<void(permit_request const&)>;

    explicit send_gate(replica_table const& replicas);

    auto set_asker(asker ask) -> void;

    /// Sets what cold replicas may get in any second, and the text by which
    /// this daemon differs from others.
    auto set_cold_bounds(cold_bounds const& bounds, std::string self) -> void;

    /// Sets the share of the known daemons that this one hears, itself
    /// included.
    auto set_reachable_share(double share) -> void;

    /// The replicas of a service that a request may not be sent to, because
    /// they take no more now. Asks for a permit for one of them, unless one is
    /// held or awaited.
    auto find_closed(
        placement_need const& need,
        std::optional<engine_traits> const& engine,
        int priority,
        time_point now) -> closed_replicas;

    /// Whether something may be sent to a replica now; uses up the permit that
    /// that takes. For a running request a permit is asked for if none is held.
    auto take(endpoint_id const& id, permit_use use, time_point now)
        -> permission;

    /// Records that a request was refused because all replicas of its service
    /// were closed to it. Less urgent ones get no permits for a while.
    auto record_refusal(
        service_name const& service, int priority, time_point now) -> void;

    /// Records that a replica rejected a request.
    auto record_rejection(endpoint_id const& id, time_point now) -> void;

    /// Issues a permit as the replica's home, or denies it. `shares` are the
    /// parts of the replica's limits that this home issues permits for.
    auto issue(
        permit_request const& asked,
        permit_shares const& shares,
        time_point now) -> permit_response;

    auto apply_response(permit_response const& response, time_point now)
        -> void;

    [[nodiscard]] auto cold() -> cold_replicas&
    {
        return cold_;
    }

    [[nodiscard]] auto limits() -> limit_registry&
    {
        return limits_;
    }

    [[nodiscard]] auto limits() const -> limit_registry const&
    {
        return limits_;
    }

    /// Drops what has expired.
    auto expire(time_point now) -> void;

private:
    [[nodiscard]] auto has_room(
        endpoint_id const& id,
        placement_need const& need,
        std::optional<engine_traits> const& engine,
        time_point now) const -> bool;
    [[nodiscard]] auto yields(
        service_name const& service, int priority, time_point now) const
        -> bool;
    /// The lower one of the rate that a replica states and its rate while it is
    /// cold.
    [[nodiscard]] auto rate_of(endpoint_id const& id, time_point now) const
        -> std::optional<double>;
    /// The rate of a replica that is cold by what this daemon knows or by the
    /// rate that another one asks with.
    [[nodiscard]] auto cold_rate_of(permit_request const& asked, time_point now)
        const -> std::optional<double>;
    auto issue_cold(
        permit_request const& asked, double rate, double share, time_point now)
        -> duration;
    /// Whether a cold replica may be sent a request without a permit: few
    /// requests run there by the counts of all daemons.
    [[nodiscard]] auto is_cold_but_idle(
        endpoint_id const& id, time_point now) const -> bool;
    /// Sets the time until one of the closed replicas that are cold may open.
    auto set_cold_wait(closed_replicas& closed, time_point now) const -> void;
    /// Asks for a permit for the replica that was asked for least recently.
    /// Returns whether a response is awaited.
    auto ask_for_one(std::vector<endpoint_id> const& among, time_point now)
        -> bool;
    auto ask(endpoint_id const& id, permit_use use, time_point now) -> void;

    replica_table const* replicas_;
    asker ask_ = [](permit_request const&) {
    };
    limit_registry limits_;
    cold_replicas cold_;
    cold_bounds cold_bounds_;
    double reachable_share_ = 1;
    std::string self_;
    permit_issuer issuer_;
    permit_holder permits_;
    /// When a request of each priority was refused last.
    std::map<service_name, std::map<int, time_point>> refusals_;
    std::map<endpoint_id, time_point> rejections_;
};

} // namespace sapphirereel::relay

#endif
