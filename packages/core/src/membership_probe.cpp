#include "sapphirereel/core/membership.hpp"

#include "membership_send.hpp"
#include "random_subset.hpp"

namespace sapphirereel {

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
    return random_subset(std::move(relays), settings_.indirect_probes, random_);
}

} // namespace sapphirereel
