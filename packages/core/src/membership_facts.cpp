#include "sapphirereel/core/membership.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel {

namespace {

/// Most suspicions about one member, by different daemons, that are gossiped.
constexpr std::size_t max_suspicions_per_member = 3;

/// Expected number of daemons that probe a newly suspected member at once.
constexpr std::size_t immediate_probes_per_suspicion = 6;

/// Raises the incarnation of this daemon so that its facts override a report of
/// its death or a suspicion.
auto refute(member& self, std::uint32_t reported, gossip_queue& gossip) -> void
{
    if (reported < self.incarnation)
    {
        return;
    }
    self.incarnation = reported + 1;
    gossip.add(self);
}

} // namespace

// A message proves that its sender is alive and that an earlier process at the
// same address is not.
auto membership::record_contact(member const& sender, time_point now) -> void
{
    apply_facts(sender, now);
    auto& sender_record = peers_.at(sender.id);
    sender_record.last_contact = now;
    if (sender_record.suspected_by.erase(self_.id) > 0)
    {
        announce(sender_record);
    }
    if (sender_record.facts.state == member_state::dead)
    {
        // The gossip makes the sender refute with a higher incarnation.
        gossip_.add(sender_record.facts);
    }
    for (auto& [id, other] : peers_)
    {
        auto const replaced = id != sender.id &&
                              other.facts.peer_address == sender.peer_address &&
                              other.facts.state != member_state::dead;
        if (replaced)
        {
            set_state(other, member_state::dead, now);
        }
    }
}

auto membership::apply_gossip(gossip const& received, time_point now) -> void
{
    for (auto const& facts : received.members)
    {
        apply_facts(facts, now);
    }
    for (auto const& report : received.suspicions)
    {
        apply_suspicion(report, now);
    }
    for (auto const& fact : received.in_force)
    {
        auto const known = peers_.find(fact.id);
        if (known != peers_.end() &&
            fact.in_force > known->second.facts.in_force)
        {
            known->second.facts.in_force = fact.in_force;
            gossip_.add(fact);
        }
    }
}

auto membership::apply_facts(member const& facts, time_point now) -> void
{
    if (facts.id == self_.id)
    {
        refute_if_declared_dead(facts);
        return;
    }
    auto const [found, added] = peers_.try_emplace(facts.id);
    auto& known = found->second;
    auto const rank = std::pair{facts.incarnation, facts.state};
    auto const known_rank =
        std::pair{known.facts.incarnation, known.facts.state};
    auto const in_force = std::max(facts.in_force, known.facts.in_force);
    if (added || rank > known_rank)
    {
        known.facts = facts;
        known.state_since = now;
        known.suspected_by.clear();
        known.facts.in_force = in_force;
        gossip_.add(known.facts);
        announce(known);
    }
    known.facts.in_force = in_force;
}

auto membership::refute_if_declared_dead(member const& facts) -> void
{
    if (facts.state == member_state::dead)
    {
        refute(self_, facts.incarnation, gossip_);
    }
}

auto membership::apply_suspicion(suspicion const& report, time_point now)
    -> void
{
    if (report.subject == self_.id)
    {
        refute(self_, report.incarnation, gossip_);
        return;
    }
    auto const found = peers_.find(report.subject);
    if (found == peers_.end() || report.accuser == self_.id ||
        report.incarnation != found->second.facts.incarnation)
    {
        return;
    }
    auto& target = found->second;
    if (target.suspected_by.contains(report.accuser))
    {
        return;
    }
    add_suspicion(target, report.accuser, now);
    // Only a few daemons probe the suspected member at once. If all of them
    // did, one failed member would cost a large group more than its usual
    // traffic.
    auto const probes_at_once =
        random_() % live_count() < immediate_probes_per_suspicion;
    if (probes_at_once && target.suspected_by.size() == 1)
    {
        probe_round_.push_back(report.subject);
    }
}

auto membership::add_suspicion(
    peer& target, daemon_id const& reporter, time_point now) -> void
{
    auto const enough =
        target.suspected_by.size() >= max_suspicions_per_member &&
        reporter != self_.id;
    if (target.facts.state == member_state::dead || enough)
    {
        return;
    }
    if (target.suspected_by.empty())
    {
        target.state_since = now;
    }
    target.suspected_by.insert(reporter);
    if (target.suspected_by.size() <= max_suspicions_per_member)
    {
        gossip_.add(
            suspicion{target.facts.id, target.facts.incarnation, reporter});
    }
    announce(target);
}

auto membership::set_state(peer& changed, member_state state, time_point now)
    -> void
{
    changed.facts.state = state;
    changed.state_since = now;
    changed.suspected_by.clear();
    gossip_.add(changed.facts);
    announce(changed);
}

auto membership::announce(peer const& changed) -> void
{
    outputs_.emplace_back(member_changed{with_suspicion(changed)});
}

// Reports a member as suspect if this daemon or at least two others suspect it.
// A single other daemon may have a faulty link.
auto membership::with_suspicion(peer const& known) const -> member
{
    auto facts = known.facts;
    auto const suspected =
        known.suspected_by.contains(self_.id) || known.suspected_by.size() > 1;
    if (facts.state == member_state::alive && suspected)
    {
        facts.state = member_state::suspect;
    }
    return facts;
}

auto membership::expire_suspicions(time_point now) -> void
{
    if (stale(now))
    {
        return;
    }
    for (auto& [id, known] : peers_)
    {
        auto const suspicion_count = known.suspected_by.size();
        if (suspicion_count == 0 || known.facts.state == member_state::dead)
        {
            continue;
        }
        auto const waited = now - known.state_since;
        auto const confirmed =
            suspicion_count > 1 && waited >= settings_.suspicion_time;
        auto const unconfirmable = known.suspected_by.contains(self_.id) &&
                                   waited >= settings_.lone_opinion_time &&
                                   !has_possible_confirmer(id);
        if (confirmed || unconfirmable)
        {
            set_state(known, member_state::dead, now);
        }
    }
}

// Whether some other daemon that is not dead and that this one does not suspect
// could confirm the suspicion.
auto membership::has_possible_confirmer(daemon_id const& subject) const -> bool
{
    return std::any_of(
        peers_.begin(), peers_.end(), [this, &subject](auto const& entry) {
            auto const& [id, known] = entry;
            return id != subject && known.facts.state != member_state::dead &&
                   !known.suspected_by.contains(self_.id);
        });
}

auto membership::drop_expired_dead(time_point now) -> void
{
    std::erase_if(peers_, [this, now](auto const& entry) {
        auto const& known = entry.second;
        return known.facts.state == member_state::dead &&
               now - known.state_since > settings_.dead_retention;
    });
}

} // namespace sapphirereel
