/// \file
/// Defines the table of all settings. It drives reading, checking, the help of
/// `sapphirereeld --check` and the page docs/SETTINGS.md.
#ifndef SAPPHIREREEL_DAEMON_SETTINGS_TABLE_HPP
#define SAPPHIREREEL_DAEMON_SETTINGS_TABLE_HPP

#include "sapphirereel/daemon/settings.hpp"
#include "sapphirereel/daemon/settings_value.hpp"

#include <span>
#include <string>
#include <string_view>

namespace sapphirereel::daemon {

/// One key of the settings file.
struct setting_key
{
    std::string_view section;
    std::string_view key;
    setting_kind kind;
    /// Text of the default; empty: the key must be given, unless optional.
    std::string_view default_text;
    /// Whether the key may be absent although it has no default.
    bool optional;
    /// Texts of the smallest and largest value; empty: no bound.
    std::string_view minimum;
    std::string_view maximum;
    std::string_view meaning;
    /// Puts a value of the key's kind into its place.
    auto(*store)(settings& target, setting_value const& value) -> void;
};

/// All keys, section by section in the order of the page.
auto setting_keys() -> std::span<setting_key const>;

/// The text of docs/SETTINGS.md.
auto settings_page() -> std::string;

} // namespace sapphirereel::daemon

#endif
