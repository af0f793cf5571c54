#include "sapphirereel/core/placement.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel {
namespace {

auto require_positive(findings& wrong, bool holds, char const* field) -> void
{
    if (!holds)
    {
        wrong.push_back(
            {.where = {.source = "placement", .field = field},
             .message = std::string(field) + " is not positive",
             .mend = "give a value above 0"});
    }
}

} // namespace

auto placement::create(placement_settings const& settings, std::uint64_t seed)
    -> result<placement>
{
    auto wrong = findings{};
    require_positive(wrong, settings.asked_at_once > 0, "asked_at_once");
    require_positive(wrong, settings.asked_in_all > 0, "asked_in_all");
    require_positive(
        wrong, settings.reply_timeout > duration{0}, "reply_timeout");
    if (!wrong.empty())
    {
        return tl::unexpected(std::move(wrong));
    }
    return placement{settings, seed};
}

auto placement::begin(
    stream_offer const& offer, placement_candidates candidates, time_point now)
    -> placement_actions
{
    auto actions = placement_actions{};
    if (searches_.contains(offer.run))
    {
        return actions;
    }
    auto& started = searches_[offer.run];
    started.offer = offer;
    started.wait_until = now + std::chrono::milliseconds(offer.wait_ms);
    started.remaining = ordered_candidates(
        std::move(candidates), offer.prompt_tokens, settings_.weights,
        generator_);
    if (advance(started, now, actions))
    {
        searches_.erase(offer.run);
    }
    return actions;
}

auto placement::replied(
    daemon_id const& home, reserve_reply_message const& reply, time_point now)
    -> placement_actions
{
    auto actions = placement_actions{};
    auto const found = searches_.find(reply.run);
    if (found == searches_.end())
    {
        // All other reservations were released when the search ended.
        return actions;
    }
    for (auto& sent : found->second.inquiries)
    {
        if (sent.candidate.home == home &&
            sent.candidate.replica == reply.replica)
        {
            sent.reply = reply;
        }
    }
    if (advance(found->second, now, actions))
    {
        searches_.erase(found);
    }
    return actions;
}

auto placement::tick(time_point now) -> placement_actions
{
    auto actions = placement_actions{};
    for (auto it = searches_.begin(); it != searches_.end();)
    {
        auto& current = it->second;
        if (current.deadline > now)
        {
            ++it;
            continue;
        }
        for (auto& sent : current.inquiries)
        {
            sent.overdue = !sent.reply.has_value();
        }
        it = advance(current, now, actions) ? searches_.erase(it) : ++it;
    }
    return actions;
}

auto placement::cancel(run_id const& run) -> placement_actions
{
    auto actions = placement_actions{};
    auto const found = searches_.find(run);
    if (found == searches_.end())
    {
        return actions;
    }
    release_all_but(found->second, nullptr, actions);
    searches_.erase(found);
    return actions;
}

auto placement::next_timeout() const -> std::optional<time_point>
{
    auto next = std::optional<time_point>{};
    for (auto const& [run, current] : searches_)
    {
        next = next ? std::min(*next, current.deadline) : current.deadline;
    }
    return next;
}

auto placement::ask_next(
    search& current, time_point now, placement_actions& actions) -> bool
{
    auto asked_now = std::uint32_t{0};
    while (!current.remaining.empty() && asked_now < settings_.asked_at_once &&
           current.inquiries.size() < settings_.asked_in_all)
    {
        auto candidate = std::move(current.remaining.front());
        current.remaining.erase(current.remaining.begin());
        if (candidate.home.empty())
        {
            current.without_home.push_back(std::move(candidate));
            continue;
        }
        ++asked_now;
        actions.emplace_back(
            send_reserve{candidate.home, {candidate.replica, current.offer}});
        current.inquiries.push_back(
            {std::move(candidate), std::nullopt, false});
    }
    current.deadline = now + settings_.reply_timeout;
    return asked_now > 0;
}

auto placement::advance(
    search& current, time_point now, placement_actions& actions) -> bool
{
    auto const open = [](inquiry const& sent) {
        return !sent.reply && !sent.overdue;
    };
    if (std::any_of(current.inquiries.begin(), current.inquiries.end(), open))
    {
        return false;
    }
    if (auto const* best = best_accepted(current))
    {
        release_all_but(current, best, actions);
        actions.emplace_back(stream_placed{
            current.offer.run, best->candidate.replica, best->candidate.home});
        return true;
    }
    if (ask_next(current, now, actions) || wait_in_queue(current, now))
    {
        return false;
    }
    release_all_but(current, nullptr, actions);
    actions.push_back(fallback_outcome(current));
    return true;
}

auto placement::wait_in_queue(search& current, time_point now) -> bool
{
    auto const queued = [](inquiry const& sent) {
        return sent.reply && sent.reply->queued;
    };
    current.deadline = current.wait_until;
    return now < current.wait_until &&
           std::any_of(
               current.inquiries.begin(), current.inquiries.end(), queued);
}

auto placement::fallback_outcome(search const& current) -> placement_action
{
    auto outcome = stream_not_placed{.run = current.offer.run};
    auto any_refused = false;
    auto unanswered = current.without_home;
    for (auto const& sent : current.inquiries)
    {
        if (!sent.reply)
        {
            unanswered.push_back(sent.candidate);
            continue;
        }
        auto const hint = std::chrono::milliseconds(sent.reply->retry_after_ms);
        if (!any_refused || hint < outcome.retry_after)
        {
            outcome.retry_after = hint;
            outcome.cause = sent.reply->cause;
        }
        any_refused = true;
    }
    if (!any_refused && !unanswered.empty())
    {
        return stream_placed{
            current.offer.run, unanswered.front().replica, daemon_id{}};
    }
    outcome.no_candidate = !any_refused;
    return outcome;
}

auto placement::best_accepted(search const& current) const -> inquiry const*
{
    auto const* best = static_cast<inquiry const*>(nullptr);
    auto best_score = 0.0;
    for (auto const& sent : current.inquiries)
    {
        if (!sent.reply || !sent.reply->accepted)
        {
            continue;
        }
        auto const score =
            sent.reply->headroom -
            candidate_cost(
                sent.candidate, current.offer.prompt_tokens, settings_.weights);
        if (best == nullptr || score > best_score)
        {
            best = &sent;
            best_score = score;
        }
    }
    return best;
}

auto placement::release_all_but(
    search const& current, inquiry const* kept, placement_actions& actions)
    -> void
{
    for (auto const& sent : current.inquiries)
    {
        auto const may_hold =
            !sent.reply || sent.reply->accepted || sent.reply->queued;
        if (&sent == kept || !may_hold)
        {
            continue;
        }
        actions.emplace_back(send_release{
            sent.candidate.home,
            {.replica = sent.candidate.replica,
             .run = current.offer.run,
             .output_tokens = current.offer.output_tokens}});
    }
}

} // namespace sapphirereel
