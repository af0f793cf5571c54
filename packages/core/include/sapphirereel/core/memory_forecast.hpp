/// \file
/// Defines the forecast of a replica's token memory: mean and variance over
/// its streams at several times ahead.
#ifndef SAPPHIREREEL_CORE_MEMORY_FORECAST_HPP
#define SAPPHIREREEL_CORE_MEMORY_FORECAST_HPP

#include "sapphirereel/core/length_estimate.hpp"

#include <array>
#include <cstddef>

namespace sapphirereel {

/// Times ahead, in seconds, at which memory is forecast. A stream that is held
/// back for longer than the last one has stalled for its caller in any case.
inline constexpr std::array<double, 8> forecast_seconds{0, 1,  2,  4,
                                                        8, 16, 32, 64};

/// A stream that needs memory for its prompt and for each output token.
struct growing_stream
{
    double prompt_tokens = 0;
    double output_tokens = 0;
    double tokens_per_second = 0;
    auto operator<=>(growing_stream const&) const = default;
};

/// Token memory needed at each of `forecast_seconds`.
class memory_forecast
{
public:
    memory_forecast() = default;

    /// Forecast of one stream: all of its memory until it ends, none after.
    static auto of(growing_stream const& stream, length_curve const& curve)
        -> memory_forecast;

    /// Forecast of memory that neither grows nor shrinks.
    static auto constant(double tokens) -> memory_forecast;

    auto operator+=(memory_forecast const& other) -> memory_forecast&;

    /// Largest need at any time ahead: mean plus `deviations` standard
    /// deviations, in tokens.
    [[nodiscard]] auto peak(double deviations) const -> double;

    /// Expected need at one of `forecast_seconds`, in tokens.
    [[nodiscard]] auto mean(std::size_t step) const -> double
    {
        return mean_[step];
    }

    auto operator<=>(memory_forecast const&) const = default;

private:
    std::array<double, forecast_seconds.size()> mean_{};
    std::array<double, forecast_seconds.size()> variance_{};
};

} // namespace sapphirereel

#endif
