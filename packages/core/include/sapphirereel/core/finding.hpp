/// \file
/// Defines findings: user errors with their location and remedy, collected and
/// reported together. A violated invariant is not a finding; see invariant.hpp.
#ifndef SAPPHIREREEL_CORE_FINDING_HPP
#define SAPPHIREREEL_CORE_FINDING_HPP

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace sapphirereel {

/// Location of a finding: a file, stream or object, and a line or field in it.
/// Line 0 means that the source has no lines.
struct place
{
    std::string source;
    int line = 0;
    std::string field;
    auto operator<=>(place const&) const = default;
};

/// Severity of a finding. A warning does not reject the input.
enum class severity
{
    error,
    warning
};

/// What is wrong with the user's input, where, and how to fix it.
struct finding
{
    place where;
    std::string message;
    std::string mend;
    severity level = severity::error;
    auto operator<=>(finding const&) const = default;
};

using findings = std::vector<finding>;

/// A value, or everything that is wrong with the input that it was to be
/// created from.
template <class T>
using result = tl::expected<T, findings>;

} // namespace sapphirereel

#endif
