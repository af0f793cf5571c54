#include "sapphirereel/core/replica_ledger.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace sapphirereel {
namespace {

/// Share of memory below which a report's surplus is treated as noise.
constexpr double unseen_tolerance = 0.02;
/// Share of a new observation in the smoothed token rate.
constexpr double rate_smoothing = 0.1;
/// Shortest time between two progress reports from which a rate is computed.
constexpr duration shortest_rate_interval = std::chrono::milliseconds(500);
/// Time for which past memory states are kept, to compare with late reports.
constexpr duration history_length = std::chrono::seconds(15);
/// Shortest time between two recorded memory states.
constexpr duration history_step = std::chrono::milliseconds(50);

auto seconds(duration d) -> double
{
    return std::chrono::duration<double>(d).count();
}

auto require_positive(findings& wrong, bool holds, char const* field) -> void
{
    if (!holds)
    {
        wrong.push_back(
            {.where = {.source = "ledger", .field = field},
             .message = std::string(field) + " is not positive",
             .mend = "give a value above 0"});
    }
}

} // namespace

replica_ledger::replica_ledger(ledger_settings const& settings)
    : settings_(settings)
    , capacity_(settings.assumed_capacity)
    , rate_(settings.assumed_rate)
{}

auto replica_ledger::create(ledger_settings const& settings)
    -> result<replica_ledger>
{
    auto wrong = findings{};
    require_positive(wrong, settings.usable_share > 0, "usable_share");
    require_positive(wrong, settings.assumed_capacity > 0, "assumed_capacity");
    require_positive(wrong, settings.assumed_rate > 0, "assumed_rate");
    require_positive(wrong, settings.prefill_rate > 0, "prefill_rate");
    require_positive(wrong, settings.most_streams > 0, "most_streams");
    require_positive(
        wrong, settings.stream_expiry > duration{0}, "stream_expiry");
    if (!wrong.empty())
    {
        return tl::unexpected(std::move(wrong));
    }
    return replica_ledger{settings};
}

auto replica_ledger::offer(
    stream_offer const& offer, length_estimator const& lengths, time_point now)
    -> offer_reply
{
    if (streams_.contains(offer.run))
    {
        return offer_accepted{headroom(current_forecast(lengths, now))};
    }
    if (draining_)
    {
        return refuse(offer, offer_refusal_cause::draining, now);
    }
    auto const first = waiting_.best(held(now), weights_);
    auto const is_first =
        !first || ranks_before({offer, now}, *first, held(now), weights_);
    auto const cause = is_first ? rejection_cause(offer, lengths, now)
                                : offer_refusal_cause::share;
    if (cause)
    {
        return refuse(offer, *cause, now);
    }
    return accept(offer, lengths, now);
}

auto replica_ledger::grants(length_estimator const& lengths, time_point now)
    -> std::vector<granted_offer>
{
    auto granted = std::vector<granted_offer>{};
    waiting_.expire(now);
    // An offer that fits doesn't overtake the first in rank, since a large
    // prompt would otherwise never get a place.
    while (auto const first = waiting_.best(held(now), weights_))
    {
        if (rejection_cause(first->offer, lengths, now))
        {
            break;
        }
        granted.push_back({first->offer, accept(first->offer, lengths, now)});
    }
    return granted;
}

auto replica_ledger::announce(
    stream_offer const& offer, std::uint32_t tokens, time_point now) -> void
{
    if (!progress(offer.run, tokens, now))
    {
        insert(offer, tokens, true, now);
    }
}

auto replica_ledger::progress(
    run_id const& run, std::uint32_t tokens, time_point now) -> bool
{
    auto const found = streams_.find(run);
    if (found == streams_.end())
    {
        return false;
    }
    auto& stream = found->second;
    if (stream.confirmed)
    {
        update_rate(tokens - stream.reported_tokens, now - stream.reported_at);
    }
    stream.reported_tokens = tokens;
    stream.reported_at = now;
    stream.confirmed = true;
    forecast_.reset();
    return true;
}

auto replica_ledger::release(run_id const& run) -> std::optional<ledger_stream>
{
    waiting_.remove(run);
    auto const found = streams_.find(run);
    if (found == streams_.end())
    {
        return std::nullopt;
    }
    auto stream = std::move(found->second);
    streams_.erase(found);
    forecast_.reset();
    if (!stream.confirmed)
    {
        auto const prompt =
            stream.offer.prompt_tokens + stream.offer.output_tokens;
        prefill_backlog_tokens_ =
            std::max(0.0, prefill_backlog_tokens_ - prompt);
    }
    return stream;
}

