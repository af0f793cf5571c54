#include "sapphirereel/composition/generation_coordinator.hpp"

#include "sapphirereel/core/selector_matching.hpp"

#include <utility>

namespace sapphirereel {

namespace {

auto place_of(
    request_facts const& facts,
    endpoint_id const& replica,
    decision_context const& context) -> std::optional<run_place>
{
    for (auto const& one : match(context.config, facts).endpoints)
    {
        if (one.id == replica)
        {
            return run_place{one.id, one.address, one.resumes_prefix};
        }
    }
    return std::nullopt;
}

auto refusal_for(stream_not_placed const& unplaced) -> refusal
{
    if (unplaced.no_candidate)
    {
        return {
            refusal_cause::no_endpoint, disposition::not_run,
            "no engine stands for this request", unplaced.retry_after};
    }
    auto const cause = unplaced.cause == offer_refusal_cause::share
                           ? refusal_cause::share_exceeded
                           : refusal_cause::overloaded;
    return {
        cause, disposition::not_run, "no engine has a place now",
        unplaced.retry_after};
}

} // namespace

auto generation_coordinator::candidates_for(
    request_facts const& facts,
    std::set<endpoint_id> const& excluded,
    decision_context const& context,
    time_point now) const -> placement_candidates
{
    auto candidates = placement_candidates{};
    for (auto const& one : match(context.config, facts).endpoints)
    {
        auto const skipped = one.kind != service_kind::engine ||
                             excluded.contains(one.id) ||
                             context.cluster.leaving.contains(one.id);
        if (skipped)
        {
            continue;
        }
        auto candidate = placement_candidate{};
        candidate.replica = one.id;
        candidate.home = home_of(context.cluster, one.id);
        candidate.distance = distance_to(context.cluster, one.zone);
        candidate.ejected = health_.ejected(one.id, now);
        candidate.slow_start_share = health_.share(one.id, now);
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

auto generation_coordinator::perform_searches(
    placement_actions const& todo,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    for (auto const& one : todo)
    {
        if (auto const* reserve = std::get_if<send_reserve>(&one))
        {
            outputs.emplace_back(
                daemon_message{reserve->home, reserve->message});
        }
        else if (auto const* release = std::get_if<send_release>(&one))
        {
            outputs.emplace_back(
                daemon_message{release->home, release->message});
        }
        else if (auto const* placed = std::get_if<stream_placed>(&one))
        {
            handle_placed(*placed, context, now, outputs);
        }
        else if (auto const* unplaced = std::get_if<stream_not_placed>(&one))
        {
            handle_not_placed(*unplaced, context, now, outputs);
        }
    }
}

auto generation_coordinator::handle_placed(
    stream_placed const& placed,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto* const found = by_run(placed.run);
    if (found == nullptr)
    {
        return;
    }
    auto const attachment = found->value.request().attachment;
    found->home = placed.home;
    auto const place =
        place_of(found->value.request().facts, placed.replica, context);
    if (!place)
    {
        // The configuration has changed since the search started.
        handle_not_placed({placed.run, true, {}, {}}, context, now, outputs);
        return;
    }
    auto const todo = found->value.placed(placed.run, *place, names_, now);
    run_actions(attachment, todo, context, now, outputs);
}

auto generation_coordinator::handle_not_placed(
    stream_not_placed const& unplaced,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto* const found = by_run(unplaced.run);
    if (found == nullptr)
    {
        return;
    }
    auto const attachment = found->value.request().attachment;
    auto const todo =
        found->value.not_placed(unplaced.run, refusal_for(unplaced), now);
    run_actions(attachment, todo, context, now, outputs);
}

} // namespace sapphirereel
