#include "sapphirereel/core/claim_queue.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirereel {

namespace {

template <class Entries>
auto contains(Entries const& entries, claim_entry const& entry) -> bool
{
    return std::find(entries.begin(), entries.end(), entry) != entries.end();
}

template <class Entries>
auto erase_matching(Entries& entries, claim_kind kind, digest const& name)
    -> void
{
    std::erase_if(entries, [kind, &name](claim_entry const& entry) {
        return entry.kind == kind && entry.name == name;
    });
}

} // namespace

claim_queue::claim_queue(
    daemon_id writer, at_most_once_settings const& settings)
    : writer_(std::move(writer))
    , batch_entries_(settings.batch_entries)
    , backoff_(settings.append_backoff)
    , retry_(settings.append_retry)
    , deferred_delay_(settings.done_delay)
{}

auto claim_queue::push(claim_entry entry) -> void
{
    if (!contains(waiting_, entry))
    {
        waiting_.push_back(std::move(entry));
    }
}

auto claim_queue::push_deferred(claim_entry entry, time_point now) -> void
{
    deferred_.push_back(std::move(entry));
    deferred_since_ = deferred_since_.value_or(now);
}

auto claim_queue::next_append(time_point now) -> std::optional<append_claims>
{
    if (in_flight_ || now < not_before_)
    {
        return std::nullopt;
    }
    if (waiting_.empty() && !deferred_due(now))
    {
        return std::nullopt;
    }
    auto const token = append_token{++last_token_};
    in_flight_ = append_in_flight{token, now, take_entries(now)};
    return append_claims{token, claim_batch{writer_, in_flight_->entries}};
}

auto claim_queue::deferred_due(time_point now) const -> bool
{
    return deferred_since_ && now - *deferred_since_ >= deferred_delay_;
}

auto claim_queue::take_entries(time_point now) -> std::vector<claim_entry>
{
    std::vector<claim_entry> entries;
    for (auto* source : {&waiting_, &deferred_})
    {
        while (!source->empty() && entries.size() < batch_entries_)
        {
            entries.push_back(std::move(source->front()));
            source->pop_front();
        }
    }
    deferred_since_ = deferred_.empty() ? std::nullopt : std::optional{now};
    return entries;
}

auto claim_queue::on(append_result const& answer, time_point now)
    -> std::vector<claim_entry>
{
    if (!in_flight_ || in_flight_->token != answer.token)
    {
        return {};
    }
    auto entries = std::move(in_flight_->entries);
    auto const since = in_flight_->since;
    in_flight_.reset();
    switch (answer.outcome)
    {
    case append_outcome::appended:
        unanswered_since_.reset();
        return entries;
    case append_outcome::refused:
        not_before_ = now + backoff_;
        break;
    case append_outcome::unanswered:
        not_before_ = now + retry_;
        unanswered_since_ = unanswered_since_.value_or(since);
        break;
    }
    requeue(std::move(entries));
    return {};
}

auto claim_queue::requeue(std::vector<claim_entry> entries) -> void
{
    std::erase_if(waiting_, [&entries](claim_entry const& entry) {
        return contains(entries, entry);
    });
    waiting_.insert(
        waiting_.begin(), std::make_move_iterator(entries.begin()),
        std::make_move_iterator(entries.end()));
}

auto claim_queue::discard(claim_kind kind, digest const& name) -> void
{
    erase_matching(waiting_, kind, name);
    erase_matching(deferred_, kind, name);
    if (in_flight_)
    {
        erase_matching(in_flight_->entries, kind, name);
    }
}

auto claim_queue::stalled(time_point now, duration limit) const -> bool
{
    if (in_flight_ && now - in_flight_->since > limit)
    {
        return true;
    }
    auto const retrying = unanswered_since_ && !waiting_.empty();
    return retrying && now - *unanswered_since_ > limit;
}

} // namespace sapphirereel
