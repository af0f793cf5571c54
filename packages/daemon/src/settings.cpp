#include "sapphirereel/daemon/settings.hpp"

#include "sapphirereel/core/invariant.hpp"
#include "sapphirereel/daemon/settings_conflicts.hpp"
#include "sapphirereel/daemon/settings_ini.hpp"
#include "sapphirereel/daemon/settings_suggestion.hpp"
#include "sapphirereel/daemon/settings_table.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <vector>

namespace sapphirereel::daemon {
namespace {

/// Longest settings file, in bytes.
constexpr auto max_file_bytes = std::size_t{1} << 20U;

/// Fills settings from entries and collects what is wrong with them.
class settings_reader
{
public:
    settings_reader(internal::ini_content content, std::string source)
        : content_(std::move(content))
        , source_(std::move(source))
        , errors_(std::move(content_.errors))
    {}

    auto read() -> result<settings>
    {
        check_sections();
        check_keys();
        for (auto const& key : setting_keys())
        {
            read_key(key);
        }
        if (values_.identity.advertised_address == socket_address{})
        {
            values_.identity.advertised_address =
                values_.identity.caller_address;
        }
        check_conflicts();
        if (!errors_.empty())
        {
            std::stable_sort(
                errors_.begin(), errors_.end(),
                [](auto const& a, auto const& b) {
                    return a.where.line < b.where.line;
                });
            return tl::unexpected{errors_};
        }
        return values_;
    }

private:
    auto report(
        int line, std::string field, std::string message, std::string mend)
        -> void
    {
        errors_.push_back(
            {{source_, line, std::move(field)},
             std::move(message),
             std::move(mend)});
    }

    static auto known_sections() -> std::vector<std::string_view>
    {
        auto names = std::vector<std::string_view>{};
        for (auto const& key : setting_keys())
        {
            if (names.empty() || names.back() != key.section)
            {
                names.push_back(key.section);
            }
        }
        return names;
    }

    static auto known_keys(std::string_view section)
        -> std::vector<std::string_view>
    {
        auto names = std::vector<std::string_view>{};
        for (auto const& key : setting_keys())
        {
            if (key.section == section)
            {
                names.push_back(key.key);
            }
        }
        return names;
    }

    auto check_sections() -> void
    {
        auto const known = known_sections();
        for (auto const& section : content_.sections)
        {
            if (std::count(known.begin(), known.end(), section.name) == 0)
            {
                report(
                    section.line, section.name,
                    fmt::format("unknown section [{}]", section.name),
                    fmt::format(
                        "did you mean [{}]?",
                        internal::nearest_name(section.name, known)));
            }
        }
    }

    auto check_keys() -> void
    {
        for (auto const& entry : content_.entries)
        {
            auto const known = known_keys(entry.section);
            if (!known.empty() &&
                std::count(known.begin(), known.end(), entry.key) == 0)
            {
                report(
                    entry.line, field_name(entry.section, entry.key),
                    fmt::format(
                        "unknown key {} in [{}]", entry.key, entry.section),
                    fmt::format(
                        "did you mean {}?",
                        internal::nearest_name(entry.key, known)));
            }
        }
    }

    static auto field_name(std::string_view section, std::string_view key)
        -> std::string
    {
        return fmt::format("{}.{}", section, key);
    }

    auto find(std::string_view section, std::string_view key) const
        -> std::vector<internal::ini_entry>
    {
        auto found = std::vector<internal::ini_entry>{};
        std::copy_if(
            content_.entries.begin(), content_.entries.end(),
            std::back_inserter(found), [&](auto const& entry) {
                return entry.section == section && entry.key == key;
            });
        return found;
    }

    auto line_of(std::string_view field) const -> int
    {
        auto const dot = field.find('.');
        auto const found = find(field.substr(0, dot), field.substr(dot + 1));
        return found.empty() ? 0 : found.front().line;
    }

    auto read_key(setting_key const& key) -> void
    {
        auto const entries = find(key.section, key.key);
        auto const field = field_name(key.section, key.key);
        if (entries.empty())
        {
            read_absent(key, field);
            return;
        }
        for (auto i = std::size_t{1}; i < entries.size(); ++i)
        {
            report(
                entries[i].line, field,
                fmt::format(
                    "{} is given twice, first on line {}", key.key,
                    entries.front().line),
                "remove one of them");
        }
        read_text(key, entries.front().value, entries.front().line);
    }

    auto read_absent(setting_key const& key, std::string const& field) -> void
    {
        if (!key.default_text.empty())
        {
            read_text(key, key.default_text, 0);
        }
        else if (!key.optional)
        {
            report(
                0, field, fmt::format("{} is missing", field),
                fmt::format("add it under [{}]", key.section));
        }
    }

    auto read_text(setting_key const& key, std::string_view text, int line)
        -> void
    {
        auto const field = field_name(key.section, key.key);
        auto const value = parse_setting(key.kind, text);
        if (!value)
        {
            // A secret is not repeated in findings, which may be logged.
            auto const shown =
                key.kind == setting_kind::key ? "..." : std::string{text};
            report(
                line, field,
                fmt::format(
                    "{} = {}: {}", key.key, shown, value.error().message),
                value.error().mend);
            return;
        }
        if (out_of_range(key, *value))
        {
            report(
                line, field,
                fmt::format("{} = {} is out of range", key.key, text),
                fmt::format(
                    "write a value from {} to {}", key.minimum, key.maximum));
            return;
        }
        key.store(values_, *value);
    }

    static auto out_of_range(setting_key const& key, setting_value const& value)
        -> bool
    {
        if (key.minimum.empty())
        {
            return false;
        }
        auto const low = parse_setting(key.kind, key.minimum);
        auto const high = parse_setting(key.kind, key.maximum);
        require_invariant(
            low && high, "the bounds of a setting are of its kind");
        auto const size = magnitude(value);
        return size < magnitude(*low) || size > magnitude(*high);
    }

    auto has_error(std::string_view field) const -> bool
    {
        return std::any_of(
            errors_.begin(), errors_.end(),
            [field](auto const& error) { return error.where.field == field; });
    }

    auto check_conflicts() -> void
    {
        for (auto const& conflict : internal::settings_conflicts(values_))
        {
            if (has_error(conflict.field) || has_error(conflict.other_field))
            {
                continue;
            }
            report(
                line_of(conflict.field), std::string{conflict.field},
                conflict.message, conflict.mend);
        }
    }

    internal::ini_content content_;
    std::string source_;
    findings errors_;
    settings values_;
};

} // namespace

auto settings::load(std::string const& path) -> result<settings>
{
    auto file = std::ifstream{path, std::ios::binary};
    if (!file)
    {
        return tl::unexpected{findings{
            {{path, 0, ""},
             "the settings file cannot be opened",
             "check the path and its permissions"}}};
    }
    auto text = std::string(max_file_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > max_file_bytes || file.bad())
    {
        return tl::unexpected{findings{
            {{path, 0, ""},
             "the settings file cannot be read, or is longer than 1 MiB",
             "check that it is the right file"}}};
    }
    return parse(text, path);
}

auto settings::parse(std::string_view text, std::string const& source)
    -> result<settings>
{
    auto reader = settings_reader{internal::read_ini(text, source), source};
    return reader.read();
}

} // namespace sapphirereel::daemon
