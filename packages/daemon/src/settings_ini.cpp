#include "sapphirereel/daemon/settings_ini.hpp"

#include "sapphirereel/core/invariant.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <memory>
#include <optional>
#include <strings.h>

extern "C"
{
#include <ini_configobj.h>
#include <ini_valueobj.h>
}

namespace sapphirereel::daemon::internal {
namespace {

constexpr auto collisions =
    std::uint32_t{INI_MV1S_ALLOW | INI_MV2S_ALLOW | INI_MS_MERGE};
constexpr auto parse_flags =
    std::uint32_t{INI_PARSE_NOWRAP | INI_PARSE_NO_C_COMMENTS};

/// Rounds of repair: the library reads nothing of a text with errors, so the
/// lines that it names are mended and the text is read again.
constexpr auto max_rounds = 4;

struct object_deleter
{
    auto operator()(ini_cfgobj* object) const -> void
    {
        ini_config_destroy(object);
    }
};

struct file_deleter
{
    auto operator()(ini_cfgfile* file) const -> void
    {
        ini_config_file_destroy(file);
    }
};

using object_pointer = std::unique_ptr<ini_cfgobj, object_deleter>;
using file_pointer = std::unique_ptr<ini_cfgfile, file_deleter>;

struct line_error
{
    int line = 0;
    std::string message;
};

struct parsed_text
{
    object_pointer object;
    std::vector<line_error> errors;
    bool complete = false;
};

auto split_lines(std::string_view text) -> std::vector<std::string>
{
    auto lines = std::vector<std::string>{};
    while (!text.empty())
    {
        auto const end = std::min(text.find('\n'), text.size());
        auto line = std::string{text.substr(0, end)};
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.ends_with('\r'))
        {
            line.pop_back();
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

auto trimmed(std::string_view text) -> std::string_view
{
    constexpr auto blanks = std::string_view{" \t"};
    auto const first = std::min(text.find_first_not_of(blanks), text.size());
    text.remove_prefix(first);
    auto const last = text.find_last_not_of(blanks);
    return text.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

/// Leading blanks mean a continued value to the library, and control bytes end
/// its strings early; neither is wanted in settings.
auto clean_lines(
    std::vector<std::string>& lines,
    std::string const& source,
    findings& errors) -> void
{
    auto number = 0;
    for (auto& line : lines)
    {
        ++number;
        line = std::string{trimmed(line)};
        auto const bad = std::any_of(line.begin(), line.end(), [](char c) {
            auto const byte = static_cast<unsigned char>(c);
            return (byte < 0x20 && c != '\t') || byte >= 0x7f;
        });
        auto const comment = line.starts_with('#') || line.starts_with(';');
        if (comment)
        {
            line.clear();
        }
        else if (bad)
        {
            errors.push_back(
                {{source, number, ""},
                 "the line has bytes that are not printable ASCII",
                 "remove them"});
            line.clear();
        }
    }
}

auto join_lines(std::vector<std::string> const& lines) -> std::string
{
    auto text = std::string{};
    for (auto const& line : lines)
    {
        text += line;
        text += '\n';
    }
    return text;
}

/// Takes the line and message from "Error (5) on line 9: Message".
auto read_error(std::string_view text) -> line_error
{
    constexpr auto marker = std::string_view{" on line "};
    auto const at = text.find(marker);
    if (at == std::string_view::npos)
    {
        return {0, std::string{text}};
    }
    auto const* const first = text.data() + at + marker.size();
    auto error = line_error{};
    auto const [stop, status] =
        std::from_chars(first, text.data() + text.size(), error.line);
    auto rest = text.substr(static_cast<std::size_t>(stop - text.data()));
    rest.remove_prefix(std::min(rest.find_first_not_of(": "), rest.size()));
    error.message = std::string{rest};
    return error;
}

auto errors_of(ini_cfgobj* object) -> std::vector<line_error>
{
    auto errors = std::vector<line_error>{};
    char** texts = nullptr;
    if (ini_config_get_errors(object, &texts) != 0 || texts == nullptr)
    {
        return errors;
    }
    for (auto** text = texts; *text != nullptr; ++text)
    {
        errors.push_back(read_error(*text));
    }
    ini_config_free_errors(texts);
    return errors;
}

auto parse(std::string text) -> parsed_text
{
    ini_cfgobj* object = nullptr;
    require_invariant(
        ini_config_create(&object) == 0, "an INI object can be made");
    auto parsed = parsed_text{object_pointer{object}, {}, false};
    ini_cfgfile* file = nullptr;
    auto const length = static_cast<std::uint32_t>(text.size());
    if (ini_config_file_from_mem(text.data(), length, &file) != 0)
    {
        parsed.errors.push_back({0, "the text cannot be read"});
        return parsed;
    }
    auto const owned = file_pointer{file};
    auto const status = ini_config_parse(
        file, INI_STOP_ON_NONE, collisions, parse_flags, object);
    parsed.complete = status == 0;
    parsed.errors = errors_of(object);
    return parsed;
}

/// Closes an open section header, so that its keys are not taken for another
/// section's; empties any other line.
auto mend_line(std::string& line) -> void
{
    auto const header = line.starts_with('[') && !line.ends_with(']');
    line = header && line.size() > 1 ? line + "]" : std::string{};
}

auto mend_for(std::string const& line) -> std::string
{
    return line.starts_with('[') ? "write a section as [name]"
                                 : "write a setting as key = value";
}

auto parse_with_repair(
    std::vector<std::string> lines, std::string const& source, findings& errors)
    -> parsed_text
{
    auto parsed = parse(join_lines(lines));
    for (auto round = 0; round < max_rounds && !parsed.complete; ++round)
    {
        for (auto const& error : parsed.errors)
        {
            auto const known =
                error.line >= 1 &&
                static_cast<std::size_t>(error.line) <= lines.size();
            auto empty = std::string{};
            auto& line =
                known ? lines[static_cast<std::size_t>(error.line) - 1] : empty;
            errors.push_back(
                {{source, error.line, ""}, error.message, mend_for(line)});
            mend_line(line);
        }
        parsed = parse(join_lines(lines));
    }
    if (!parsed.complete)
    {
        errors.push_back(
            {{source, 0, ""}, "the text cannot be read", "write it as INI"});
    }
    return parsed;
}

auto same_key(std::string const& a, std::string const& b) -> bool
{
    return strcasecmp(a.c_str(), b.c_str()) == 0;
}

auto find_value(
    ini_cfgobj* object,
    std::string const& section,
    std::string const& key,
    int mode) -> std::optional<ini_entry>
{
    value_obj* value = nullptr;
    auto const status = ini_get_config_valueobj(
        section.c_str(), key.c_str(), object, mode, &value);
    if (status != 0 || value == nullptr)
    {
        return std::nullopt;
    }
    auto line = std::uint32_t{0};
    char const* text = nullptr;
    value_get_line(value, &line);
    value_get_concatenated(value, &text);
    return ini_entry{
        section, key, text == nullptr ? "" : text, static_cast<int>(line)};
}

auto entries_of(
    ini_cfgobj* object,
    std::string const& section,
    std::vector<ini_entry>& entries) -> void
{
    auto size = 0;
    auto** const names =
        ini_get_attribute_list(object, section.c_str(), &size, nullptr);
    auto seen = std::vector<std::string>{};
    for (auto i = 0; names != nullptr && i < size; ++i)
    {
        auto const key = std::string{names[i]};
        auto const is_same = [&key](auto const& other) {
            return same_key(key, other);
        };
        if (std::any_of(seen.begin(), seen.end(), is_same))
        {
            continue;
        }
        seen.push_back(key);
        auto entry = find_value(object, section, key, INI_GET_FIRST_VALUE);
        while (entry)
        {
            entries.push_back(*entry);
            entry = find_value(object, section, key, INI_GET_NEXT_VALUE);
        }
    }
    ini_free_attribute_list(names);
}

auto section_line(
    std::vector<std::string> const& lines, std::string const& section) -> int
{
    auto number = 0;
    for (auto const& line : lines)
    {
        ++number;
        if (line.size() < 2 || line.front() != '[')
        {
            continue;
        }
        auto const end = std::min(line.find(']'), line.size());
        auto const name = trimmed(std::string_view{line}.substr(1, end - 1));
        if (same_key(std::string{name}, section))
        {
            return number;
        }
    }
    return 0;
}

} // namespace

auto read_ini(std::string_view text, std::string const& source) -> ini_content
{
    auto content = ini_content{};
    auto lines = split_lines(text);
    clean_lines(lines, source, content.errors);
    auto const parsed = parse_with_repair(lines, source, content.errors);
    auto size = 0;
    auto** const names =
        ini_get_section_list(parsed.object.get(), &size, nullptr);
    for (auto i = 0; names != nullptr && i < size; ++i)
    {
        auto const section = std::string{names[i]};
        content.sections.push_back({section, section_line(lines, section)});
        entries_of(parsed.object.get(), section, content.entries);
    }
    ini_free_section_list(names);
    std::stable_sort(
        content.entries.begin(), content.entries.end(),
        [](auto const& a, auto const& b) { return a.line < b.line; });
    return content;
}

} // namespace sapphirereel::daemon::internal
