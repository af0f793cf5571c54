/// \file
/// Defines the steps of basic_at_most_once from a caller's arrival to the
/// dispatch or refusal of its call.
#ifndef SAPPHIREREEL_CORE_INTERNAL_AT_MOST_ONCE_CLAIM_STEPS_HPP
#define SAPPHIREREEL_CORE_INTERNAL_AT_MOST_ONCE_CLAIM_STEPS_HPP

#include "sapphirereel/core/at_most_once.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sapphirereel {

namespace internal {

inline auto minus(wall_time time, duration span) -> wall_time
{
    using std::chrono::milliseconds;
    auto const ms = std::chrono::duration_cast<milliseconds>(span).count();
    return wall_time{time.milliseconds - ms};
}

/// Creation time of the name, or nothing if the name encodes none or one that
/// lies in the future by more than the clock skew.
inline auto plausible_creation_time(
    call_arrival const& arrival, duration clock_skew)
    -> std::optional<wall_time>
{
    auto const limit = minus(arrival.arrived, -clock_skew);
    return arrival.creation_time && *arrival.creation_time <= limit
               ? arrival.creation_time
               : std::nullopt;
}

/// Lower bound of the log time of any entry with this name.
inline auto earliest_use(
    call_arrival const& arrival, at_most_once_settings const& settings)
    -> wall_time
{
    auto const skew = settings.clock_skew;
    if (!arrival.caller_named)
    {
        return minus(arrival.arrived, skew);
    }
    auto const first_use = minus(arrival.arrived, settings.name_lifetime);
    auto const creation_time = plausible_creation_time(arrival, skew);
    return minus(creation_time.value_or(first_use), skew);
}

inline auto name_expired(
    call_arrival const& arrival, at_most_once_settings const& settings) -> bool
{
    auto const creation_time =
        plausible_creation_time(arrival, settings.clock_skew);
    auto const limit = minus(arrival.arrived, settings.name_lifetime);
    return arrival.caller_named && creation_time && *creation_time < limit;
}

} // namespace internal

