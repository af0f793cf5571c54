/// \file
/// Defines the command that tells one request's story from logs. It needs no
/// daemon.
#ifndef SAPPHIREREEL_CLIENT_EXPLAIN_REQUEST_COMMAND_HPP
#define SAPPHIREREEL_CLIENT_EXPLAIN_REQUEST_COMMAND_HPP

#include "sapphirereel/client/command_context.hpp"

namespace sapphirereel::client {

/// Prints what the named log files, or standard input, hold of a request.
/// Rejected where they hold nothing.
auto run_explain_request(command_context const& context, command_words words)
    -> exit_code;

} // namespace sapphirereel::client

#endif
