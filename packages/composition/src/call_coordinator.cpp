#include "sapphirereel/composition/call_coordinator.hpp"

#include "crash_report.hpp"
#include "sapphirereel/composition/unroutable.hpp"
#include "sapphirereel/core/invariant.hpp"
#include "sapphirereel/core/rendezvous.hpp"
#include "sapphirereel/core/selector_matching.hpp"

#include <algorithm>
#include <tuple>
#include <type_traits>
#include <utility>

namespace sapphirereel {

namespace {

auto is_repeatable(
    configuration const& config,
    service_name const& name,
    std::string const& method) -> bool
{
    auto const found = config.services.find(name);
    if (found == config.services.end())
    {
        return true;
    }
    auto const& methods = found->second.non_idempotent_methods;
    return std::find(methods.begin(), methods.end(), method) == methods.end();
}

} // namespace

auto call_coordinator::create(
    call_coordinator_settings const& settings, daemon_id const& self)
    -> result<call_coordinator>
{
    auto once = at_most_once::create(self, settings.once);
    if (!once)
    {
        return tl::unexpected(once.error());
    }
    auto const budget = retry_budget::create(settings.retries, time_point{});
    if (!budget)
    {
        return tl::unexpected(budget.error());
    }
    return call_coordinator{settings, self, std::move(*once)};
}

call_coordinator::call_coordinator(
    call_coordinator_settings const& settings,
    daemon_id self,
    at_most_once once)
    : settings_(settings)
    , self_(std::move(self))
    , once_(std::move(once))
{}

auto call_coordinator::on(
    call_arrived const& arrived,
    decision_context const& context,
    time_point now) -> component_outputs
{
    ++counts_.arrived;
    auto outputs = component_outputs{};
    if (context.configuration_known)
    {
        process_arrival(arrived, context, now, outputs);
    }
    else
    {
        awaiting_configuration_.push_back(arrived);
    }
    return outputs;
}

auto call_coordinator::process_arrival(
    call_arrived const& arrived,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    if (auto const reason =
            poison_request_refusal(arrived.body, context.poison_detector))
    {
        refuse(arrived.attachment, *reason, outputs);
        return;
    }
    auto const repeatable = is_repeatable(
        context.config, arrived.facts.service, arrived.content.method);
    auto first = call{arrived, repeatable, {}, {}, arrived.deadline};
    auto const no_endpoint_now = !choose(first, context);
    if (repeatable)
    {
        if (!send(std::move(first), context, outputs))
        {
            refuse(
                arrived.attachment, no_endpoint_refusal(arrived, context),
                outputs);
        }
        return;
    }
    auto claim = call_arrival{
        arrived.attachment, arrived.name,    arrived.body, arrived.caller_named,
        arrived.birth,      arrived.arrived, std::nullopt};
    if (no_endpoint_now)
    {
        claim.declined = no_endpoint_refusal(arrived, context);
    }
    claimed_.try_emplace(arrived.name, arrived);
    perform(once_.on(claim, now), context, now, outputs);
}

auto call_coordinator::process_waiting(
    decision_context const& context, time_point now, component_outputs& outputs)
    -> void
{
    auto const waiting = std::exchange(awaiting_configuration_, {});
    for (auto const& one : waiting)
    {
        if (context.configuration_known)
        {
            process_arrival(one, context, now, outputs);
        }
        else if (now < one.deadline)
        {
            awaiting_configuration_.push_back(one);
        }
        else
        {
            refuse(
                one.attachment,
                {refusal_cause::log_unavailable, disposition::outcome_unknown,
                 "this daemon has not read the configuration yet",
                 settings_.retry_after},
                outputs);
        }
    }
}

auto call_coordinator::no_endpoint_refusal(
    call_arrived const& arrived, decision_context const& context) const
    -> refusal
{
    auto const unknown = unroutable(arrived.facts, context.config);
    return unknown.value_or(refusal{
        refusal_cause::no_endpoint, disposition::not_run,
        "every endpoint for this request is leaving", settings_.retry_after});
}

auto call_coordinator::on(
    caller_closed const& closed,
    decision_context const& context,
    time_point now) -> component_outputs
{
    // A call in progress continues: its answer is stored for a caller that
    // repeats the call with the same name.
    auto outputs = component_outputs{};
    perform(
        once_.on(caller_disconnected{closed.attachment}, now), context, now,
        outputs);
    return outputs;
}

auto call_coordinator::on(
    call_ended const& ended, decision_context const& context, time_point now)
    -> component_outputs
{
    auto const found = calls_.find(ended.number);
    if (found == calls_.end())
    {
        return {};
    }
    auto const call = std::move(found->second);
    calls_.erase(found);
    auto outputs = component_outputs{};
    if (ended.progress == call_progress::answered)
    {
        answer(call, ended.answer, context, now, outputs);
        return outputs;
    }
    retry(call, ended, context, now, outputs);
    return outputs;
}

auto call_coordinator::on(
    claim_page const& page, decision_context const& context, time_point now)
    -> component_outputs
{
    auto outputs = component_outputs{};
    perform(once_.on(page, now), context, now, outputs);
    return outputs;
}

auto call_coordinator::on(
    append_result const& outcome,
    decision_context const& context,
    time_point now) -> component_outputs
{
    auto outputs = component_outputs{};
    perform(once_.on(outcome, now), context, now, outputs);
    return outputs;
}

auto call_coordinator::on(
    claim_message_arrival const& arrived,
    decision_context const& context,
    time_point now) -> component_outputs
{
    auto outputs = component_outputs{};
    perform(once_.on(arrived, now), context, now, outputs);
    return outputs;
}

auto call_coordinator::on(
    live_daemons const& live, decision_context const& context, time_point now)
    -> component_outputs
{
    auto outputs = component_outputs{};
    perform(once_.on(live, now), context, now, outputs);
    return outputs;
}

auto call_coordinator::tick(decision_context const& context, time_point now)
    -> component_outputs
{
    auto outputs = component_outputs{};
    process_waiting(context, now, outputs);
    perform(once_.tick(now), context, now, outputs);
    return outputs;
}

auto call_coordinator::send(
    call call, decision_context const& context, component_outputs& outputs)
    -> bool
{
    auto const target = choose(call, context);
    if (!target)
    {
        return false;
    }
    auto const number = call_number{++last_number_};
    ++counts_.sent;
    call.endpoint = target->first;
    call.tried.insert(target->first);
    outputs.emplace_back(action{send_call{
        number, target->first, target->second, call.request.content,
        call.not_after}});
    calls_.emplace(number, std::move(call));
    return true;
}

auto call_coordinator::choose(call const& call, decision_context const& context)
    const -> std::optional<std::pair<endpoint_id, socket_address>>
{
    // Prefers the endpoint with the fewest calls from this daemon, then the
    // nearest one. The rendezvous weight keeps several daemons from all
    // choosing the same endpoint.
    using rank = std::tuple<std::size_t, int, std::uint64_t>;
    auto best = std::optional<std::pair<endpoint_id, socket_address>>{};
    auto best_rank = rank{};
    for (auto const& one : match(context.config, call.request.facts).endpoints)
    {
        auto const skipped = one.kind != service_kind::plain ||
                             call.tried.contains(one.id) ||
                             context.cluster.leaving.contains(one.id);
        if (skipped)
        {
            continue;
        }
        auto const distance =
            static_cast<int>(distance_to(context.cluster, one.zone));
        auto const candidate_rank = rank{
            load_of(one.id), distance,
            rendezvous_weight(one.id.str(), self_.str())};
        if (!best || candidate_rank < best_rank)
        {
            best = {one.id, one.address};
            best_rank = candidate_rank;
        }
    }
    return best;
}

auto call_coordinator::retry(
    call const& call,
    call_ended const& ended,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    // Every lost answer counts as a crash of the endpoint: a broken connection
    // and a crash are not distinguished here.
    if (ended.progress == call_progress::unknown)
    {
        report_crash(call.endpoint, call.request.body, context, now, outputs);
    }
    auto const poison =
        poison_request_refusal(call.request.body, context.poison_detector);
    if (poison && call.repeatable)
    {
        refuse(call.request.attachment, *poison, outputs);
        return;
    }
    auto const safe =
        call.repeatable || ended.progress == call_progress::not_sent;
    auto const in_time = now < call.not_after;
    auto const may_retry =
        safe && in_time && call.tried.size() < settings_.attempts &&
        budget_for(call.request.facts.service, now).try_spend(now);
    if (may_retry)
    {
        auto next = call;
        if (send(std::move(next), context, outputs))
        {
            ++counts_.retried;
            return;
        }
    }
    fail(call, ended.progress, context, now, outputs);
}

auto call_coordinator::fail(
    call const& call,
    call_progress progress,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto const may_have_run = progress == call_progress::unknown;
    auto const reason = refusal{
        refusal_cause::endpoint_lost,
        may_have_run ? disposition::final_answer : disposition::not_run,
        may_have_run ? "the endpoint was lost while it ran the call"
                     : "no endpoint took the call",
        settings_.retry_after};
    if (call.repeatable)
    {
        refuse(call.request.attachment, reason, outputs);
        return;
    }
    auto const ended = call_result{call.request.name, progress, {}, reason};
    perform(once_.on(ended, now), context, now, outputs);
}

auto call_coordinator::answer(
    call const& call,
    call_answer const& answer,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    ++counts_.answered;
    budget_for(call.request.facts.service, now).succeeded(now);
    report_completion(call.request.body, context, now, outputs);
    if (call.repeatable)
    {
        outputs.emplace_back(
            action{answer_caller{call.request.attachment, answer}});
        return;
    }
    auto const ended =
        call_result{call.request.name, call_progress::answered, answer, {}};
    perform(once_.on(ended, now), context, now, outputs);
}

auto call_coordinator::refuse(
    attachment_id attachment, refusal reason, component_outputs& outputs)
    -> void
{
    ++counts_.refused;
    outputs.emplace_back(action{refuse_caller{attachment, std::move(reason)}});
}

auto call_coordinator::perform(
    claim_outputs const& todo,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    for (auto const& one : todo)
    {
        std::visit(
            [&](auto const& what) {
                using type = std::remove_cvref_t<decltype(what)>;
                if constexpr (std::is_same_v<type, append_claims>)
                {
                    outputs.emplace_back(
                        action{append_record{what.token, what.batch}});
                }
                else if constexpr (std::is_same_v<type, dispatch_call>)
                {
                    dispatch(what, context, now, outputs);
                }
                else if constexpr (std::is_same_v<type, release_call>)
                {
                    claimed_.erase(what.name);
                }
                else if constexpr (std::is_same_v<type, reply_call>)
                {
                    outputs.emplace_back(
                        action{answer_caller{what.attachment, what.answer}});
                }
                else if constexpr (std::is_same_v<type, refuse_call>)
                {
                    refuse(what.attachment, what.reason, outputs);
                }
                else
                {
                    outputs.emplace_back(
                        daemon_message{what.to, claim_message{what.message}});
                }
            },
            one);
    }
}

auto call_coordinator::dispatch(
    dispatch_call const& wanted,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto const found = claimed_.find(wanted.name);
    require_invariant(
        found != claimed_.end(), "a dispatched call's content is kept");
    auto first = call{found->second, false, {}, {}, wanted.not_after};
    if (once_.may_dispatch(wanted.name, now) && send(first, context, outputs))
    {
        return;
    }
    fail(first, call_progress::not_sent, context, now, outputs);
}

auto call_coordinator::budget_for(service_name const& service, time_point now)
    -> retry_budget&
{
    auto const found = budgets_.find(service);
    if (found != budgets_.end())
    {
        return found->second;
    }
    // create() has validated the settings, so this budget is valid.
    auto made = retry_budget::create(settings_.retries, now);
    return budgets_.emplace(service, *made).first->second;
}

auto call_coordinator::load_of(endpoint_id const& endpoint) const -> std::size_t
{
    auto const at_endpoint = [&](auto const& entry) {
        return entry.second.endpoint == endpoint;
    };
    return static_cast<std::size_t>(
        std::count_if(calls_.begin(), calls_.end(), at_endpoint));
}

} // namespace sapphirereel
