/// \file
/// Defines order_reconciler: the desired state of one endpoint, and the fenced
/// orders that are repeated until the endpoint reports that state.
/// Not connected to the daemon.
#ifndef SAPPHIREREEL_CORE_FENCED_ORDER_HPP
#define SAPPHIREREEL_CORE_FENCED_ORDER_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/log_record.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirereel {

/// The kind of resource that an order changes.
enum class order_subject
{
    model,
    adapter,
    role
};

/// One resource of an endpoint: a model, an adapter or its role.
struct order_key
{
    order_subject subject = order_subject::model;
    std::string name;
    auto operator<=>(order_key const&) const = default;
};

/// An idempotent order to an endpoint to have this version of a resource, or
/// none.
struct fenced_order
{
    log_offset fence;
    order_key key;
    /// Desired version, or nothing to unload the resource.
    std::optional<std::string> version;
    auto operator<=>(fenced_order const&) const = default;
};

/// Reconciles one endpoint with its desired state. Orders are sent only with a
/// valid fencing token; the state that the endpoint reports decides whether
/// another order is needed.
class order_reconciler
{
public:
    /// `repeat` is the time after which an order that had no effect is sent
    /// again.
    explicit order_reconciler(duration repeat);

    /// Sets the desired version of a resource, or that it be absent.
    auto set_desired(order_key const& key, std::optional<std::string> version)
        -> void;

    /// Applies the state that the endpoint reports, by resource.
    auto observe(std::map<order_key, std::string> const& state) -> void;

    /// Records that the endpoint rejected an order because it has seen a newer
    /// fencing token. No order with an older token is sent again.
    auto refused(log_offset newer_fence) -> void;

    /// Orders to send now with the fencing token `fence`, which must be valid
    /// at this moment. The orders must be sent immediately.
    auto due(std::optional<log_offset> fence, time_point now)
        -> std::vector<fenced_order>;

    /// Whether the endpoint has reported the whole desired state.
    [[nodiscard]] auto satisfied() const -> bool;

private:
    struct desired_state
    {
        std::optional<std::string> version;
        std::optional<time_point> sent;
        bool reached = false;
    };

    duration repeat_;
    log_offset newest_fence_;
    std::map<order_key, desired_state> desired_;
};

} // namespace sapphirereel

#endif
