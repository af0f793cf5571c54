/// \file
/// Defines what the daemon answers operators over HTTP.
#ifndef SAPPHIREREEL_DAEMON_OPERATOR_ROUTES_HPP
#define SAPPHIREREEL_DAEMON_OPERATOR_ROUTES_HPP

#include "sapphirereel/daemon/body_reader.hpp"
#include "sapphirereel/daemon/core_loop.hpp"
#include "sapphirereel/daemon/metrics.hpp"
#include "sapphirereel/daemon/operator_desk.hpp"
#include "sapphirereel/daemon/trace_recorder.hpp"

#include <httplib.h>

namespace sapphirereel::daemon {

/// What the operators' routes work with; it outlives the server.
struct operator_parts
{
    core_loop& loop;
    operator_desk& desk;
    trace_recorder& recorder;
    metrics& all_metrics;
};

/// Adds the routes under `/operator/`. The reader of bodies outlives the
/// server.
auto add_operator_routes(
    httplib::Server& server, operator_parts parts, body_reader& bodies) -> void;

} // namespace sapphirereel::daemon

#endif
