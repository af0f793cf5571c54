/// \file
/// Defines HTTP/1.1 messages as values, and how they are written.
#ifndef SAPPHIREREEL_HTTP_MESSAGE_HPP
#define SAPPHIREREEL_HTTP_MESSAGE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::http {

/// One header field.
struct field
{
    std::string name;
    std::string value;
    auto operator<=>(field const&) const = default;
};

/// Header fields in the order in which they came.
using field_list = std::vector<field>;

/// Whether two field names are equal; case does not count.
auto same_name(std::string_view left, std::string_view right) -> bool;

/// The value of the first field with a name, if there is one.
auto find(field_list const& fields, std::string_view name)
    -> std::optional<std::string_view>;

/// How many fields have a name.
auto count(field_list const& fields, std::string_view name) -> std::size_t;

/// Whether a field concerns one connection only and is not forwarded.
auto is_hop_by_hop(std::string_view name) -> bool;

/// A whole request.
struct request
{
    std::string method;
    std::string target;
    field_list fields;
    std::string body;
    /// Whether the connection may carry another request afterwards.
    bool keep_alive = true;
    /// Whether the sender can read a chunked response, as of HTTP/1.1.
    bool accepts_chunks = true;
    auto operator<=>(request const&) const = default;
};

/// The head of a response.
struct response_head
{
    int status = 0;
    std::string reason;
    field_list fields;
    /// Whether the connection may carry another response afterwards.
    bool keep_alive = true;
    /// Whether the body has neither a length nor chunks, so that the end of the
    /// connection ends it.
    bool ends_with_connection = false;
    /// Length of the body that the sender states, in bytes.
    std::optional<std::uint64_t> stated_length = std::nullopt;
    auto operator<=>(response_head const&) const = default;
};

/// A whole response.
struct response
{
    response_head head;
    std::string body;
    auto operator<=>(response const&) const = default;
};

/// The usual reason phrase of a status.
auto reason_of(int status) -> std::string_view;

/// Writes a status line and fields, with the empty line that ends the head.
auto write_head(int status, std::string_view reason, field_list const& fields)
    -> std::string;

/// Writes a whole response with its length.
auto write_response(int status, field_list fields, std::string_view body)
    -> std::string;

/// Writes a whole request with its length; `Content-Length` is left out where
/// the body is empty and the method is GET, HEAD or DELETE.
auto write_request(
    std::string_view method,
    std::string_view target,
    field_list const& fields,
    std::string_view body) -> std::string;

/// Writes one chunk of a chunked body.
auto write_chunk(std::string_view bytes) -> std::string;

/// The chunk that ends a chunked body.
inline constexpr auto last_chunk = std::string_view{"0\r\n\r\n"};

/// The value of a key in the query of a target, with escapes decoded.
auto query_value(std::string_view target, std::string_view key)
    -> std::optional<std::string>;

} // namespace sapphirereel::http

#endif