auto replica_ledger::report(load_report const& report, time_point now) -> void
{
    if (report.memory_tokens_total > 0)
    {
        capacity_ = report.memory_tokens_total;
    }
    record_memory(now);
    auto const seen_at = now - report.age;
    auto known = history_.front().tokens;
    for (auto const& entry : history_)
    {
        if (entry.at <= seen_at)
        {
            known = entry.tokens;
        }
    }
    auto const surplus = report.memory_tokens_used - known;
    auto const noise = unseen_tolerance * capacity_;
    unseen_tokens_ = surplus > noise ? surplus : 0;
    forecast_.reset();
}

auto replica_ledger::expire(time_point now) -> void
{
    auto const dropped = std::erase_if(streams_, [&](auto const& entry) {
        auto const& stream = entry.second;
        auto const lifetime = stream.confirmed ? settings_.stream_expiry
                                               : settings_.reservation_expiry;
        return now - stream.reported_at > lifetime;
    });
    if (dropped > 0)
    {
        forecast_.reset();
    }
    waiting_.expire(now);
}

auto replica_ledger::set_shares(share_weights const& weights) -> void
{
    weights_ = weights;
}

auto replica_ledger::set_draining(bool draining) -> void
{
    draining_ = draining;
}

auto replica_ledger::forecast(
    length_estimator const& lengths, time_point now) const -> memory_forecast
{
    auto curves = std::map<stream_kind, length_curve>{};
    auto sum = memory_forecast::constant(unseen_tokens_);
    for (auto const& [run, stream] : streams_)
    {
        auto const& kind = stream.offer.kind;
        auto curve = curves.find(kind);
        if (curve == curves.end())
        {
            curve = curves.emplace(kind, lengths.curve(kind)).first;
        }
        sum += memory_forecast::of(
            {.prompt_tokens = static_cast<double>(stream.offer.prompt_tokens),
             .output_tokens = tokens_now(stream, now),
             .tokens_per_second = rate_},
            curve->second);
    }
    return sum;
}

auto replica_ledger::tokens_now(
    ledger_stream const& stream, time_point now) const -> double
{
    auto const elapsed = std::max(duration{0}, now - stream.reported_at);
    return stream.reported_tokens + rate_ * seconds(elapsed);
}

auto replica_ledger::summary(
    length_estimator const& lengths, time_point now) const -> ledger_summary
{
    auto const peak = forecast(lengths, now).peak(settings_.margin_deviations);
    return {
        .streams = streams_.size(),
        .memory_tokens = memory_now(now),
        .peak_tokens = peak,
        .unseen_tokens = unseen_tokens_,
        .capacity_tokens = capacity_,
        .tokens_per_second = rate_};
}

auto replica_ledger::refuse(
    stream_offer const& offer, offer_refusal_cause cause, time_point now)
    -> offer_reply
{
    auto const& customer = offer.kind.customer;
    auto const room =
        waiting_.size() < settings_.most_waiting &&
        waiting_.count_of(customer) < settings_.most_waiting_of_customer;
    auto const may_wait =
        offer.wait_ms > 0 && cause != offer_refusal_cause::draining;
    if (may_wait && room)
    {
        waiting_.add(offer, now);
    }
    return tl::unexpected(offer_refused{
        cause, waiting_.contains(offer.run), settings_.retry_after});
}

auto replica_ledger::rejection_cause(
    stream_offer const& offer, length_estimator const& lengths, time_point now)
    -> std::optional<offer_refusal_cause>
{
    if (streams_.size() >= settings_.most_streams)
    {
        return offer_refusal_cause::streams;
    }
    if (offer.suspect && runs_suspect())
    {
        return offer_refusal_cause::suspect;
    }
    if (prefill_backlog(now) > settings_.prefill_wait)
    {
        return offer_refusal_cause::prefill;
    }
    auto need = current_forecast(lengths, now);
    need += forecast_of(offer, lengths);
    auto const left = headroom(need);
    if (left < 0)
    {
        return offer_refusal_cause::memory;
    }
    auto const keeps_reserve = left >= settings_.reserve_share;
    auto const moved = offer.output_tokens > 0;
    if (!keeps_reserve && !moved && is_above_share(offer.kind.customer, now))
    {
        return offer_refusal_cause::share;
    }
    return std::nullopt;
}

