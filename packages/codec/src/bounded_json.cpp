#include "sapphirereel/codec/bounded_json.hpp"

#include <cstddef>
#include <string>

namespace sapphirereel::codec {
namespace {

using nlohmann::json;

/// Accepts every value and stops the reader at the first one that is nested
/// too deeply.
class depth_check : public nlohmann::json_sax<json>
{
public:
    auto null() -> bool override
    {
        return true;
    }

    auto boolean(bool /*value*/) -> bool override
    {
        return true;
    }

    auto number_integer(number_integer_t /*value*/) -> bool override
    {
        return true;
    }

    auto number_unsigned(number_unsigned_t /*value*/) -> bool override
    {
        return true;
    }

    auto number_float(number_float_t /*value*/, string_t const& /*text*/)
        -> bool override
    {
        return true;
    }

    auto string(string_t& /*value*/) -> bool override
    {
        return true;
    }

    auto binary(binary_t& /*value*/) -> bool override
    {
        return true;
    }

    auto key(string_t& /*value*/) -> bool override
    {
        return true;
    }

    auto start_object(std::size_t /*elements*/) -> bool override
    {
        return ++depth_ <= max_json_depth;
    }

    auto end_object() -> bool override
    {
        --depth_;
        return true;
    }

    auto start_array(std::size_t /*elements*/) -> bool override
    {
        return ++depth_ <= max_json_depth;
    }

    auto end_array() -> bool override
    {
        --depth_;
        return true;
    }

    auto parse_error(
        std::size_t /*position*/,
        std::string const& /*token*/,
        nlohmann::detail::exception const& /*error*/) -> bool override
    {
        return false;
    }

private:
    int depth_ = 0;
};

auto unless_discarded(json parsed) -> std::optional<json>
{
    if (parsed.is_discarded())
    {
        return std::nullopt;
    }
    return parsed;
}

} // namespace

auto json_depth_is_bounded(std::string_view text) -> bool
{
    auto depth = 0;
    auto in_string = false;
    for (auto i = std::size_t{0}; i < text.size(); ++i)
    {
        auto const c = text[i];
        if (in_string)
        {
            // The character after a backslash is no closing quote.
            i += c == '\\' ? 1U : 0U;
            in_string = c != '"';
            continue;
        }
        in_string = c == '"';
        depth += c == '[' || c == '{' ? 1 : 0;
        depth -= c == ']' || c == '}' ? 1 : 0;
        if (depth > max_json_depth)
        {
            return false;
        }
    }
    return true;
}

auto parse_bounded_json(std::string_view text) -> std::optional<json>
{
    if (!json_depth_is_bounded(text))
    {
        return std::nullopt;
    }
    return unless_discarded(json::parse(text, nullptr, false));
}

auto parse_bounded_msgpack(std::string_view bytes) -> std::optional<json>
{
    auto check = depth_check{};
    if (!json::sax_parse(bytes, &check, json::input_format_t::msgpack))
    {
        return std::nullopt;
    }
    return unless_discarded(json::from_msgpack(bytes, true, false));
}

} // namespace sapphirereel::codec
