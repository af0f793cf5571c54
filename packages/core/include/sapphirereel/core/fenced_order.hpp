/// \file
/// Defines order_reconciler: the state that one endpoint is to have, the orders
/// that bring it there, and the mending of what is read back.
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

/// What an order is about.
enum class order_subject
{
    model,
    adapter,
    role
};

/// One thing that an endpoint can have: a model, an adapter, its role.
struct order_key
{
    order_subject subject = order_subject::model;
    std::string name;
    auto operator<=>(order_key const&) const = default;
};

/// An order to an endpoint: have this version, or none. Safe to repeat.
struct fenced_order
{
    log_offset fence;
    order_key key;
    /// Version to have; nothing: unload it.
    std::optional<std::string> version;
    auto operator<=>(fenced_order const&) const = default;
};

/// The wanted state of one endpoint. Orders go out only with a valid fencing
/// number; what the endpoint reports decides whether another is needed.
class order_reconciler
{
public:
    /// `repeat` is the time before an order without effect goes out again.
    explicit order_reconciler(duration repeat);

    /// Wants this version of the thing, or none of it.
    auto set_desired(order_key const& key, std::optional<std::string> version)
        -> void;

    /// Takes what the endpoint reports to have, by key.
    auto observe(std::map<order_key, std::string> const& state) -> void;

    /// The endpoint has refused an order because it knows a newer fencing
    /// number: nothing is sent with this number or an older one again.
    auto refused(log_offset newer_fence) -> void;

    /// Orders to send now under the fencing number; ask with the number that
    /// is valid at this moment, and send at once.
    auto due(std::optional<log_offset> fence, time_point now)
        -> std::vector<fenced_order>;

    /// Whether the endpoint was seen to have all that is wanted.
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
