/// \file
/// Defines the steps of basic_at_most_once from a call's outcome to the
/// replication of its answer, and the queries for an answer held by another
/// daemon.
#ifndef SAPPHIREREEL_CORE_INTERNAL_AT_MOST_ONCE_ANSWER_STEPS_HPP
#define SAPPHIREREEL_CORE_INTERNAL_AT_MOST_ONCE_ANSWER_STEPS_HPP

#include "sapphirereel/core/at_most_once.hpp"
#include "sapphirereel/core/rendezvous.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace sapphirereel {

namespace internal {

/// Maximum number of peers besides the holder that are queried for an answer.
/// More than one is queried because the set of live daemons may have changed
/// since the copy was placed.
inline constexpr std::size_t max_queried_peers = 3;

} // namespace internal

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::on(
    call_result const& outcome, time_point now) -> claim_outputs
{
    auto const open = calls_.find(outcome.name);
    if (open == calls_.end() ||
        open->second.phase != internal::call_phase::dispatched)
    {
        return flush(now);
    }
    auto& call = open->second;
    switch (outcome.progress)
    {
    case call_progress::answered:
        store(call, outcome.answer, now);
        break;
    case call_progress::not_sent:
        withdraw(call, outcome.reason);
        break;
    case call_progress::unknown:
        finish_with_refusal(
            call.name, unknown_outcome(refusal_cause::endpoint_lost));
        break;
    }
    return flush(now);
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::store(
    internal::open_call& call, call_answer const& answer, time_point now)
    -> void
{
    queue_.push_deferred(claim_entry{claim_kind::done, call.name, {}}, now);
    auto const peers =
        rendezvous_order(call.name.str(), live_daemons_except(self_));
    if (peers.empty() || !Mechanisms::answer_copy)
    {
        finish_with_own_answer(call.name, answer, now);
        return;
    }
    call.phase = internal::call_phase::replicating;
    call.answer = answer;
    call.replicate_until = now + settings_.keep_wait;
    outputs_.emplace_back(send_claim_message{
        peers.front(), keep_answer{call.name, call.body, answer}});
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::finish_with_own_answer(
    digest const& name, call_answer const& answer, time_point now) -> void
{
    answer_cache_.store(cached_answer{name, calls_.at(name).body, answer}, now);
    finish_with_answer(name, answer);
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::start_query(
    internal::open_call& call, time_point now) -> void
{
    queue_.discard(claim_kind::run, call.name);
    queue_.discard(claim_kind::refuse, call.name);
    call.phase = internal::call_phase::querying;
    call.reports.clear();
    query_peers(call, now);
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::query_peers(
    internal::open_call& call, time_point now) -> void
{
    if (auto const* cached = answer_cache_.find(call.name))
    {
        finish_with_cached_answer(call, cached->body, cached->answer);
        return;
    }
    auto const targets = query_targets(call.name);
    auto const absent = [&call](daemon_id const& target) {
        auto const report = call.reports.find(target);
        return report != call.reports.end() &&
               report->second == answer_state::absent;
    };
    if (std::all_of(targets.begin(), targets.end(), absent))
    {
        auto const state = table_.find(call.name);
        finish_without_answer(call.name, state && state->done);
        return;
    }
    call.reports.clear();
    call.next_query = now + settings_.query_interval;
    for (auto const& target : targets)
    {
        outputs_.emplace_back(
            send_claim_message{target, answer_query{call.name}});
    }
}

// Returns the holder, if it is live, and the peers that may have a copy.
template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::query_targets(digest const& name) const
    -> std::vector<daemon_id>
{
    auto const state = table_.find(name);
    if (!state)
    {
        return {};
    }
    auto targets =
        rendezvous_order(name.str(), live_daemons_except(state->holder));
    targets.resize(std::min(targets.size(), internal::max_queried_peers));
    std::erase(targets, self_);
    if (std::find(live_.begin(), live_.end(), state->holder) != live_.end())
    {
        targets.push_back(state->holder);
    }
    return targets;
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::on(
    claim_message_arrival const& arrival, time_point now) -> claim_outputs
{
    std::visit(
        [this, &arrival, now](auto const& message) {
            this->receive(arrival.from, message, now);
        },
        arrival.message);
    return flush(now);
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::receive(
    daemon_id const& from, keep_answer const& message, time_point now) -> void
{
    answer_cache_.store(
        cached_answer{message.name, message.body, message.answer}, now);
    outputs_.emplace_back(send_claim_message{from, answer_kept{message.name}});
    auto const open = calls_.find(message.name);
    if (open != calls_.end() &&
        open->second.phase == internal::call_phase::querying)
    {
        finish_with_cached_answer(open->second, message.body, message.answer);
    }
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::receive(
    daemon_id const&, answer_kept const& message, time_point now) -> void
{
    auto const open = calls_.find(message.name);
    if (open != calls_.end() &&
        open->second.phase == internal::call_phase::replicating)
    {
        finish_with_own_answer(
            message.name, call_answer{*open->second.answer}, now);
    }
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::receive(
    daemon_id const& from, answer_query const& message, time_point) -> void
{
    answer_report report;
    report.name = message.name;
    auto const open = calls_.find(message.name);
    if (auto const* cached = answer_cache_.find(message.name))
    {
        report.state = answer_state::found;
        report.body = cached->body;
        report.answer = cached->answer;
    }
    else if (
        open != calls_.end() &&
        open->second.phase != internal::call_phase::querying)
    {
        report.state = answer_state::running;
    }
    outputs_.emplace_back(send_claim_message{from, std::move(report)});
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::receive(
    daemon_id const& from, answer_report const& message, time_point) -> void
{
    auto const open = calls_.find(message.name);
    if (open == calls_.end() ||
        open->second.phase != internal::call_phase::querying)
    {
        return;
    }
    if (message.state != answer_state::found)
    {
        open->second.reports[from] = message.state;
    }
    else
    {
        finish_with_cached_answer(open->second, message.body, message.answer);
    }
}

template <class Mechanisms>
auto basic_at_most_once<Mechanisms>::finish_with_cached_answer(
    internal::open_call const& call,
    digest const& body,
    call_answer const& answer) -> void
{
    if (Mechanisms::body_match && body != call.body)
    {
        finish_with_refusal(call.name, name_reused());
        return;
    }
    finish_with_answer(call.name, answer);
}

} // namespace sapphirereel

#endif
