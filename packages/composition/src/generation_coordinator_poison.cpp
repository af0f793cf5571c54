#include "sapphirereel/composition/generation_coordinator.hpp"

#include "crash_report.hpp"
#include "generation_reception.hpp"

#include <utility>

namespace sapphirereel {

auto generation_coordinator::clear_if_past_crash(
    open_generation& target,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto const past = target.crashed_at &&
                      target.value.next_index() >=
                          *target.crashed_at + settings_.tokens_past_crash;
    if (!past)
    {
        return;
    }
    target.crashed_at.reset();
    report_completion(target.value.request().content, context, now, outputs);
}

auto generation_coordinator::record_part_crash(
    open_generation& target,
    endpoint_id const& endpoint,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto const& parts = target.value.request().prompt_parts;
    // A leaving endpoint ends as planned, whatever it ran.
    auto const is_evidence = !target.has_output && !parts.empty() &&
                             !context.cluster.leaving.contains(endpoint);
    if (!is_evidence)
    {
        return;
    }
    // A trial that has failed must not crash another endpoint.
    target.is_part_trial = false;
    auto& detector = context.part_detector;
    auto const message =
        crash_message{name_crash(endpoint, context.wall_now), parts};
    if (detector.record_crash(message, now))
    {
        broadcast(
            context.cluster,
            poison_part_reports{{message}, {}, detector.rulings()}, outputs);
    }
}

auto generation_coordinator::record_part_output(
    open_generation& target,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    if (std::exchange(target.has_output, true))
    {
        return;
    }
    auto& detector = context.part_detector;
    auto const& parts = target.value.request().prompt_parts;
    auto const was_poison = detector.find_poison(parts).has_value();
    auto news = poison_part_reports{{}, detector.record_output(parts, now), {}};
    if (was_poison)
    {
        news.rulings = detector.rulings();
    }
    if (!news.empty())
    {
        broadcast(context.cluster, std::move(news), outputs);
    }
}

auto generation_coordinator::poison_refusal(
    open_generation const& target, decision_context const& context)
    -> std::optional<refusal>
{
    auto const& request = target.value.request();
    auto reason =
        poison_request_refusal(request.content, context.poison_detector);
    if (reason || target.is_part_trial || target.has_output)
    {
        return reason;
    }
    return poison_part_refusal(request, context);
}

auto generation_coordinator::refuse_poison_request(
    attachment_id attachment,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> bool
{
    auto& entry = generations_.at(attachment);
    auto const reason = poison_refusal(entry, context);
    if (!reason)
    {
        return false;
    }
    run_actions(
        attachment, entry.value.give_up(*reason), context, now, outputs);
    return true;
}

} // namespace sapphirereel
