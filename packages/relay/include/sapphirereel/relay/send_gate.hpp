/// \file
/// Defines the gate that everything sent to replicas passes: it keeps to the
/// limits that replicas state.
#ifndef SAPPHIREREEL_RELAY_SEND_GATE_HPP
#define SAPPHIREREEL_RELAY_SEND_GATE_HPP

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

    /// Issues a permit as the replica's home, or denies it. `share` is the part
    /// of the replica's limit that this home issues permits for.
    auto issue(permit_request const& asked, double share, time_point now)
        -> permit_response;

    auto apply_response(permit_response const& response, time_point now)
        -> void;

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
    /// Asks for a permit for the replica that was asked for least recently.
    /// Returns whether a response is awaited.
    auto ask_for_one(std::vector<endpoint_id> const& among, time_point now)
        -> bool;
    auto ask(endpoint_id const& id, permit_use use, time_point now) -> void;

    replica_table const* replicas_;
    asker ask_ = [](permit_request const&) {
    };
    limit_registry limits_;
    permit_issuer issuer_;
    permit_holder permits_;
    /// When a request of each priority was refused last.
    std::map<service_name, std::map<int, time_point>> refusals_;
    std::map<endpoint_id, time_point> rejections_;
};

} // namespace sapphirereel::relay

#endif
