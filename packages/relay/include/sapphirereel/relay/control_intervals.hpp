/// \file
/// Defines the intervals of reports and log reads as functions of the number of
/// daemons, so that the control traffic of one daemon does not grow with it.
#ifndef SAPPHIREREEL_RELAY_CONTROL_INTERVALS_HPP
#define SAPPHIREREEL_RELAY_CONTROL_INTERVALS_HPP

#include "sapphirereel/core/clock.hpp"

#include <cstddef>

namespace sapphirereel::relay {

/// Interval of a daemon's periodic reports to all others. Between its bounds it
/// is proportional to the number of daemons, so that each daemon receives a
/// constant number of reports per second.
auto report_interval(std::size_t daemons) -> duration;

/// Delay from a change until it is reported; further changes within it go into
/// the same report.
auto report_delay(std::size_t daemons) -> duration;

/// Time without a report after which a daemon is considered dead.
auto peer_timeout(std::size_t daemons) -> duration;

/// Time without a report after which a daemon is asked for one.
auto report_overdue_after(std::size_t daemons) -> duration;

/// Time between two questions to a daemon whose report is overdue, and the
/// number of questions without an answer after which it may be considered dead.
inline constexpr auto question_interval =
    duration{std::chrono::milliseconds{150}};
inline constexpr auto max_unanswered_questions = 3;

/// Silence after which a daemon that answers no question is considered dead, as
/// requests and changes wait for it: a part of the deployment's shortest bound.
auto silence_limit(duration shortest_bound) -> duration;

/// Interval at which a daemon of a large fleet asks one daemon of each other
/// zone for a report, and the time without an answer after which it asks
/// another one.
inline constexpr auto contact_interval =
    duration{std::chrono::milliseconds{1'000}};
inline constexpr auto contact_timeout =
    duration{std::chrono::milliseconds{2'500}};

/// Time between two log reads of a secondary reader, which learns of changes
/// from its peers and reads the log only as a fallback.
auto secondary_read_pause(std::size_t daemons) -> duration;

} // namespace sapphirereel::relay

#endif
