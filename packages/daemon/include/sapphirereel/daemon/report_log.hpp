/// \file
/// Defines how the core's reports go to the daemon's log.
#ifndef SAPPHIREREEL_DAEMON_REPORT_LOG_HPP
#define SAPPHIREREEL_DAEMON_REPORT_LOG_HPP

#include "sapphirereel/composition/action.hpp"
#include "sapphirereel/daemon/logger.hpp"

namespace sapphirereel::daemon {

/// Writes a report as a line of the log.
auto log_report(logger& log, report const& what) -> void;

} // namespace sapphirereel::daemon

#endif
