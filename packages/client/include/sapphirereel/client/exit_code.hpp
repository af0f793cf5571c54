/// \file
/// Defines the client's exit codes and the failures that lead to them.
#ifndef SAPPHIREREEL_CLIENT_EXIT_CODE_HPP
#define SAPPHIREREEL_CLIENT_EXIT_CODE_HPP

#include "sapphirereel/core/finding.hpp"

#include <tl/expected.hpp>

namespace sapphirereel::client {

/// What the program exits with.
enum class exit_code
{
    done = 0,
    /// A daemon answered no, or the edit was or would be rejected.
    rejected = 1,
    /// The command line or a file is wrong.
    usage = 2,
    /// No daemon could be reached, or its answer was lost.
    unreachable = 3,
    /// Not decided or not in force before the timeout.
    timeout = 4
};

/// Why a command ends early.
struct failure
{
    exit_code code = exit_code::usage;
    findings reasons;
    auto operator<=>(failure const&) const = default;
};

/// A value, or why the command ends.
template <class T>
using outcome = tl::expected<T, failure>;

/// A failure with one finding.
auto fail(
    exit_code code, std::string where, std::string message, std::string mend)
    -> tl::unexpected<failure>;

/// A user error with its findings.
auto fail(findings reasons) -> tl::unexpected<failure>;

} // namespace sapphirereel::client

#endif
