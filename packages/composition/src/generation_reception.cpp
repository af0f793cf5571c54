#include "generation_reception.hpp"

#include "sapphirereel/composition/unroutable.hpp"

#include <utility>

namespace sapphirereel {

namespace {

/// Reason to refuse a new request immediately, if there is one. Until the
/// configuration is known, a request waits for it as it would wait for
/// capacity.
auto immediate_refusal(
    generation_request const& request, decision_context const& context)
    -> std::optional<refusal>
{
    auto poison =
        poison_request_refusal(request.content, context.poison_detector);
    if (poison || !context.configuration_known)
    {
        return poison;
    }
    return unroutable(request.facts, context.config);
}

/// Whether a request with a poison part runs all the same, as a trial.
auto take_part_trial(
    generation_request const& request,
    decision_context const& context,
    time_point now) -> bool
{
    auto const part = context.part_detector.find_poison(request.prompt_parts);
    return part && context.part_detector.take_trial(
                       *part, context.cluster.live.size(), now);
}

} // namespace

auto poison_request_refusal(
    digest const& content, poison_request_detector const& detector)
    -> std::optional<refusal>
{
    if (detector.verdict(content) != poison_verdict::poison)
    {
        return std::nullopt;
    }
    return refusal{
        refusal_cause::poison, disposition::final_answer,
        "this request has crashed every endpoint that ran it", duration{0}};
}

auto poison_part_refusal(
    generation_request const& request, decision_context const& context)
    -> std::optional<refusal>
{
    if (!context.part_detector.find_poison(request.prompt_parts))
    {
        return std::nullopt;
    }
    return refusal{
        refusal_cause::poison, disposition::final_answer,
        "a part of this prompt crashes endpoints", duration{0}};
}

auto receive_new(
    generation_request const& request,
    decision_context const& context,
    time_point now) -> reception
{
    if (auto reason = immediate_refusal(request, context))
    {
        return {std::move(reason), false};
    }
    if (take_part_trial(request, context, now))
    {
        return {std::nullopt, true};
    }
    return {poison_part_refusal(request, context), false};
}

} // namespace sapphirereel
