#include "sapphirereel/composition/generation_coordinator.hpp"

#include "crash_report.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace sapphirereel {

namespace {

/// Whole milliseconds until a time point; 0 if it has passed.
auto milliseconds_left(time_point until, time_point now) -> std::uint32_t
{
    auto const left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - now);
    return static_cast<std::uint32_t>(
        std::max(left, std::chrono::milliseconds{0}).count());
}

template <class T>
concept is_daemon_action = std::is_constructible_v<action, T>;

} // namespace

auto generation_coordinator::run_actions(
    attachment_id attachment,
    generation_actions const& todo,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    for (auto const& one : todo)
    {
        std::visit(
            [&](auto const& what) {
                using type = std::remove_cvref_t<decltype(what)>;
                // attach_run and finish_generation are actions too, but
                // perform also updates this coordinator's records for them.
                if constexpr (
                    is_daemon_action<type> &&
                    !std::is_same_v<type, attach_run> &&
                    !std::is_same_v<type, finish_generation>)
                {
                    outputs.emplace_back(action{what});
                }
                else
                {
                    perform(attachment, what, context, now, outputs);
                }
            },
            one);
    }
    any_ended_ = any_ended_ || generations_.at(attachment).value.is_over();
}

auto generation_coordinator::perform(
    attachment_id attachment,
    find_place const& wanted,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto& entry = generations_.at(attachment);
    if (refuse_poison_request(attachment, context, now, outputs))
    {
        return;
    }
    auto const& content = entry.value.request().content;
    entry.offer.suspect =
        context.poison_detector.verdict(content) == poison_verdict::isolate;
    runs_[wanted.run] = attachment;
    entry.offer.run = wanted.run;
    entry.offer.output_tokens =
        static_cast<std::uint32_t>(wanted.output_tokens);
    entry.offer.wait_ms =
        milliseconds_left(entry.value.request().deadline, now);
    auto candidates = candidates_for(
        entry.value.request().facts, wanted.excluded, context, now);
    perform_searches(
        searches_.begin(entry.offer, std::move(candidates), now), context, now,
        outputs);
}

auto generation_coordinator::perform(
    attachment_id attachment,
    start_run const& start,
    decision_context const&,
    time_point,
    component_outputs& outputs) -> void
{
    streams_[start.stream] = attachment;
    auto const& request = generations_.at(attachment).value.request();
    outputs.emplace_back(
        action{open_run{start, request.path, request.body, request.priority}});
}

auto generation_coordinator::perform(
    attachment_id attachment,
    attach_run const& attach,
    decision_context const&,
    time_point,
    component_outputs& outputs) -> void
{
    streams_[attach.stream] = attachment;
    runs_[attach.run] = attachment;
    generations_.at(attachment).offer.run = attach.run;
    outputs.emplace_back(action{attach});
}

auto generation_coordinator::perform(
    attachment_id attachment,
    release_place const& left,
    decision_context const& context,
    time_point,
    component_outputs& outputs) -> void
{
    runs_.erase(left.run);
    auto& home = generations_.at(attachment).home;
    auto const to = home.empty() ? home_of(context.cluster, left.place.endpoint)
                                 : std::exchange(home, daemon_id{});
    if (to.empty())
    {
        return;
    }
    auto const tokens = static_cast<std::uint32_t>(left.output_tokens);
    outputs.emplace_back(daemon_message{
        to, release_message{
                left.place.endpoint, left.run, tokens, left.completed}});
}

auto generation_coordinator::perform(
    attachment_id attachment,
    engine_lost const& lost,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    ++counts_.engines_lost;
    health_.failed(lost.place.endpoint, now);
    outputs.emplace_back(action{report{
        report_level::warning, "generation",
        "engine " + lost.place.endpoint.str() + " lost run " +
            lost.run.str()}});
    if (lost.crashed)
    {
        auto& entry = generations_.at(attachment);
        entry.crashed_at = entry.value.next_index();
        auto const& request = entry.value.request();
        report_crash(
            lost.place.endpoint, request.content, context, now, outputs);
        record_part_crash(entry, lost.place.endpoint, context, now, outputs);
    }
}

auto generation_coordinator::perform(
    attachment_id attachment,
    finish_generation const& finished,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    ++counts_.finished;
    auto& entry = generations_.at(attachment);
    record_part_output(entry, context, now, outputs);
    auto const& value = entry.value;
    if (value.place())
    {
        health_.succeeded(value.place()->endpoint, now);
    }
    report_completion(value.request().content, context, now, outputs);
    outputs.emplace_back(action{finished});
}

auto generation_coordinator::perform(
    attachment_id,
    refuse_generation const& refused,
    decision_context const&,
    time_point,
    component_outputs& outputs) -> void
{
    ++counts_.refused;
    outputs.emplace_back(
        action{refuse_caller{refused.attachment, refused.reason}});
}

} // namespace sapphirereel
