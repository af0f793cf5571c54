/// \file
/// Defines the parser of requests: fed bytes as they arrive, it yields whole
/// requests one after the other and refuses framing that could be read in two
/// ways.
#ifndef SAPPHIREREEL_HTTP_REQUEST_PARSER_HPP
#define SAPPHIREREEL_HTTP_REQUEST_PARSER_HPP

#include "sapphirereel/http/message.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace sapphirereel::http {

/// Largest parts of a request, in bytes.
struct message_limits
{
    std::size_t head_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
    auto operator<=>(message_limits const&) const = default;
};

/// Most bytes of a body's framing, that is, of a chunk's size line or of the
/// trailers, that may wait for their end.
inline constexpr auto max_body_framing_bytes = std::size_t{16'384};

/// Why bytes are no request that can be served. The connection has to be
/// closed after the answer.
struct request_error
{
    /// Status of the answer.
    int status = 400;
    std::string detail;
    auto operator<=>(request_error const&) const = default;
};

/// Parses the requests of one connection.
///
/// Example:
/// \code
/// parser.append(bytes);
/// while (auto next = parser.next()) { if (!*next) break; serve(**next); }
/// \endcode
class request_parser
{
public:
    request_parser();
    ~request_parser();
    request_parser(request_parser&&) noexcept;
    auto operator=(request_parser&&) noexcept -> request_parser&;

    /// Limits for the requests from the next one on.
    auto set_limits(message_limits limits) -> void;

    /// Takes bytes that arrived.
    auto append(std::string_view bytes) -> void;

    /// The next whole request; nothing if more bytes are needed.
    auto next() -> tl::expected<std::optional<request>, request_error>;

    /// Whether part of a request has arrived.
    [[nodiscard]] auto has_partial() const -> bool;

    /// Whether the head of the present request has arrived, and its body has
    /// not arrived whole.
    [[nodiscard]] auto is_reading_body() const -> bool;

    /// Bytes of the present request's body that have arrived.
    [[nodiscard]] auto body_bytes() const -> std::size_t;

    /// Bytes of memory that the parser holds.
    [[nodiscard]] auto held_bytes() const -> std::size_t;

    /// Drops what has arrived, and its memory.
    auto clear() -> void;

    /// Whether the head of the present request asks to be told to go on before
    /// its body is sent. Says so once.
    auto take_continue_wanted() -> bool;

    /// Bytes that wait to be parsed.
    [[nodiscard]] auto waiting_bytes() const -> std::size_t;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace sapphirereel::http

#endif
