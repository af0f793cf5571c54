#include "sapphirereel/relay/room_forecast.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

/// Callers disconnect before the first event after the longest of these: a
/// fixed time, and multiples of the target latency and of the target pause.
constexpr auto min_caller_patience = duration{milliseconds{2'000}};
constexpr auto patience_per_target_latency = 4;
constexpr auto patience_per_target_pause = 8;

/// Longest hold, as a share of the latest useful start: what is sent then must
/// still have its prompt read.
constexpr auto longest_hold_share = 0.75;

/// Time over which the rate is measured, and the least time and the least
/// number of streams that it needs. With fewer, the rate depends mostly on
/// their sizes.
constexpr auto rate_window = duration{milliseconds{5'000}};
constexpr auto min_rate_window = duration{milliseconds{1'000}};
constexpr auto min_streams_sent = std::ptrdiff_t{3};

/// Time after the last stream without room from which the rate is measured
/// anew.
constexpr auto max_full_gap = duration{milliseconds{500}};

/// Longest wait that is forecast.
constexpr auto max_forecast = std::chrono::duration<double>{60};

} // namespace

auto latest_useful_start(caller_terms const& terms) -> duration
{
    auto const patience = std::max(
        {min_caller_patience,
         terms.target_latency * patience_per_target_latency,
         terms.target_pause * patience_per_target_pause});
    return std::min(terms.deadline, patience);
}

auto longest_hold(caller_terms const& terms, duration usual_limit) -> duration
{
    auto const share = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(
            latest_useful_start(terms)) *
        longest_hold_share);
    return std::max(usual_limit, share);
}

auto starts_for_its_caller(
    start_forecast const& forecast, caller_terms const& terms) -> bool
{
    return forecast.waited + forecast.wait + forecast.prefill <=
           latest_useful_start(terms);
}

auto room_forecast::record_full(service_name const& service, time_point now)
    -> void
{
    auto const [found, is_new] =
        periods_.try_emplace(service, full_period{now, now, {}});
    auto& period = found->second;
    if (now - period.last_full_at > max_full_gap)
    {
        period = full_period{now, now, {}};
    }
    period.last_full_at = now;
}

auto room_forecast::record_sent(
    service_name const& service, double tokens, time_point now) -> void
{
    auto const found = periods_.find(service);
    if (found == periods_.end())
    {
        return;
    }
    auto& sent = found->second.sent;
    while (!sent.empty() && now - sent.front().at > rate_window)
    {
        sent.pop_front();
    }
    if (now - found->second.last_full_at <= max_full_gap)
    {
        sent.push_back({now, tokens});
    }
}

auto room_forecast::expected_wait(
    service_name const& service, double tokens, time_point now) const
    -> std::optional<duration>
{
    auto const found = periods_.find(service);
    if (found == periods_.end())
    {
        return std::nullopt;
    }
    auto const& period = found->second;
    if (now - period.last_full_at > max_full_gap)
    {
        return std::nullopt;
    }
    auto const measured = std::min(rate_window, now - period.began_at);
    auto found_tokens = 0.0;
    auto streams = std::ptrdiff_t{0};
    for (auto const& each : period.sent)
    {
        auto const counts = now - each.at <= rate_window;
        found_tokens += counts ? each.tokens : 0;
        streams += counts ? 1 : 0;
    }
    auto const is_known = measured >= min_rate_window &&
                          streams >= min_streams_sent && found_tokens > 0;
    if (!is_known)
    {
        return std::nullopt;
    }
    auto const wait =
        std::chrono::duration<double>(measured) * (tokens / found_tokens);
    return std::chrono::duration_cast<duration>(std::min(wait, max_forecast));
}

} // namespace sapphirereel::relay
