#include "sapphirereel/core/membership.hpp"

#include "membership_send.hpp"
#include "random_subset.hpp"
#include "sapphirereel/core/rendezvous.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace sapphirereel {

namespace {

/// Peers notified directly of a planned stop; gossip reaches the others.
constexpr std::size_t leave_notice_fanout = 32;

auto bad_setting(std::string field, std::string message) -> finding
{
    return finding{
        place{"membership", 0, std::move(field)}, std::move(message),
        "give a value above zero"};
}

} // namespace

auto membership::create(
    membership_settings settings,
    member self,
    std::uint64_t seed,
    time_point now) -> result<membership>
{
    findings found;
    if (self.id.empty())
    {
        found.push_back(bad_setting("self", "the daemon has no id"));
    }
    if (settings.probe_period <= duration::zero())
    {
        found.push_back(
            bad_setting("probe_period", "the probe period is not positive"));
    }
    if (settings.probe_timeout <= duration::zero())
    {
        found.push_back(
            bad_setting("probe_timeout", "the probe timeout is not positive"));
    }
    if (!found.empty())
    {
        return tl::unexpected(std::move(found));
    }
    return membership{settings, std::move(self), seed, now};
}

membership::membership(
    membership_settings settings,
    member self,
    std::uint64_t seed,
    time_point now)
    : settings_(settings)
    , self_(std::move(self))
    , random_(seed)
    , differs_since_(now - settings.settle_time)
    , next_sync_(now)
    , period_start_(now)
    , last_tick_(now)
    , gossip_(settings.news_bytes)
{
    gossip_.add(self_);
}

auto membership::on(membership_message const& message, time_point now)
    -> membership_outputs
{
    if (message.sender.id == self_.id)
    {
        return take_outputs();
    }
    stale_until_.reset();
    record_contact(message.sender, now);
    apply_gossip(message.news, now);
    std::visit(
        [this, &message, now](auto const& content) {
            receive(message.sender, content, now);
        },
        message.content);
    sync(message, now);
    return take_outputs();
}

auto membership::on(std::vector<vm_hint> const& vms, time_point now)
    -> membership_outputs
{
    vms_ = vms;
    rejoin(now);
    return take_outputs();
}

auto membership::tick(time_point now) -> membership_outputs
{
    if (now - last_tick_ > settings_.pause_limit)
    {
        resume_after_pause(now);
    }
    last_tick_ = now;
    probe_indirectly(now);
    if (now - period_start_ >= settings_.probe_period)
    {
        period_start_ = now;
        start_next_probe(now);
        rejoin(now);
        drop_expired_dead(now);
    }
    expire_suspicions(now);
    return take_outputs();
}

auto membership::leave(time_point) -> membership_outputs
{
    self_.state = member_state::leaving;
    ++self_.incarnation;
    gossip_.add(self_);
    auto recipients = live();
    std::erase(recipients, self_.id);
    for (auto const& id :
         random_subset(std::move(recipients), leave_notice_fanout, random_))
    {
        send(peers_.at(id).facts.peer_address, probe{++last_number_});
    }
    return take_outputs();
}

auto membership::set_in_force(log_offset offset) -> void
{
    if (offset > self_.in_force)
    {
        self_.in_force = offset;
        gossip_.add(in_force_fact{self_.id, offset});
    }
}

auto membership::view_digest() const -> std::uint64_t
{
    constexpr std::string_view key = "view";
    auto digest = rendezvous_weight(key, self_.id.str());
    for (auto const& [id, known] : peers_)
    {
        if (known.facts.state != member_state::dead)
        {
            digest ^= rendezvous_weight(key, id.str());
        }
    }
    return digest;
}

auto membership::live_count() const -> std::size_t
{
    auto const is_live = [](auto const& entry) {
        return entry.second.facts.state != member_state::dead;
    };
    return 1 + static_cast<std::size_t>(
                   std::count_if(peers_.begin(), peers_.end(), is_live));
}

auto membership::self() const -> member const&
{
    return self_;
}

auto membership::live() const -> std::vector<daemon_id>
{
    std::vector<daemon_id> ids{self_.id};
    for (auto const& [id, known] : peers_)
    {
        if (known.facts.state != member_state::dead)
        {
            ids.push_back(id);
        }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

auto membership::members() const -> std::vector<member>
{
    std::vector<member> all{self_};
    for (auto const& [id, known] : peers_)
    {
        all.push_back(with_suspicion(known));
    }
    std::sort(all.begin(), all.end());
    return all;
}

auto membership::find(daemon_id const& id) const -> std::optional<member>
{
    if (id == self_.id)
    {
        return self_;
    }
    auto const found = peers_.find(id);
    if (found == peers_.end())
    {
        return std::nullopt;
    }
    return with_suspicion(found->second);
}

auto membership::stale(time_point now) const -> bool
{
    return stale_until_ && now < *stale_until_;
}

auto membership::take_outputs() -> membership_outputs
{
    return std::exchange(outputs_, {});
}

} // namespace sapphirereel