auto replica_ledger::accept(
    stream_offer const& offer, length_estimator const& lengths, time_point now)
    -> offer_accepted
{
    waiting_.remove(offer.run);
    auto need = current_forecast(lengths, now);
    need += forecast_of(offer, lengths);
    insert(offer, offer.output_tokens, false, now);
    forecast_ = need;
    prefill_backlog_tokens_ += offer.prompt_tokens + offer.output_tokens;
    record_memory(now);
    return offer_accepted{headroom(need)};
}

auto replica_ledger::current_forecast(
    length_estimator const& lengths, time_point now) -> memory_forecast const&
{
    if (!forecast_ || now - forecast_at_ > settings_.forecast_lifetime)
    {
        forecast_ = forecast(lengths, now);
        forecast_at_ = now;
    }
    return *forecast_;
}

auto replica_ledger::forecast_of(
    stream_offer const& offer, length_estimator const& lengths) const
    -> memory_forecast
{
    return memory_forecast::of(
        {.prompt_tokens = static_cast<double>(offer.prompt_tokens),
         .output_tokens = static_cast<double>(offer.output_tokens),
         .tokens_per_second = rate_},
        lengths.curve(offer.kind));
}

auto replica_ledger::headroom(memory_forecast const& need) const -> double
{
    auto const usable = capacity_ * settings_.usable_share;
    return (usable - need.peak(settings_.margin_deviations)) / usable;
}

auto replica_ledger::held(time_point now) const -> held_tokens
{
    auto tokens = held_tokens{};
    for (auto const& [run, stream] : streams_)
    {
        tokens[stream.offer.kind.customer] +=
            stream.offer.prompt_tokens + tokens_now(stream, now);
    }
    return tokens;
}

auto replica_ledger::runs_suspect() const -> bool
{
    return std::any_of(streams_.begin(), streams_.end(), [](auto const& entry) {
        return entry.second.offer.suspect;
    });
}

auto replica_ledger::is_above_share(
    customer_id const& customer, time_point now) const -> bool
{
    auto const holdings = held(now);
    auto sum = 0.0;
    for (auto const& [holder, tokens] : holdings)
    {
        sum += held_for_weight(holder, holdings, weights_);
    }
    auto const average =
        sum / static_cast<double>(std::max<std::size_t>(1, holdings.size()));
    return held_for_weight(customer, holdings, weights_) > average;
}

auto replica_ledger::memory_now(time_point now) const -> double
{
    auto tokens = 0.0;
    for (auto const& [run, stream] : streams_)
    {
        tokens += stream.offer.prompt_tokens + tokens_now(stream, now);
    }
    return tokens;
}

auto replica_ledger::prefill_backlog(time_point now) -> duration
{
    auto const processed =
        settings_.prefill_rate * seconds(now - prefill_updated_at_);
    prefill_backlog_tokens_ =
        std::max(0.0, prefill_backlog_tokens_ - processed);
    prefill_updated_at_ = now;
    auto const wait = prefill_backlog_tokens_ / settings_.prefill_rate;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(wait));
}

auto replica_ledger::record_memory(time_point now) -> void
{
    if (!history_.empty() && now - history_.back().at < history_step)
    {
        history_.back().tokens = memory_now(now);
        return;
    }
    history_.push_back({now, memory_now(now)});
    while (now - history_.front().at > history_length)
    {
        history_.pop_front();
    }
}

auto replica_ledger::insert(
    stream_offer const& offer, double tokens, bool confirmed, time_point now)
    -> void
{
    streams_.insert_or_assign(
        offer.run, ledger_stream{
                       .offer = offer,
                       .reported_tokens = tokens,
                       .reported_at = now,
                       .confirmed = confirmed});
    forecast_.reset();
}

auto replica_ledger::update_rate(double tokens, duration elapsed) -> void
{
    if (tokens <= 0 || elapsed < shortest_rate_interval)
    {
        return;
    }
    auto const observed = tokens / seconds(elapsed);
    rate_ += rate_smoothing * (observed - rate_);
}

} // namespace sapphirereel
