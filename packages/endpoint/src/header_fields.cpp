#include "header_fields.hpp"

#include <algorithm>
#include <array>
#include <strings.h>

namespace sapphirereel::endpoints::internal {
namespace {

/// Fields of one connection, and those that the client writes itself.
constexpr auto connection_fields = std::array{
    "connection", "content-length", "host", "keep-alive", "proxy-authenticate",
    "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
    "expect",
    // The server library adds these to what it received.
    "local_addr", "local_port", "remote_addr", "remote_port"};

auto is_control(char character) -> bool
{
    auto const code = static_cast<unsigned char>(character);
    return code < 0x20 || code == 0x7f;
}

auto has_control(std::string_view text) -> bool
{
    return std::any_of(text.begin(), text.end(), is_control);
}

auto is_token(std::string_view text) -> bool
{
    return !text.empty() && !has_control(text) &&
           text.find_first_of(" :") == text.npos;
}

auto is_sendable_field(header_field const& field) -> bool
{
    return is_token(field.name) && !has_control(field.value);
}

} // namespace

auto is_end_to_end(std::string_view name) -> bool
{
    auto const same = [name](std::string_view other) {
        return name.size() == other.size() &&
               ::strncasecmp(name.data(), other.data(), name.size()) == 0;
    };
    return std::none_of(
        connection_fields.begin(), connection_fields.end(), same);
}

auto is_sendable(call_content const& content) -> bool
{
    auto const& path = content.path;
    return is_token(content.method) && path.starts_with('/') &&
           !has_control(path) && path.find(' ') == path.npos &&
           std::all_of(
               content.headers.begin(), content.headers.end(),
               is_sendable_field);
}

} // namespace sapphirereel::endpoints::internal
