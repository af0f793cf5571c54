/// \file
/// Defines the kinds of value that a setting can have and how they are read
/// from their text.
#ifndef SAPPHIREREEL_DAEMON_SETTINGS_VALUE_HPP
#define SAPPHIREREEL_DAEMON_SETTINGS_VALUE_HPP

#include "sapphirereel/codec/signing_key.hpp"
#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/daemon/settings.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

namespace sapphirereel::daemon {

/// What a setting's text must be.
enum class setting_kind
{
    /// A name: letters, digits, `-`, `_` and `.`.
    name,
    /// An IP number and port: `10.0.0.1:7100` or `[fd00::1]:7100`.
    address,
    /// 64 hexadecimal digits.
    key,
    /// A whole number.
    count,
    /// A whole number of bytes with an optional unit KiB, MiB or GiB.
    bytes,
    /// A decimal number.
    ratio,
    /// A whole number with a unit: us, ms, s, min or h.
    time,
    /// A log level: debug, info, warning or error.
    level
};

/// The value of one setting.
using setting_value = std::variant<
    std::string,
    socket_address,
    codec::signing_key,
    std::int64_t,
    double,
    duration,
    log_level>;

/// What is wrong with a setting's text, and how to mend it.
struct setting_error
{
    std::string message;
    std::string mend;
    auto operator<=>(setting_error const&) const = default;
};

using setting_result = tl::expected<setting_value, setting_error>;

/// Reads a value of a kind from its text.
/// Example: `parse_setting(setting_kind::time, "250ms")`.
auto parse_setting(setting_kind kind, std::string_view text) -> setting_result;

/// The size of a value on its kind's scale, for range checks: a number, bytes
/// or microseconds. Zero for kinds without one.
auto magnitude(setting_value const& value) -> double;

} // namespace sapphirereel::daemon

#endif
