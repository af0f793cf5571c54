/// \file
/// Defines what the stand-in programs have in common.
#ifndef SAPPHIREREEL_STANDINS_PROGRAM_HPP
#define SAPPHIREREEL_STANDINS_PROGRAM_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/finding.hpp"

#include <functional>
#include <memory>
#include <string_view>

namespace sapphirereel::standins {

/// Reads `ip:port`.
auto parse_address(std::string_view text) -> result<socket_address>;

/// Writes each finding as a JSON line to standard error.
auto log_findings(findings const& all) -> void;

/// Writes where a program listens as a JSON line to standard error.
auto log_listening(std::string_view program, socket_address const& address)
    -> void;

namespace internal {

/// Makes SIGINT and SIGTERM wait for await_termination(). Call it before the
/// first thread starts.
auto block_termination() -> void;
auto await_termination() -> void;

} // namespace internal

/// Starts a stand-in, runs it until SIGINT or SIGTERM and answers the exit
/// code of the program.
template <class Start>
auto run_program(std::string_view program, bool verbose, Start start) -> int
{
    internal::block_termination();
    auto const stand_in = start();
    if (!stand_in)
    {
        log_findings(stand_in.error());
        return 1;
    }
    if (verbose)
    {
        log_listening(program, (*stand_in)->address());
    }
    internal::await_termination();
    return 0;
}

} // namespace sapphirereel::standins

#endif
