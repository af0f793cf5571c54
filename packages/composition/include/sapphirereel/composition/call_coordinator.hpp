/// \file
/// Defines call_coordinator, which handles the calls to plain services that
/// enter the cluster at a daemon. An idempotent call may be retried at other
/// endpoints; a non-idempotent one goes through at_most_once.
#ifndef SAPPHIREREEL_COMPOSITION_CALL_COORDINATOR_HPP
#define SAPPHIREREEL_COMPOSITION_CALL_COORDINATOR_HPP

#include "sapphirereel/composition/action.hpp"
#include "sapphirereel/composition/cluster_view.hpp"
#include "sapphirereel/composition/generation_coordinator.hpp"
#include "sapphirereel/core/at_most_once.hpp"
#include "sapphirereel/core/retry_budget.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sapphirereel {

/// Settings of call_coordinator.
struct call_coordinator_settings
{
    at_most_once_settings once;
    retry_budget_settings retries;
    /// Maximum number of endpoints at which one call is tried, including the
    /// first.
    std::uint32_t attempts = 3;
    /// Retry-after time in refusals.
    duration retry_after = std::chrono::seconds{1};
    auto operator<=>(call_coordinator_settings const&) const = default;
};

/// Counts since the start.
struct call_counts
{
    std::uint64_t arrived = 0;
    std::uint64_t sent = 0;
    std::uint64_t retried = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    auto operator<=>(call_counts const&) const = default;
};

/// Handles all calls of one entry daemon.
class call_coordinator
{
public:
    static auto create(
        call_coordinator_settings const& settings, daemon_id const& self)
        -> result<call_coordinator>;

    auto on(
        call_arrived const& arrived,
        decision_context const& context,
        time_point now) -> component_outputs;
    auto on(
        caller_closed const& closed,
        decision_context const& context,
        time_point now) -> component_outputs;
    auto on(
        call_ended const& ended,
        decision_context const& context,
        time_point now) -> component_outputs;
    auto on(
        claim_page const& page, decision_context const& context, time_point now)
        -> component_outputs;
    auto on(
        append_result const& outcome,
        decision_context const& context,
        time_point now) -> component_outputs;
    auto on(
        claim_message_arrival const& arrived,
        decision_context const& context,
        time_point now) -> component_outputs;
    auto on(
        live_daemons const& live,
        decision_context const& context,
        time_point now) -> component_outputs;
    auto tick(decision_context const& context, time_point now)
        -> component_outputs;

    [[nodiscard]] auto open() const -> std::size_t
    {
        return calls_.size() + awaiting_configuration_.size() +
               once_.open_calls();
    }

    [[nodiscard]] auto counts() const -> call_counts const&
    {
        return counts_;
    }

    [[nodiscard]] auto once() const -> at_most_once const&
    {
        return once_;
    }

private:
    /// A call that has been sent or is about to be.
    struct call
    {
        call_arrived request;
        bool repeatable = true;
        std::set<endpoint_id> tried;
        endpoint_id endpoint;
        time_point not_after;
    };

    call_coordinator(
        call_coordinator_settings const& settings,
        daemon_id self,
        at_most_once once);

    auto process_arrival(
        call_arrived const& arrived,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto process_waiting(
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto send(
        call call, decision_context const& context, component_outputs& outputs)
        -> bool;
    auto choose(call const& call, decision_context const& context) const
        -> std::optional<std::pair<endpoint_id, socket_address>>;
    [[nodiscard]] auto no_endpoint_refusal(
        call_arrived const& arrived, decision_context const& context) const
        -> refusal;
    auto retry(
        call const& call,
        call_ended const& ended,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto fail(
        call const& call,
        call_progress progress,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto answer(
        call const& call,
        call_answer const& answer,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto refuse(
        attachment_id attachment, refusal reason, component_outputs& outputs)
        -> void;
    auto perform(
        claim_outputs const& todo,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto dispatch(
        dispatch_call const& wanted,
        decision_context const& context,
        time_point now,
        component_outputs& outputs) -> void;
    auto budget_for(service_name const& service, time_point now)
        -> retry_budget&;
    [[nodiscard]] auto load_of(endpoint_id const& endpoint) const
        -> std::size_t;

    call_coordinator_settings settings_;
    daemon_id self_;
    at_most_once once_;
    std::map<call_number, call> calls_;
    /// Calls that wait until the configuration is known.
    std::vector<call_arrived> awaiting_configuration_;
    /// Content of the calls that wait for their claim, by name: that of the
    /// first arrival since the name was last released.
    std::map<digest, call_arrived> claimed_;
    std::map<service_name, retry_budget> budgets_;
    std::uint64_t last_number_ = 0;
    call_counts counts_;
};

} // namespace sapphirereel

#endif
