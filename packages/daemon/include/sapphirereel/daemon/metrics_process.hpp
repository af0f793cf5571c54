/// \file
/// Defines the metrics of the process itself.
#ifndef SAPPHIREREEL_DAEMON_METRICS_PROCESS_HPP
#define SAPPHIREREEL_DAEMON_METRICS_PROCESS_HPP

#include "sapphirereel/core/clock.hpp"

#include <cstdint>

namespace sapphirereel::daemon::internal {

/// What the process has used; zero where the system does not say.
struct process_usage
{
    /// Processor time of all threads, in user and system mode.
    duration processor_time{};
    std::uint64_t resident_bytes = 0;
    auto operator<=>(process_usage const&) const = default;
};

auto process_usage_now() -> process_usage;

} // namespace sapphirereel::daemon::internal

#endif
