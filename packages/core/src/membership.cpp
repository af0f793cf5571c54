#include "sapphirereel/core/membership.hpp"

#include "sapphirereel/core/rendezvous.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace sapphirereel {

namespace {

/// Peers notified directly of a planned stop; gossip reaches the others.
constexpr std::size_t leave_notice_fanout = 32;
/// Most suspicions about one member, by different daemons, that are gossiped.
constexpr std::size_t max_suspicions_per_member = 3;
/// Expected number of daemons that probe a newly suspected member at once.
constexpr std::size_t immediate_probes_per_suspicion = 6;
/// Peers asked for the full member list after a pause.
constexpr std::size_t resync_fanout_after_pause = 3;

auto shuffle(std::vector<daemon_id>& ids, std::mt19937_64& random) -> void
{
    for (auto left = ids.size(); left > 1; --left)
    {
        auto const chosen = static_cast<std::size_t>(random() % left);
        std::swap(ids[left - 1], ids[chosen]);
    }
}

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
    shuffle(recipients, random_);
    recipients.resize(std::min(recipients.size(), leave_notice_fanout));
    for (auto const& id : recipients)
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

auto membership::receive(member const& from, probe const& asked, time_point)
    -> void
{
    send(from.peer_address, probe_answer{asked.number});
}

auto membership::receive(
    member const& from, probe_answer const& answer, time_point) -> void
{
    if (probe_ && probe_->number == answer.number)
    {
        probe_.reset();
    }
    for (auto const& relayed : relayed_)
    {
        auto const requester = peers_.find(relayed.requester);
        if (relayed.number == answer.number && requester != peers_.end())
        {
            send(
                requester->second.facts.peer_address,
                probe_relay{relayed.requester_number, from.id});
        }
    }
    std::erase_if(relayed_, [&answer](relayed_probe const& relayed) {
        return relayed.number == answer.number;
    });
}

auto membership::receive(
    member const& from, probe_request const& request, time_point now) -> void
{
    auto const subject = peers_.find(request.subject);
    if (subject == peers_.end())
    {
        return;
    }
    auto const number = ++last_number_;
    relayed_.push_back({number, from.id, request.number, request.subject, now});
    send(subject->second.facts.peer_address, probe{number});
}

auto membership::receive(member const&, probe_relay const& relay, time_point)
    -> void
{
    if (probe_ && probe_->number == relay.number)
    {
        probe_.reset();
    }
}

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

// Raises the incarnation so that this daemon's facts override the report of its
// death.
auto membership::refute_if_declared_dead(member const& facts) -> void
{
    auto const refutes = facts.state == member_state::dead &&
                         facts.incarnation >= self_.incarnation;
    if (refutes)
    {
        self_.incarnation = facts.incarnation + 1;
        gossip_.add(self_);
    }
}

auto membership::apply_suspicion(suspicion const& report, time_point now)
    -> void
{
    if (report.subject == self_.id)
    {
        if (report.incarnation >= self_.incarnation)
        {
            self_.incarnation = report.incarnation + 1;
            gossip_.add(self_);
        }
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
    auto asked = live();
    std::erase(asked, self_.id);
    shuffle(asked, random_);
    asked.resize(std::min(asked.size(), resync_fanout_after_pause));
    for (auto const& id : asked)
    {
        send(peers_.at(id).facts.peer_address, join_request{});
    }
}

auto membership::start_next_probe(time_point now) -> void
{
    if (probe_ && !stale(now))
    {
        auto const unanswered = peers_.find(probe_->subject);
        if (unanswered != peers_.end())
        {
            add_suspicion(unanswered->second, self_.id, now);
        }
    }
    probe_.reset();
    std::erase_if(relayed_, [this, now](relayed_probe const& relayed) {
        return now - relayed.sent > 2 * settings_.probe_period;
    });
    auto const subject = choose_probe_subject();
    if (subject)
    {
        probe_ = open_probe{++last_number_, *subject, now, false};
        send(peers_.at(*subject).facts.peer_address, probe{probe_->number});
    }
}

auto membership::probe_indirectly(time_point now) -> void
{
    auto const due = probe_ && !probe_->indirect &&
                     now - probe_->sent >= settings_.probe_timeout;
    if (!due)
    {
        return;
    }
    probe_->indirect = true;
    for (auto const& relay : choose_relays(probe_->subject))
    {
        send(
            peers_.at(relay).facts.peer_address,
            probe_request{probe_->number, probe_->subject});
    }
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

auto membership::rejoin(time_point now) -> void
{
    if (next_rejoin_ && now < *next_rejoin_)
    {
        return;
    }
    next_rejoin_ = now + settings_.rejoin_period;
    auto missing = missing_addresses();
    constexpr std::size_t attempts = 3;
    for (std::size_t i = 0; i < attempts && !missing.empty(); ++i)
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

auto membership::drop_expired_dead(time_point now) -> void
{
    std::erase_if(peers_, [this, now](auto const& entry) {
        auto const& known = entry.second;
        return known.facts.state == member_state::dead &&
               now - known.state_since > settings_.dead_retention;
    });
}

auto membership::choose_probe_subject() -> std::optional<daemon_id>
{
    auto const is_probed = [this](daemon_id const& id) {
        auto const found = peers_.find(id);
        return found != peers_.end() &&
               found->second.facts.state != member_state::dead;
    };
    if (probe_round_.empty())
    {
        probe_round_ = live();
        shuffle(probe_round_, random_);
    }
    while (!probe_round_.empty())
    {
        auto const id = probe_round_.back();
        probe_round_.pop_back();
        if (is_probed(id))
        {
            return id;
        }
    }
    return std::nullopt;
}

auto membership::choose_relays(daemon_id const& subject)
    -> std::vector<daemon_id>
{
    auto relays = live();
    std::erase_if(relays, [this, &subject](daemon_id const& id) {
        return id == self_.id || id == subject ||
               peers_.at(id).suspected_by.contains(self_.id);
    });
    shuffle(relays, random_);
    relays.resize(std::min(relays.size(), settings_.indirect_probes));
    return relays;
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

template <class Content>
auto membership::send(socket_address const& to, Content content) -> void
{
    outputs_.emplace_back(send_membership_message{
        to, membership_message{
                self_, std::move(content), gossip_.take(live_count()),
                view_digest()}});
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
