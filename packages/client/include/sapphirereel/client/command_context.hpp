/// \file
/// Defines what a command works with, and the calls that several share.
#ifndef SAPPHIREREEL_CLIENT_COMMAND_CONTEXT_HPP
#define SAPPHIREREEL_CLIENT_COMMAND_CONTEXT_HPP

#include "sapphirereel/client/command_options.hpp"
#include "sapphirereel/client/daemon_client.hpp"

#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <span>
#include <string>

namespace sapphirereel::client {

/// Input, output and daemons of one invocation.
struct command_context
{
    command_options const& options;
    daemon_client const& daemon;
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
};

/// The words of a command line after the command's own.
using command_words = std::span<std::string const>;

/// The JSON that a daemon answers with, or the failure that it says.
auto ask(command_context const& context, daemon_call const& call)
    -> outcome<nlohmann::json>;

/// The JSON of an answer, or the failure that it says.
auto read_body(outcome<daemon_answer> const& answer) -> outcome<nlohmann::json>;

/// Reads a value from an answer's JSON, or says that it is not understood.
template <class Value>
auto read_answer(nlohmann::json const& answer) -> outcome<Value>
{
    try
    {
        return answer.get<Value>();
    }
    catch (nlohmann::json::exception const& error)
    {
        return fail(
            exit_code::unreachable, "the daemon's answer", error.what(),
            "use the client of the daemon's version");
    }
}

/// The text of a file, or of standard input for `-`.
auto read_file(command_context const& context, std::string const& path)
    -> outcome<std::string>;

/// Prints why a command failed, and its exit code.
auto report(command_context const& context, failure const& failed) -> exit_code;

} // namespace sapphirereel::client

#endif
