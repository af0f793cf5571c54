/// \file
/// Defines the commands that ask and steer daemons.
#ifndef SAPPHIREREEL_CLIENT_CLUSTER_COMMANDS_HPP
#define SAPPHIREREEL_CLIENT_CLUSTER_COMMANDS_HPP

#include "sapphirereel/client/command_context.hpp"

namespace sapphirereel::client {

/// Which endpoints a request may use, and why the rest was passed over.
auto run_explain(command_context const& context, command_words words)
    -> exit_code;
auto run_status(command_context const& context, command_words words)
    -> exit_code;
auto run_dump(command_context const& context, command_words words) -> exit_code;
auto run_addresses(command_context const& context, command_words words)
    -> exit_code;

/// Labels an endpoint as leaving and tells the daemons, or stops the one
/// daemon that is named.
auto run_drain(command_context const& context, command_words words)
    -> exit_code;

/// Which daemons have an offset in force.
auto run_in_force(command_context const& context, command_words words)
    -> exit_code;

/// Waits until every daemon has an offset in force.
auto run_wait(command_context const& context, command_words words) -> exit_code;

/// Turns the recording of one daemon's events on or off.
auto run_record(command_context const& context, command_words words)
    -> exit_code;

/// Prints what one daemon recorded, as JSON lines.
auto run_trace(command_context const& context, command_words words)
    -> exit_code;

} // namespace sapphirereel::client

#endif
