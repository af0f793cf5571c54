#include "sapphirereel/daemon/settings_value.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <sodium.h>

#ifndef ASIO_STANDALONE
#define ASIO_STANDALONE
#endif
#include <asio/ip/address.hpp>

namespace sapphirereel::daemon {
namespace {

struct unit
{
    std::string_view name;
    std::int64_t factor;
};

constexpr auto millisecond = std::int64_t{1000};
constexpr auto second = 1000 * millisecond;
constexpr auto kibibyte = std::int64_t{1024};

constexpr auto time_units = std::array{
    unit{"us", 1}, unit{"ms", millisecond}, unit{"s", second},
    unit{"min", 60 * second}, unit{"h", 3600 * second}};

constexpr auto byte_units = std::array{
    unit{"", 1}, unit{"KiB", kibibyte}, unit{"MiB", kibibyte* kibibyte},
    unit{"GiB", kibibyte* kibibyte* kibibyte}};

auto fail(std::string message, std::string mend)
    -> tl::unexpected<setting_error>
{
    return tl::unexpected{setting_error{std::move(message), std::move(mend)}};
}

auto is_name_character(char c) -> bool
{
    auto const byte = static_cast<unsigned char>(c);
    return std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.';
}

auto parse_name(std::string_view text) -> setting_result
{
    if (!std::all_of(text.begin(), text.end(), is_name_character))
    {
        return fail("not a name", "use letters, digits, '-', '_' and '.' only");
    }
    return std::string{text};
}

template <class Number>
auto whole_number(std::string_view text) -> std::optional<Number>
{
    auto number = Number{};
    auto const* const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || stop != end)
    {
        return std::nullopt;
    }
    return number;
}

auto parse_address(std::string_view text) -> setting_result
{
    constexpr auto mend = "write an IP number and a port, as in "
                          "127.0.0.1:7100 or [::1]:7100";
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return fail("not an address: the port is missing", mend);
    }
    auto ip = text.substr(0, colon);
    auto const bracketed = ip.starts_with('[') && ip.ends_with(']');
    if (bracketed)
    {
        ip = ip.substr(1, ip.size() - 2);
    }
    auto error = asio::error_code{};
    auto const number = asio::ip::make_address(std::string{ip}, error);
    if (error || number.is_v6() != bracketed)
    {
        return fail("not an address: no IP number", mend);
    }
    auto const port = whole_number<std::uint16_t>(text.substr(colon + 1));
    if (!port)
    {
        return fail("not an address: no port from 0 to 65535", mend);
    }
    return socket_address{number.to_string(), *port};
}

auto parse_key(std::string_view text) -> setting_result
{
    auto key = codec::signing_key{};
    auto length = std::size_t{0};
    char const* stop = nullptr;
    auto const status = sodium_hex2bin(
        key.bytes.data(), key.bytes.size(), text.data(), text.size(), nullptr,
        &length, &stop);
    auto const whole = stop == text.data() + text.size();
    if (status != 0 || length != key.bytes.size() || !whole)
    {
        return fail(
            "not a key", "write 64 hexadecimal digits, the same for every "
                         "daemon of the deployment");
    }
    return key;
}

auto parse_count(std::string_view text) -> setting_result
{
    auto const number = whole_number<std::int64_t>(text);
    if (!number)
    {
        return fail("not a whole number", "write digits only");
    }
    return *number;
}

template <class Units>
auto scaled(std::string_view text, Units const& units)
    -> std::optional<std::int64_t>
{
    auto const split =
        std::min(text.find_first_not_of("0123456789"), text.size());
    auto const number = whole_number<std::int64_t>(text.substr(0, split));
    auto suffix = text.substr(split);
    suffix.remove_prefix(
        std::min(suffix.find_first_not_of(' '), suffix.size()));
    for (auto const& candidate : units)
    {
        if (!number || candidate.name != suffix)
        {
            continue;
        }
        if (*number >
            std::numeric_limits<std::int64_t>::max() / candidate.factor)
        {
            return std::nullopt;
        }
        return *number * candidate.factor;
    }
    return std::nullopt;
}

auto parse_bytes(std::string_view text) -> setting_result
{
    auto const bytes = scaled(text, byte_units);
    if (!bytes)
    {
        return fail(
            "not a number of bytes",
            "write a whole number, with KiB, MiB or GiB if wanted");
    }
    return *bytes;
}

auto parse_time(std::string_view text) -> setting_result
{
    auto const microseconds = scaled(text, time_units);
    if (!microseconds)
    {
        return fail(
            "not a length of time",
            "write a whole number with a unit (us, ms, s, min, h), as in "
            "250ms");
    }
    return duration{*microseconds};
}

auto parse_ratio(std::string_view text) -> setting_result
{
    auto number = 0.0;
    auto const* const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || stop != end || !std::isfinite(number))
    {
        return fail("not a number", "write a decimal number, as in 0.1");
    }
    return number;
}

auto parse_level(std::string_view text) -> setting_result
{
    constexpr auto names =
        std::array<std::string_view, 4>{"debug", "info", "warning", "error"};
    auto const found = std::find(names.begin(), names.end(), text);
    if (found == names.end())
    {
        return fail("not a log level", "use debug, info, warning or error");
    }
    return static_cast<log_level>(found - names.begin());
}

} // namespace

auto parse_setting(setting_kind kind, std::string_view text) -> setting_result
{
    if (text.empty())
    {
        return fail("the value is empty", "write a value after '='");
    }
    switch (kind)
    {
    case setting_kind::name:
        return parse_name(text);
    case setting_kind::address:
        return parse_address(text);
    case setting_kind::key:
        return parse_key(text);
    case setting_kind::count:
        return parse_count(text);
    case setting_kind::bytes:
        return parse_bytes(text);
    case setting_kind::ratio:
        return parse_ratio(text);
    case setting_kind::time:
        return parse_time(text);
    case setting_kind::level:
        return parse_level(text);
    }
    return fail("unknown kind of setting", "");
}

auto magnitude(setting_value const& value) -> double
{
    if (auto const* number = std::get_if<std::int64_t>(&value))
    {
        return static_cast<double>(*number);
    }
    if (auto const* number = std::get_if<double>(&value))
    {
        return *number;
    }
    if (auto const* length = std::get_if<duration>(&value))
    {
        return static_cast<double>(length->count());
    }
    return 0;
}

} // namespace sapphirereel::daemon
