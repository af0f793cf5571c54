/// \file
/// Defines the steps of basic_at_most_once that answer or refuse waiting
/// callers, and its periodic timeout handling.
#ifndef SAPPHIREREEL_CORE_INTERNAL_AT_MOST_ONCE_CALLER_STEPS_HPP
#define SAPPHIREREEL_CORE_INTERNAL_AT_MOST_ONCE_CALLER_STEPS_HPP

#include "sapphirereel/core/at_most_once.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel {

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::on(
    caller_disconnected const& closed, time_point now) -> claim_outputs
{
    for (auto& [name, call] : calls_)
    {
        std::erase_if(
            call.callers, [&closed](internal::waiting_caller const& caller) {
                return caller.attachment == closed.attachment;
            });
    }
    return flush(now);
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::on(
    live_daemons const& live, time_point now) -> claim_outputs
{
    live_ = live.daemons;
    return flush(now);
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::tick(time_point now) -> claim_outputs
{
    answer_cache_.evict_expired(now);
    std::vector<digest> names;
    for (auto const& [name, call] : calls_)
    {
        names.push_back(name);
    }
    for (auto const& name : names)
    {
        tick_call(calls_.at(name), now);
    }
    return flush(now);
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::tick_call(
    internal::open_call& call, time_point now) -> void
{
    using internal::call_phase;
    refuse_expired_callers(call, now);
    switch (call.phase)
    {
    case call_phase::claiming:
        tick_claiming(call, now);
        break;
    case call_phase::refusing:
        if (now - call.opened > settings_.retention)
        {
            finish_with_refusal(
                call.name, unknown_outcome(refusal_cause::log_unavailable));
        }
        break;
    case call_phase::dispatched:
        break;
    case call_phase::replicating:
        if (now >= call.replicate_until)
        {
            finish_with_own_answer(call.name, call_answer{*call.answer}, now);
        }
        break;
    case call_phase::querying:
        if (call.callers.empty())
        {
            outputs_.emplace_back(release_call{call.name});
            calls_.erase(digest{call.name});
        }
        else if (now >= call.next_query)
        {
            query_peers(call, now);
        }
        break;
    }
}

// If the log is unavailable, the callers are refused at once (see
// refuse_expired_callers), while the claim itself is withdrawn only after its
// dispatch window has passed.
template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::tick_claiming(
    internal::open_call& call, time_point now) -> void
{
    if (call.claim_submitted_at && !within_window(call, now))
    {
        withdraw(call, unknown_outcome(refusal_cause::deadline));
        return;
    }
    auto const given_up = call.callers.empty();
    if (given_up && (!call.claim_submitted_at || !call.caller_named))
    {
        queue_.discard(claim_kind::run, call.name);
        finish_with_refusal(
            call.name, unknown_outcome(refusal_cause::deadline));
    }
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::refuse_expired_callers(
    internal::open_call& call, time_point now) -> void
{
    using internal::call_phase;
    auto const needs_log = call.phase == call_phase::claiming ||
                           call.phase == call_phase::refusing;
    auto const without_log = needs_log && log_timed_out(now);
    auto const cause =
        without_log ? refusal_cause::log_unavailable : refusal_cause::deadline;
    auto reason = unknown_outcome(cause);
    // Only this daemon can run a call whose name it generated itself.
    if (!call.caller_named && needs_log)
    {
        reason = not_run(reason);
    }
    auto const expired = [without_log, now](auto const& caller) {
        return without_log || now >= caller.wait_until;
    };
    for (auto const& caller : call.callers)
    {
        if (expired(caller))
        {
            refuse(caller.attachment, reason);
        }
    }
    std::erase_if(call.callers, expired);
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::reply(
    call_attachment attachment, call_answer const& answer) -> void
{
    ++counts_.replied;
    outputs_.emplace_back(reply_call{attachment, answer});
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::refuse(
    call_attachment attachment, refusal reason) -> void
{
    switch (reason.outcome)
    {
    case disposition::not_run:
        ++counts_.not_run;
        break;
    case disposition::outcome_unknown:
        ++counts_.outcome_unknown;
        break;
    case disposition::final_answer:
        ++counts_.final_refusals;
        break;
    }
    outputs_.emplace_back(refuse_call{attachment, std::move(reason)});
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::finish_with_answer(
    digest const& name, call_answer const& answer) -> void
{
    auto const call = calls_.extract(name);
    for (auto const& caller : call.mapped().callers)
    {
        reply(caller.attachment, answer);
    }
    outputs_.emplace_back(release_call{call.key()});
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::finish_with_refusal(
    digest const& name, refusal const& reason) -> void
{
    auto const call = calls_.extract(name);
    for (auto const& caller : call.mapped().callers)
    {
        refuse(caller.attachment, reason);
    }
    outputs_.emplace_back(release_call{call.key()});
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::finish_without_answer(
    digest const& name, bool done) -> void
{
    auto reason = unknown_outcome(refusal_cause::endpoint_lost);
    if (done)
    {
        reason.outcome = disposition::final_answer;
        reason.message = "the call was run; its answer is no longer kept";
    }
    finish_with_refusal(name, reason);
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::unknown_outcome(refusal_cause cause) const
    -> refusal
{
    return refusal{
        cause, disposition::outcome_unknown,
        "whether the call was run is not known here; ask again by its name",
        settings_.retry_after};
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::not_run(refusal reason) const -> refusal
{
    if (reason.outcome != disposition::not_run)
    {
        reason.message = "the call was not run and will not be";
    }
    reason.outcome = disposition::not_run;
    return reason;
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::name_reused() const -> refusal
{
    return refusal{
        refusal_cause::name_reused, disposition::final_answer,
        "this request name was used for another call; choose a new one",
        duration::zero()};
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::live_daemons_except(
    daemon_id const& left_out) const -> std::vector<daemon_id>
{
    auto daemons = live_;
    if (std::find(daemons.begin(), daemons.end(), self_) == daemons.end())
    {
        daemons.push_back(self_);
    }
    std::erase(daemons, left_out);
    return daemons;
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::next_offset() const -> log_offset
{
    return table_.next_offset();
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::open_calls() const -> std::size_t
{
    return calls_.size();
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::known_names() const -> std::size_t
{
    return table_.size();
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::counts() const
    -> at_most_once_counts const&
{
    return counts_;
}

} // namespace sapphirereel

#endif
