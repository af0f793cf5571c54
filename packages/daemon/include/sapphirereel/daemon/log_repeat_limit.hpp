/// \file
/// Defines how often a repeated fault is written to the log.
#ifndef SAPPHIREREEL_DAEMON_LOG_REPEAT_LIMIT_HPP
#define SAPPHIREREEL_DAEMON_LOG_REPEAT_LIMIT_HPP

#include "sapphirereel/core/clock.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sapphirereel::daemon {

/// What makes two faults the same.
struct log_fault
{
    std::string module;
    std::string message;
    auto operator<=>(log_fault const&) const = default;
};

/// Lets each fault through once in an interval and counts the others. Holds a
/// bounded number of faults; the one written longest ago is forgotten first.
class log_repeat_limit
{
public:
    /// Most faults that are told apart.
    static constexpr auto max_faults = std::size_t{256};

    explicit log_repeat_limit(duration interval);

    /// The number of suppressed repetitions to write along with this one;
    /// nothing if this one is suppressed.
    auto admit(log_fault const& fault, time_point now)
        -> std::optional<std::uint64_t>;

private:
    struct record
    {
        time_point written;
        std::uint64_t suppressed = 0;
    };

    auto forget_oldest() -> void;

    duration interval_;
    std::map<log_fault, record> records_;
};

} // namespace sapphirereel::daemon

#endif
