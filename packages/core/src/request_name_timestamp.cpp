#include "sapphirereel/core/request_name_timestamp.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace sapphirereel {

namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;
constexpr std::size_t time_end = 13;
constexpr std::array<std::size_t, 4> dash_positions{8, 13, 18, 23};

auto is_dash_position(std::size_t position) -> bool
{
    for (auto const dash : dash_positions)
    {
        if (position == dash)
        {
            return true;
        }
    }
    return false;
}

auto hex_value(char c) -> int
{
    if (c >= '0' && c <= '9')
    {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f')
    {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F')
    {
        return c - 'A' + 10;
    }
    return -1;
}

auto is_uuid(std::string const& text) -> bool
{
    if (text.size() != uuid_length)
    {
        return false;
    }
    for (std::size_t i = 0; i < uuid_length; ++i)
    {
        auto const fits =
            is_dash_position(i) ? text[i] == '-' : hex_value(text[i]) >= 0;
        if (!fits)
        {
            return false;
        }
    }
    return true;
}

auto is_version_7(std::string const& text) -> bool
{
    auto const variant = hex_value(text[variant_position]);
    return text[version_position] == '7' && (variant & 0xc) == 0x8;
}

} // namespace

auto request_name_timestamp(request_name const& name)
    -> std::optional<wall_time>
{
    auto const& text = name.str();
    if (!is_uuid(text) || !is_version_7(text))
    {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    for (std::size_t i = 0; i < time_end; ++i)
    {
        if (!is_dash_position(i))
        {
            milliseconds = milliseconds * 16 + hex_value(text[i]);
        }
    }
    return wall_time{milliseconds};
}

} // namespace sapphirereel
