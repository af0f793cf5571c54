#include "sapphirereel/core/membership.hpp"

#include "membership_send.hpp"
#include "random_subset.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirereel {

namespace {

/// Peers asked for the full member list after a pause.
constexpr std::size_t resync_fanout_after_pause = 3;

/// Most addresses asked to join at once.
constexpr std::size_t max_join_requests = 3;

} // namespace

auto membership::receive(member const& from, join_request const&, time_point)
    -> void
{
    join_answer answer;
    answer.members.push_back(self_);
    for (auto const& [id, known] : peers_)
    {
        if (known.facts.state != member_state::dead)
        {
            answer.members.push_back(known.facts);
        }
    }
    send(from.peer_address, std::move(answer));
}

auto membership::receive(
    member const&, join_answer const& answer, time_point now) -> void
{
    for (auto const& facts : answer.members)
    {
        apply_facts(facts, now);
    }
}

auto membership::rejoin(time_point now) -> void
{
    if (next_rejoin_ && now < *next_rejoin_)
    {
        return;
    }
    next_rejoin_ = now + settings_.rejoin_period;
    auto missing = missing_addresses();
    for (std::size_t i = 0; i < max_join_requests && !missing.empty(); ++i)
    {
        auto const chosen =
            static_cast<std::ptrdiff_t>(random_() % missing.size());
        send(missing[static_cast<std::size_t>(chosen)], join_request{});
        missing.erase(missing.begin() + chosen);
    }
}

// Addresses where a daemon is expected but none is known to be live: listed
// VMs, and addresses of dead members, since a network partition looks like a
// crash.
auto membership::missing_addresses() const -> std::vector<socket_address>
{
    std::set<socket_address> reached{self_.peer_address};
    std::set<socket_address> expected;
    for (auto const& [id, known] : peers_)
    {
        auto const dead = known.facts.state == member_state::dead;
        (dead ? expected : reached).insert(known.facts.peer_address);
    }
    for (auto const& vm : vms_)
    {
        if (vm.state == vm_state::live)
        {
            expected.insert(socket_address{vm.ip, settings_.peer_port});
        }
    }
    std::vector<socket_address> missing;
    std::set_difference(
        expected.begin(), expected.end(), reached.begin(), reached.end(),
        std::back_inserter(missing));
    return missing;
}

// Requests the full member list from a peer when views have differed for longer
// than gossip needs.
auto membership::sync(membership_message const& message, time_point now) -> void
{
    if (message.view == view_digest())
    {
        differs_since_.reset();
        return;
    }
    differs_since_ = differs_since_.value_or(now);
    auto const settled = now - *differs_since_ >= settings_.settle_time;
    if (settled && now >= next_sync_)
    {
        next_sync_ = now + settings_.sync_period;
        send(message.sender.peer_address, join_request{});
    }
}

// Withdraws this daemon's own suspicions: answers were missed because this
// process was paused, not because members failed.
auto membership::resume_after_pause(time_point now) -> void
{
    stale_until_ = now + settings_.lone_opinion_time;
    probe_.reset();
    relayed_.clear();
    for (auto& [id, known] : peers_)
    {
        if (known.facts.state != member_state::dead)
        {
            known.suspected_by.erase(self_.id);
            known.state_since = now;
        }
    }
    auto others = live();
    std::erase(others, self_.id);
    for (auto const& id :
         random_subset(std::move(others), resync_fanout_after_pause, random_))
    {
        send(peers_.at(id).facts.peer_address, join_request{});
    }
}

} // namespace sapphirereel
