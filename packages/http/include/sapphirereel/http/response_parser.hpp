/// \file
/// Defines the parser of responses: fed bytes as they arrive, it yields the
/// head, pieces of the body, and whether the body is whole.
#ifndef SAPPHIREREEL_HTTP_RESPONSE_PARSER_HPP
#define SAPPHIREREEL_HTTP_RESPONSE_PARSER_HPP

#include "sapphirereel/http/message.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace sapphirereel::http {

/// Most bytes that a response may take up without completing its head, a
/// chunk's size line or its trailers.
inline constexpr auto max_unparsed_response_bytes = std::size_t{65'536};

/// Most interim (1xx) responses before a final one.
inline constexpr auto max_interim_responses = 16U;

/// Parses one response. Interim (1xx) responses are passed over. Bytes that
/// never end are refused within the limits above; the body is limited by
/// whoever takes it.
class response_parser
{
public:
    /// `to_head` tells that the request was a HEAD, whose answer has no body.
    explicit response_parser(bool to_head = false);
    ~response_parser();
    response_parser(response_parser&&) noexcept;
    auto operator=(response_parser&&) noexcept -> response_parser&;

    /// Takes bytes that arrived; an error says why they are no response.
    auto feed(std::string_view bytes) -> tl::expected<void, std::string>;

    /// Takes that the connection ended in good order.
    auto feed_end() -> void;

    /// The head, once it is whole.
    [[nodiscard]] auto head() const -> std::optional<response_head> const&;

    /// The bytes of the body that came since the last call.
    auto take_body() -> std::string;

    /// Whether the whole response has come.
    [[nodiscard]] auto complete() const -> bool;

    /// Whether bytes came after the end of the response.
    [[nodiscard]] auto has_excess() const -> bool;

    /// Takes the bytes that came after the end of the response.
    auto take_excess() -> std::string;

    /// Whether the response ends with its connection.
    [[nodiscard]] auto ends_with_connection() const -> bool;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace sapphirereel::http

#endif
