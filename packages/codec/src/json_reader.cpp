#include "json_reader.hpp"

#include <algorithm>

namespace sapphirereel::internal {
namespace {

/// The line, counted from 1, that a byte of the text is on.
auto line_of(std::string_view text, std::size_t byte) -> int
{
    auto const before = text.substr(0, byte);
    return static_cast<int>(std::count(before.begin(), before.end(), '\n')) + 1;
}

/// What the parser says, without its prefix in brackets.
auto parser_message(std::string const& text) -> std::string
{
    auto const end = text.find("] ");
    return end == std::string::npos ? text : text.substr(end + 2);
}

} // namespace

auto parse_json(std::string_view text, std::string const& source)
    -> result<nlohmann::json>
{
    try
    {
        return nlohmann::json::parse(text);
    }
    catch (nlohmann::json::parse_error const& error)
    {
        auto const byte = error.byte > 0 ? error.byte - 1 : 0;
        return tl::unexpected(findings{
            {{source, line_of(text, byte), {}},
             parser_message(error.what()),
             "correct the JSON"}});
    }
}

auto read_string(
    nlohmann::json const& from, json_place const& where, findings& found)
    -> std::string
{
    if (!from.is_string())
    {
        note(found, where, "a text is wanted here", "write it in quotes");
        return {};
    }
    return from.get<std::string>();
}

auto read_flag(
    nlohmann::json const& from, json_place const& where, findings& found)
    -> bool
{
    if (!from.is_boolean())
    {
        note(found, where, "a flag is wanted here", "write true or false");
        return false;
    }
    return from.get<bool>();
}

object_reader::object_reader(
    nlohmann::json const& from, json_place where, findings& found)
    : from_(from)
    , where_(std::move(where))
    , found_(found)
    , is_object_(from.is_object())
{
    if (!is_object_)
    {
        note(found_, where_, "an object is wanted here", "write {...}");
    }
}

auto object_reader::has(std::string const& key) const -> bool
{
    return is_object_ && from_.contains(key);
}

auto object_reader::finish() -> void
{
    if (!is_object_)
    {
        return;
    }
    for (auto const& [key, value] : from_.items())
    {
        if (!known_.contains(key))
        {
            note(
                found_, where_.at(key), "there is no such field here",
                "remove it, or correct its name");
        }
    }
}

auto object_reader::field(std::string const& key) -> nlohmann::json const*
{
    known_.insert(key);
    return has(key) ? &from_.at(key) : nullptr;
}

} // namespace sapphirereel::internal
