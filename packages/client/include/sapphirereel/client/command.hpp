/// \file
/// Defines the client's commands by name, their help, and how one is run.
#ifndef SAPPHIREREEL_CLIENT_COMMAND_HPP
#define SAPPHIREREEL_CLIENT_COMMAND_HPP

#include "sapphirereel/client/command_context.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace sapphirereel::client {

/// One command of the client.
struct command
{
    std::string_view name;
    std::string_view usage;
    std::string_view summary;
    std::string_view example;
    auto(*run)(command_context const& context, command_words words)
        -> exit_code;
    /// Whether it asks a daemon; others work on files alone.
    bool needs_daemon = true;
};

/// All commands, in the order in which help lists them.
auto commands() -> std::span<command const>;

/// The command of this name, or nothing.
auto find_command(std::string_view name) -> command const*;

/// Prints what every command does, the options and the exit codes.
auto print_help(std::ostream& out) -> void;

/// Prints the usage, purpose and an example of one command.
auto print_help(std::ostream& out, command const& of) -> void;

/// Runs the command that the first word names.
/// Example: `run_command(context, {"groups", "list"})`.
auto run_command(
    command_context const& context, std::vector<std::string> const& words)
    -> exit_code;

} // namespace sapphirereel::client

#endif
