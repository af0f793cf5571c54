/// \file
/// Defines the weight of a line of the log.
#ifndef SAPPHIREREEL_TELEMETRY_LOG_LEVEL_HPP
#define SAPPHIREREEL_TELEMETRY_LOG_LEVEL_HPP

namespace sapphirereel::telemetry {

/// Weight of a line of the log.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

} // namespace sapphirereel::telemetry

#endif
