#include "sapphirereel/composition/replica_homes.hpp"

#include <utility>

namespace sapphirereel {

namespace {

auto reply_to(reserve_message const& request, offer_reply const& outcome)
    -> reserve_reply_message
{
    auto reply = reserve_reply_message{};
    reply.replica = request.replica;
    reply.run = request.offer.run;
    reply.accepted = outcome.has_value();
    if (outcome)
    {
        reply.headroom = static_cast<float>(outcome->headroom);
        return reply;
    }
    reply.queued = outcome.error().queued;
    reply.cause = outcome.error().cause;
    reply.retry_after_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            outcome.error().retry_after)
            .count());
    return reply;
}

auto weights_of(configuration const& config) -> share_weights
{
    auto weights = share_weights{};
    for (auto const& [customer, share] : config.shares)
    {
        weights.emplace(customer, share.weight);
    }
    return weights;
}

} // namespace

auto replica_homes::create(home_settings const& settings)
    -> result<replica_homes>
{
    auto lengths = length_estimator::create(settings.lengths);
    auto const ledger = replica_ledger::create(settings.ledger);
    auto problems = findings{};
    if (!lengths)
    {
        problems = lengths.error();
    }
    if (!ledger)
    {
        problems.insert(
            problems.end(), ledger.error().begin(), ledger.error().end());
    }
    if (!problems.empty())
    {
        return tl::unexpected(std::move(problems));
    }
    return replica_homes{settings, std::move(*lengths)};
}

replica_homes::replica_homes(
    home_settings const& settings, length_estimator lengths)
    : settings_(settings)
    , lengths_(std::move(lengths))
{}

auto replica_homes::record_for(endpoint_id const& replica) -> ledger_record&
{
    auto const found = ledgers_.find(replica);
    if (found != ledgers_.end())
    {
        return found->second;
    }
    // create() has validated the settings, so this ledger is valid.
    auto made =
        ledger_record{*replica_ledger::create(settings_.ledger), false, {}, {}};
    made.ledger.set_shares(weights_);
    return ledgers_.emplace(replica, std::move(made)).first->second;
}

auto replica_homes::on(
    daemon_id const& from, reserve_message const& message, time_point now)
    -> daemon_messages
{
    auto& replica_record = record_for(message.replica);
    auto const outcome =
        replica_record.ledger.offer(message.offer, lengths_, now);
    return {{from, reply_to(message, outcome)}};
}

auto replica_homes::on(
    daemon_id const&, release_message const& message, time_point now)
    -> daemon_messages
{
    auto& replica_record = record_for(message.replica);
    auto const ended = replica_record.ledger.release(message.run);
    if (ended && message.output_tokens > 0)
    {
        auto const seen = length_observation{
            static_cast<double>(ended->offer.output_tokens),
            static_cast<double>(message.output_tokens), message.completed};
        lengths_.record(ended->offer.kind, seen, now);
    }
    return grants(message.replica, replica_record, now);
}

auto replica_homes::on(
    daemon_id const& from, progress_message const& message, time_point now)
    -> daemon_messages
{
    auto& ledger = record_for(message.replica).ledger;
    auto unknown = announce_request_message{message.replica, {}};
    for (auto const& one : message.runs)
    {
        if (!ledger.progress(one.run, one.output_tokens, now))
        {
            unknown.runs.push_back(one.run);
        }
    }
    if (unknown.runs.empty())
    {
        return {};
    }
    return {{from, std::move(unknown)}};
}

auto replica_homes::on(
    daemon_id const&, announce_message const& message, time_point now)
    -> daemon_messages
{
    auto& ledger = record_for(message.replica).ledger;
    for (auto const& one : message.streams)
    {
        ledger.announce(one.offer, one.output_tokens, now);
    }
    return {};
}

auto replica_homes::record_load(load_arrived const& arrived, time_point now)
    -> daemon_messages
{
    auto const found = ledgers_.find(arrived.endpoint);
    if (found == ledgers_.end())
    {
        return {};
    }
    auto& replica_record = found->second;
    replica_record.report = arrived.report;
    if (!arrived.report)
    {
        return {};
    }
    replica_record.ledger.report(*arrived.report, now);
    return grants(arrived.endpoint, replica_record, now);
}

auto replica_homes::grants(
    endpoint_id const& replica, ledger_record& target, time_point now)
    -> daemon_messages
{
    auto messages = daemon_messages{};
    for (auto const& granted : target.ledger.grants(lengths_, now))
    {
        auto reply = reserve_reply_message{};
        reply.replica = replica;
        reply.run = granted.offer.run;
        reply.accepted = true;
        reply.headroom = static_cast<float>(granted.place.headroom);
        messages.push_back({granted.offer.entry, reply});
    }
    return messages;
}

auto replica_homes::adopt(cluster_view const& view, configuration const& config)
    -> void
{
    weights_ = weights_of(config);
    for (auto& [replica, replica_record] : ledgers_)
    {
        replica_record.is_home = false;
        replica_record.ledger.set_shares(weights_);
    }
    for (auto const& [replica, home] : view.homes)
    {
        if (home == view.self)
        {
            record_for(replica).is_home = true;
        }
    }
    for (auto& [replica, replica_record] : ledgers_)
    {
        replica_record.ledger.set_draining(view.leaving.contains(replica));
    }
    std::erase_if(ledgers_, [](auto const& entry) {
        return !entry.second.is_home && entry.second.ledger.streams().empty();
    });
}

auto replica_homes::due_polls(time_point now) -> std::vector<endpoint_id>
{
    auto due = std::vector<endpoint_id>{};
    for (auto& [replica, replica_record] : ledgers_)
    {
        if (replica_record.is_home && now >= replica_record.next_poll)
        {
            replica_record.next_poll = now + settings_.load_interval;
            due.push_back(replica);
        }
    }
    return due;
}

auto replica_homes::tick(time_point now) -> daemon_messages
{
    auto messages = daemon_messages{};
    for (auto& [replica, replica_record] : ledgers_)
    {
        replica_record.ledger.expire(now);
        if (replica_record.ledger.waiting() > 0)
        {
            auto const more = grants(replica, replica_record, now);
            messages.insert(messages.end(), more.begin(), more.end());
        }
    }
    return messages;
}

auto replica_homes::status(time_point now) const -> std::vector<replica_status>
{
    auto all = std::vector<replica_status>{};
    for (auto const& [replica, replica_record] : ledgers_)
    {
        all.push_back(
            {replica, replica_record.ledger.summary(lengths_, now),
             replica_record.report});
    }
    return all;
}

} // namespace sapphirereel
