/// \file
/// Defines the commands that list, show and edit the configuration's objects.
#ifndef SAPPHIREREEL_CLIENT_OBJECT_COMMANDS_HPP
#define SAPPHIREREEL_CLIENT_OBJECT_COMMANDS_HPP

#include "sapphirereel/client/command_context.hpp"

namespace sapphirereel::client {

auto run_groups(command_context const& context, command_words words)
    -> exit_code;
auto run_endpoints(command_context const& context, command_words words)
    -> exit_code;
auto run_services(command_context const& context, command_words words)
    -> exit_code;
auto run_selectors(command_context const& context, command_words words)
    -> exit_code;
auto run_shares(command_context const& context, command_words words)
    -> exit_code;

/// Prints the whole configuration as JSON, in the form that `apply` takes.
auto run_configuration(command_context const& context, command_words words)
    -> exit_code;

/// Publishes the changes of a file as one edit.
auto run_apply(command_context const& context, command_words words)
    -> exit_code;

/// Shows what `apply` would change.
auto run_diff(command_context const& context, command_words words) -> exit_code;

/// Asks for the verdict on an edit.
auto run_verdict(command_context const& context, command_words words)
    -> exit_code;

} // namespace sapphirereel::client

#endif
