/// \file
/// Defines a daemon's state as JSON, for status and dump.
#ifndef SAPPHIREREEL_DAEMON_STATE_DUMP_HPP
#define SAPPHIREREEL_DAEMON_STATE_DUMP_HPP

#include "sapphirereel/composition/daemon_core.hpp"

#include <nlohmann/json.hpp>

namespace sapphirereel::daemon {

/// Who this daemon is and how it stands, in a few fields.
auto status_json(daemon_core const& core) -> nlohmann::json;

/// All state that an operator may want to see: members, homes, generations,
/// calls, counts and the configuration's offset.
auto dump_json(daemon_core const& core, time_point now) -> nlohmann::json;

/// Which daemons have a configuration of at least this offset in force.
auto in_force_json(daemon_core const& core, log_offset offset)
    -> nlohmann::json;

} // namespace sapphirereel::daemon

#endif