template <class Mechanisms>
basic_at_most_once<Mechanisms>::basic_at_most_once(
    daemon_id self, at_most_once_settings const& settings)
    : self_(self)
    , settings_(settings)
    , table_(settings.retention, settings.clock_skew)
    , queue_(std::move(self), settings)
    , answer_cache_(settings.kept_bytes, settings.retention)
{}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::create(
    daemon_id self, at_most_once_settings settings)
    -> result<basic_at_most_once>
{
    auto found = check_at_most_once_settings(settings);
    if (self.empty())
    {
        found.push_back(finding{
            place{"at_most_once", 0, "self"}, "the daemon has no id",
            "give each process its own id"});
    }
    if (!found.empty())
    {
        return tl::unexpected(std::move(found));
    }
    return basic_at_most_once{std::move(self), settings};
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::on(
    call_arrival const& arrival, time_point now) -> claim_outputs
{
    ++counts_.arrived;
    auto const open = calls_.find(arrival.name);
    if (open != calls_.end())
    {
        add_caller(open->second, arrival, now);
    }
    else if (!answer_at_once(arrival, now))
    {
        start(arrival, now);
    }
    else
    {
        outputs_.emplace_back(release_call{arrival.name});
    }
    return flush(now);
}

// Returns true if the caller was answered from the cache or refused.
template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::answer_at_once(
    call_arrival const& arrival, time_point now) -> bool
{
    auto const* cached = answer_cache_.find(arrival.name);
    if (cached == nullptr)
    {
        auto const known = table_.find(arrival.name).has_value();
        return !known && refuse_before_claim(arrival, now);
    }
    if (Mechanisms::body_match && cached->body != arrival.body)
    {
        refuse(arrival.attachment, name_reused());
    }
    else
    {
        reply(arrival.attachment, cached->answer);
    }
    return true;
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::start(
    call_arrival const& arrival, time_point now) -> void
{
    auto& call = calls_[arrival.name];
    call.name = arrival.name;
    call.body = arrival.body;
    call.caller_named = arrival.caller_named;
    call.opened = now;
    call.earliest_use = internal::earliest_use(arrival, settings_);
    add_caller(call, arrival, now);
    if (table_.find(call.name))
    {
        resolve_claim(arrival.name, now);
    }
    else if (arrival.declined)
    {
        withdraw(call, *arrival.declined);
    }
    else
    {
        queue_.push(claim_entry{claim_kind::run, call.name, call.body});
    }
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::add_caller(
    internal::open_call& call, call_arrival const& arrival, time_point now)
    -> void
{
    if (Mechanisms::body_match && call.body != arrival.body)
    {
        refuse(arrival.attachment, name_reused());
        return;
    }
    call.callers.push_back({arrival.attachment, now + settings_.call_wait});
}

// Returns true if the caller was refused. A caller may send a name that it
// chose to another daemon as well, before or after, so while the log is
// unavailable this daemon cannot determine the outcome.
template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::refuse_before_claim(
    call_arrival const& arrival, time_point now) -> bool
{
    auto const not_run_at_once =
        !arrival.caller_named || !Mechanisms::refuse_entries;
    if (arrival.declined && not_run_at_once)
    {
        refuse(arrival.attachment, not_run(*arrival.declined));
        return true;
    }
    if (Mechanisms::name_lifetime && internal::name_expired(arrival, settings_))
    {
        refuse(
            arrival.attachment, unknown_outcome(refusal_cause::name_expired));
        return true;
    }
    if (log_timed_out(now))
    {
        auto reason = unknown_outcome(refusal_cause::log_unavailable);
        refuse(arrival.attachment, not_run_at_once ? not_run(reason) : reason);
        return true;
    }
    auto const since = internal::earliest_use(arrival, settings_);
    if (Mechanisms::complete_log && arrival.caller_named &&
        !table_.complete_since(since))
    {
        refuse(
            arrival.attachment, unknown_outcome(refusal_cause::name_expired));
        return true;
    }
    return false;
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::log_timed_out(time_point now) const -> bool
{
    auto const silent =
        !last_page_ || now - *last_page_ > settings_.log_timeout;
    return silent || queue_.stalled(now, settings_.log_timeout);
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::on(claim_page const& page, time_point now)
    -> claim_outputs
{
    last_page_ = now;
    for (auto const& name : table_.apply(page))
    {
        resolve_claim(name, now);
    }
    return flush(now);
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::on(
    append_result const& answer, time_point now) -> claim_outputs
{
    auto const confirmed = queue_.on(answer, now);
    if constexpr (!Mechanisms::read_back)
    {
        for (auto const& entry : confirmed)
        {
            auto const open = calls_.find(entry.name);
            if (open != calls_.end() && entry.kind == claim_kind::run &&
                open->second.phase == internal::call_phase::claiming)
            {
                dispatch(open->second);
            }
        }
    }
    return flush(now);
}

// Applies the log's state of a name that has an open call here.
template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::resolve_claim(
    digest const& name, time_point now) -> void
{
    using internal::call_phase;
    auto const open = calls_.find(name);
    auto const state = table_.find(name);
    if (open == calls_.end() || !state)
    {
        return;
    }
    auto& call = open->second;
    if (call.phase == call_phase::dispatched ||
        call.phase == call_phase::replicating)
    {
        return;
    }
    auto const other_body = !state->body.empty() && state->body != call.body;
    if (state->refused)
    {
        finish_not_run(call, *state);
    }
    else if (Mechanisms::body_match && other_body)
    {
        queue_.discard(claim_kind::run, name);
        queue_.discard(claim_kind::refuse, name);
        finish_with_refusal(name, name_reused());
    }
    else if (state->holder == self_)
    {
        resolve_own_claim(call, *state, now);
    }
    else if (call.phase != call_phase::querying)
    {
        start_query(call, now);
    }
}

// An entry that this daemon wrote for a call with no submitted claim comes from
// an earlier call with the same name, which must not be sent again.
template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::resolve_own_claim(
    internal::open_call& call, claim_state const& state, time_point now) -> void
{
    queue_.discard(claim_kind::run, call.name);
    if (call.phase == internal::call_phase::refusing)
    {
        return;
    }
    if (!call.claim_submitted_at)
    {
        finish_without_answer(call.name, state.done);
    }
    else if (!log_complete_for(call))
    {
        finish_with_refusal(
            call.name, unknown_outcome(refusal_cause::log_unavailable));
    }
    else if (!within_window(call, now))
    {
        withdraw(call, unknown_outcome(refusal_cause::deadline));
    }
    else
    {
        dispatch(call);
    }
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::log_complete_for(
    internal::open_call const& call) const -> bool
{
    return !Mechanisms::complete_log || !call.caller_named ||
           table_.complete_since(call.earliest_use);
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::within_window(
    internal::open_call const& call, time_point now) const -> bool
{
    return !Mechanisms::dispatch_window ||
           (call.claim_submitted_at &&
            now - *call.claim_submitted_at <= settings_.dispatch_window);
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::dispatch(internal::open_call& call) -> void
{
    call.phase = internal::call_phase::dispatched;
    ++counts_.dispatched;
    auto const not_after = *call.claim_submitted_at + settings_.dispatch_window;
    outputs_.emplace_back(dispatch_call{call.name, not_after});
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::may_dispatch(
    digest const& name, time_point now) const -> bool
{
    auto const open = calls_.find(name);
    return open != calls_.end() &&
           open->second.phase == internal::call_phase::dispatched &&
           within_window(open->second, now);
}

// The call stays open until its refuse entry is read back: if it were dropped
// earlier, a retry by the caller could be dispatched between the two entries.
template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::withdraw(
    internal::open_call& call, refusal reason) -> void
{
    queue_.discard(claim_kind::run, call.name);
    if (!call.caller_named || !Mechanisms::refuse_entries)
    {
        finish_with_refusal(call.name, not_run(std::move(reason)));
        return;
    }
    call.phase = internal::call_phase::refusing;
    call.reason = not_run(std::move(reason));
    queue_.push(
        claim_entry{claim_kind::refuse, call.name, {}, call.reason.cause});
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::finish_not_run(
    internal::open_call& call, claim_state const& state) -> void
{
    queue_.discard(claim_kind::run, call.name);
    queue_.discard(claim_kind::refuse, call.name);
    if (!log_complete_for(call))
    {
        finish_with_refusal(
            call.name, unknown_outcome(refusal_cause::log_unavailable));
        return;
    }
    auto const own = call.phase == internal::call_phase::refusing;
    auto reason = unknown_outcome(state.cause);
    reason.message = "this request name was refused before";
    finish_with_refusal(call.name, own ? call.reason : not_run(reason));
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::record_submission(
    append_claims const& append, time_point now) -> void
{
    ++counts_.appends;
    counts_.entries_appended += append.batch.entries.size();
    for (auto const& entry : append.batch.entries)
    {
        auto const open = calls_.find(entry.name);
        if (open != calls_.end() && entry.kind == claim_kind::run &&
            !open->second.claim_submitted_at)
        {
            open->second.claim_submitted_at = now;
        }
    }
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::flush(time_point now) -> claim_outputs
{
    if (auto append = queue_.next_append(now))
    {
        record_submission(*append, now);
        outputs_.emplace_back(std::move(*append));
    }
    return std::exchange(outputs_, {});
}

} // namespace sapphirereel

#endif
