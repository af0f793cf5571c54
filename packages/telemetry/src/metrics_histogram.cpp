#include "sapphirereel/telemetry/metrics_histogram.hpp"

#include <boost/histogram/make_histogram.hpp>
#include <fmt/format.h>
#include <limits>

namespace sapphirereel::telemetry {
namespace {

using seconds_type = std::chrono::duration<double>;

/// Edges of the axis, in microseconds. The library's bins leave out their
/// upper edge; half a microsecond more takes a bound into its bucket, since
/// times are whole microseconds.
auto edges_of(std::span<duration const> bounds) -> std::vector<double>
{
    constexpr auto half = 0.5;
    auto edges = std::vector<double>{std::numeric_limits<double>::lowest()};
    for (auto const bound : bounds)
    {
        edges.push_back(static_cast<double>(bound.count()) + half);
    }
    return edges;
}

} // namespace

metrics_histogram::metrics_histogram(std::span<duration const> bounds)
    : bounds_(bounds.begin(), bounds.end())
    , histogram_(std::make_tuple(axis_type(edges_of(bounds))), storage_type{})
{}

auto metrics_histogram::observe(duration length) -> void
{
    histogram_(static_cast<double>(length.count()));
    sum_microseconds_ += length.count();
}

auto metrics_histogram::lines(std::string_view name) const -> std::string
{
    auto text = std::string{};
    auto total = std::uint64_t{0};
    auto const bins = static_cast<int>(bounds_.size());
    for (auto i = 0; i < bins; ++i)
    {
        total += static_cast<std::uint64_t>(histogram_.at(i));
        auto const bound = seconds_type{bounds_[static_cast<std::size_t>(i)]};
        text += fmt::format(
            "{}_bucket{{le=\"{}\"}} {}\n", name, bound.count(), total);
    }
    // The overflow bin follows the last one.
    total += static_cast<std::uint64_t>(histogram_.at(bins));
    auto const sum = seconds_type{duration{sum_microseconds_.load()}};
    text += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n", name, total);
    text += fmt::format("{}_sum {}\n", name, sum.count());
    text += fmt::format("{}_count {}\n", name, total);
    return text;
}

} // namespace sapphirereel::telemetry
