#include "sapphirereel/core/migration_policy.hpp"

#include <algorithm>
#include <tuple>

namespace sapphirereel {

auto migration_policy::create(migration_settings const& settings)
    -> result<migration_policy>
{
    if (settings.look_ahead_step >= forecast_seconds.size())
    {
        return tl::unexpected(findings{
            {.where = {.source = "relief", .field = "look_ahead_step"},
             .message = "the forecast does not extend that far",
             .mend = "give a step below 8"}});
    }
    return migration_policy{settings};
}

auto migration_policy::choose(
    replica_ledger const& ledger,
    length_estimator const& lengths,
    time_point now) -> std::optional<run_id>
{
    update_arrivals(ledger, now);
    if (last_migration_ && now - *last_migration_ < settings_.min_interval)
    {
        return std::nullopt;
    }
    auto const forecast = ledger.forecast(lengths, now);
    auto expected = 0.0;
    for (auto step = std::size_t{0}; step <= settings_.look_ahead_step; ++step)
    {
        expected = std::max(expected, forecast.mean(step));
    }
    auto const missing = expected - settings_.threshold * ledger.capacity();
    if (missing <= 0)
    {
        return std::nullopt;
    }
    auto chosen = std::optional<run_id>{};
    auto least = std::tuple<std::int32_t, double>{};
    for (auto const& [run, stream] : ledger.streams())
    {
        // Migrating a reservation frees no memory, and a stream that has just
        // arrived would be moved from replica to replica.
        auto const stayed =
            now - arrived_at_.at(run) >= settings_.min_residence;
        if (!stream.confirmed || !stayed)
        {
            continue;
        }
        auto const memory =
            stream.offer.prompt_tokens + ledger.tokens_now(stream, now);
        auto const loss =
            std::tuple{stream.offer.priority, migration_cost(memory, missing)};
        if (!chosen || loss < least)
        {
            chosen = run;
            least = loss;
        }
    }
    if (chosen)
    {
        last_migration_ = now;
    }
    return chosen;
}

auto migration_policy::update_arrivals(
    replica_ledger const& ledger, time_point now) -> void
{
    auto const& streams = ledger.streams();
    std::erase_if(arrived_at_, [&streams](auto const& entry) {
        return !streams.contains(entry.first);
    });
    for (auto const& [run, stream] : streams)
    {
        arrived_at_.try_emplace(run, now);
    }
}

auto migration_policy::migration_cost(double memory, double missing) const
    -> double
{
    // The moved tokens must be recomputed, and memory that is still missing
    // after the migration requires further ones.
    auto const useful = std::min(memory, missing);
    return (memory + settings_.migration_overhead_tokens) /
           std::max(1.0, useful);
}

} // namespace sapphirereel
