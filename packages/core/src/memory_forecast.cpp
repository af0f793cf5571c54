#include "sapphirereel/core/memory_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirereel {

auto memory_forecast::of(
    growing_stream const& stream, length_curve const& curve) -> memory_forecast
{
    auto forecast = memory_forecast{};
    for (auto i = std::size_t{0}; i < forecast_seconds.size(); ++i)
    {
        auto const length = stream.output_tokens +
                            stream.tokens_per_second * forecast_seconds[i];
        auto const memory = stream.prompt_tokens + length;
        auto const alive = curve.survival(stream.output_tokens, length);
        forecast.mean_[i] = alive * memory;
        forecast.variance_[i] = alive * (1 - alive) * memory * memory;
    }
    return forecast;
}

auto memory_forecast::constant(double tokens) -> memory_forecast
{
    auto forecast = memory_forecast{};
    forecast.mean_.fill(tokens);
    return forecast;
}

auto memory_forecast::operator+=(memory_forecast const& other)
    -> memory_forecast&
{
    for (auto i = std::size_t{0}; i < forecast_seconds.size(); ++i)
    {
        mean_[i] += other.mean_[i];
        variance_[i] += other.variance_[i];
    }
    return *this;
}

auto memory_forecast::peak(double deviations) const -> double
{
    auto most = 0.0;
    for (auto i = std::size_t{0}; i < forecast_seconds.size(); ++i)
    {
        most = std::max(most, mean_[i] + deviations * std::sqrt(variance_[i]));
    }
    return most;
}

} // namespace sapphirereel
