#include "sapphirereel/daemon/settings_table.hpp"

#include <fmt/format.h>

namespace sapphirereel::daemon {
namespace {

constexpr auto introduction = std::string_view{
    R"(# Settings of sapphirereeld

The daemon reads one INI file. Every error in it is reported at once, with file,
line and mend; the daemon then ends with status 2 and opens no socket.
`sapphirereeld --check FILE` does only that.

This page is written from the table in `packages/daemon/src/settings_table.cpp`;
a test compares the two.

Kinds of values:

- name: letters, digits, `-`, `_` and `.`
- address: IP number and port, `10.0.0.1:7100` or `[fd00::1]:7100`
- key: 64 hexadecimal digits
- count: whole number
- bytes: whole number, with `KiB`, `MiB` or `GiB` if wanted
- ratio: decimal number
- time: whole number with a unit, `us`, `ms`, `s`, `min` or `h`
- level: `debug`, `info`, `warning` or `error`

A line that starts with `#` or `;` is a comment. A key that is given twice, an
unknown key and an unknown section are errors.
)"};

auto kind_name(setting_kind kind) -> std::string_view
{
    switch (kind)
    {
    case setting_kind::name:
        return "name";
    case setting_kind::address:
        return "address";
    case setting_kind::key:
        return "key";
    case setting_kind::count:
        return "count";
    case setting_kind::bytes:
        return "bytes";
    case setting_kind::ratio:
        return "ratio";
    case setting_kind::time:
        return "time";
    case setting_kind::level:
        return "level";
    }
    return "";
}

auto default_column(setting_key const& key) -> std::string_view
{
    if (!key.default_text.empty())
    {
        return key.default_text;
    }
    return key.optional ? "none" : "must be given";
}

auto range_column(setting_key const& key) -> std::string
{
    if (key.minimum.empty())
    {
        return "";
    }
    return fmt::format("{} to {}", key.minimum, key.maximum);
}

} // namespace

auto settings_page() -> std::string
{
    auto page = std::string{introduction};
    auto section = std::string_view{};
    for (auto const& key : setting_keys())
    {
        if (key.section != section)
        {
            section = key.section;
            page += fmt::format(
                "\n## [{}]\n\n| Key | Kind | Default | Range | Meaning |\n"
                "|---|---|---|---|---|\n",
                section);
        }
        page += fmt::format(
            "| `{}` | {} | {} | {} | {} |\n", key.key, kind_name(key.kind),
            default_column(key), range_column(key), key.meaning);
    }
    return page;
}

} // namespace sapphirereel::daemon
