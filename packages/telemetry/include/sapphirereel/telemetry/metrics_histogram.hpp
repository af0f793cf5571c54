/// \file
/// Defines a histogram of times with named buckets.
#ifndef SAPPHIREREEL_TELEMETRY_METRICS_HISTOGRAM_HPP
#define SAPPHIREREEL_TELEMETRY_METRICS_HISTOGRAM_HPP

#include "sapphirereel/core/clock.hpp"

#include <atomic>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::telemetry {

/// A histogram whose buckets each hold the times up to a bound, the bound
/// included. May be used from any thread.
class metrics_histogram
{
public:
    /// The bounds rise strictly.
    explicit metrics_histogram(std::span<duration const> bounds);

    auto observe(duration length) -> void;

    /// The lines of the histogram in Prometheus' text format, in seconds.
    [[nodiscard]] auto lines(std::string_view name) const -> std::string;

private:
    using axis_type = boost::histogram::axis::variable<double>;
    using storage_type = boost::histogram::dense_storage<
        boost::histogram::accumulators::thread_safe<std::uint64_t>>;
    using histogram_type =
        boost::histogram::histogram<std::tuple<axis_type>, storage_type>;

    std::vector<duration> bounds_;
    histogram_type histogram_;
    std::atomic<duration::rep> sum_microseconds_{0};
};

} // namespace sapphirereel::telemetry

#endif
