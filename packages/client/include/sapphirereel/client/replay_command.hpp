/// \file
/// Defines the command that replays a recorded trace. It needs no daemon.
#ifndef SAPPHIREREEL_CLIENT_REPLAY_COMMAND_HPP
#define SAPPHIREREEL_CLIENT_REPLAY_COMMAND_HPP

#include "sapphirereel/client/command_context.hpp"

namespace sapphirereel::client {

/// Replays a trace and prints its outcome in words. Rejected where an action
/// differs from the recorded one or a promise to a caller is broken.
auto run_replay(command_context const& context, command_words words)
    -> exit_code;

} // namespace sapphirereel::client

#endif
