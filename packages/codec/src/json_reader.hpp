/// \file
/// Defines reading of JSON that people wrote: each reader returns a value and
/// notes a finding, with its place, for all that is wrong.
#ifndef SAPPHIREREEL_CODEC_JSON_READER_HPP
#define SAPPHIREREEL_CODEC_JSON_READER_HPP

#include "sapphirereel/core/finding.hpp"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sapphirereel::internal {

/// A place in a JSON text: its source and a JSON pointer.
struct json_place
{
    std::string source;
    std::string pointer;

    [[nodiscard]] auto at(std::string const& key) const -> json_place
    {
        return {source, pointer + "/" + key};
    }
};

/// Notes an error at a place.
inline auto note(
    findings& found,
    json_place const& where,
    std::string message,
    std::string mend) -> void
{
    found.push_back(
        {{where.source, 0, where.pointer},
         std::move(message),
         std::move(mend)});
}

/// Parses a text, or tells the line of its first syntax error.
auto parse_json(std::string_view text, std::string const& source)
    -> result<nlohmann::json>;

/// The value of a JSON text, read by a reader; all that is wrong otherwise.
template <class Reader>
auto read_text_with(std::string_view text, std::string source, Reader read)
    -> result<std::decay_t<decltype(read(
        std::declval<nlohmann::json const&>(),
        std::declval<json_place const&>(),
        std::declval<findings&>()))>>
{
    auto const parsed = parse_json(text, source);
    if (!parsed)
    {
        return tl::unexpected(parsed.error());
    }
    auto found = findings{};
    auto value = read(*parsed, json_place{std::move(source), {}}, found);
    if (!found.empty())
    {
        return tl::unexpected(std::move(found));
    }
    return value;
}

auto read_string(
    nlohmann::json const& from, json_place const& where, findings& found)
    -> std::string;

auto read_flag(
    nlohmann::json const& from, json_place const& where, findings& found)
    -> bool;

/// A whole number of the type's range.
template <class Number>
auto read_number(
    nlohmann::json const& from, json_place const& where, findings& found)
    -> Number
{
    using limits = std::numeric_limits<Number>;
    auto const fits = from.is_number_unsigned()
                          ? std::in_range<Number>(from.get<std::uint64_t>())
                          : from.is_number_integer() &&
                                std::in_range<Number>(from.get<std::int64_t>());
    if (!fits)
    {
        note(
            found, where, "'" + from.dump() + "' is no whole number in range",
            "use " + std::to_string(limits::min()) + " to " +
                std::to_string(limits::max()));
        return {};
    }
    return from.get<Number>();
}

/// An identifier.
template <class Name>
auto read_name(
    nlohmann::json const& from, json_place const& where, findings& found)
    -> Name
{
    return Name{read_string(from, where, found)};
}

/// A list, each item read by `read`.
template <class Reader>
auto read_list(
    nlohmann::json const& from,
    json_place const& where,
    findings& found,
    Reader read)
    -> std::vector<std::decay_t<decltype(read(from, where, found))>>
{
    auto items =
        std::vector<std::decay_t<decltype(read(from, where, found))>>{};
    if (!from.is_array())
    {
        note(found, where, "a list is wanted here", "write [...]");
        return items;
    }
    auto position = std::size_t{0};
    for (auto const& item : from)
    {
        auto const item_place = where.at(std::to_string(position));
        items.push_back(read(item, item_place, found));
        ++position;
    }
    return items;
}

/// Reads the fields of one object; `finish` reports those nobody asked for.
class object_reader
{
public:
    object_reader(
        nlohmann::json const& from, json_place where, findings& found);

    /// Reads a field that must be there.
    template <class Reader>
    auto required(std::string const& key, Reader read)
        -> std::decay_t<decltype(read(
            std::declval<nlohmann::json const&>(),
            std::declval<json_place const&>(),
            std::declval<findings&>()))>
    {
        auto const* value = field(key);
        if (value == nullptr)
        {
            if (is_object_)
            {
                note(
                    found_, where_.at(key), "the field is missing",
                    "add \"" + key + "\"");
            }
            return {};
        }
        return read(*value, where_.at(key), found_);
    }

    /// Reads a field that may be left out, which then has `absent`.
    template <class Reader, class Value>
    auto optional(std::string const& key, Reader read, Value absent) -> Value
    {
        auto const* value = field(key);
        return value == nullptr ? std::move(absent)
                                : Value(read(*value, where_.at(key), found_));
    }

    [[nodiscard]] auto has(std::string const& key) const -> bool;

    auto finish() -> void;

private:
    auto field(std::string const& key) -> nlohmann::json const*;

    nlohmann::json const& from_;
    json_place where_;
    findings& found_;
    bool is_object_;
    std::set<std::string> known_;
};

} // namespace sapphirereel::internal

#endif
