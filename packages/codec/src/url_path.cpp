#include "sapphirereel/codec/url_path.hpp"

#include <algorithm>
#include <charconv>

namespace sapphirereel::codec {
namespace {

constexpr auto services_prefix = std::string_view{"/services/"};
constexpr auto hexadecimal = 16;
constexpr auto hexadecimal_digits = std::string_view{"0123456789ABCDEF"};

/// Whether a byte stands for itself as part of a query's value.
auto is_plain_in_query(char c) -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') ||
           std::string_view{"-._~/"}.find(c) != std::string_view::npos;
}

auto decode_escape(std::string_view digits) -> std::optional<char>
{
    auto value = 0U;
    auto const* const end = digits.data() + digits.size();
    auto const [stop, error] =
        std::from_chars(digits.data(), end, value, hexadecimal);
    if (digits.size() != 2 || error != std::errc{} || stop != end)
    {
        return std::nullopt;
    }
    return static_cast<char>(value);
}

} // namespace

auto decode_percent(std::string_view text) -> std::optional<std::string>
{
    auto decoded = std::string{};
    for (auto i = std::size_t{0}; i < text.size(); ++i)
    {
        if (text[i] != '%')
        {
            decoded += text[i];
            continue;
        }
        auto const c = decode_escape(text.substr(i + 1, 2));
        if (!c)
        {
            return std::nullopt;
        }
        decoded += *c;
        i += 2;
    }
    return decoded;
}

auto encode_percent(std::string_view text) -> std::string
{
    auto encoded = std::string{};
    for (auto const c : text)
    {
        if (is_plain_in_query(c))
        {
            encoded += c;
            continue;
        }
        auto const byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += hexadecimal_digits[byte / hexadecimal];
        encoded += hexadecimal_digits[byte % hexadecimal];
    }
    return encoded;
}

auto split_service_path(std::string_view target) -> std::optional<service_path>
{
    if (!target.starts_with(services_prefix))
    {
        return std::nullopt;
    }
    target.remove_prefix(services_prefix.size());
    auto const end = std::min(target.find_first_of("/?"), target.size());
    auto const name = decode_percent(target.substr(0, end));
    if (!name || name->empty())
    {
        return std::nullopt;
    }
    auto path = std::string{target.substr(end)};
    if (!path.starts_with('/'))
    {
        path.insert(path.begin(), '/');
    }
    return service_path{service_name{*name}, std::move(path)};
}

} // namespace sapphirereel::codec
