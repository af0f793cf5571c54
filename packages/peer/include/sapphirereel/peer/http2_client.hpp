/// \file
/// Defines the sending end of a peer connection, without its socket.
#ifndef SAPPHIREREEL_PEER_HTTP2_CLIENT_HPP
#define SAPPHIREREEL_PEER_HTTP2_CLIENT_HPP

#include "sapphirereel/peer/http2_protocol.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace sapphirereel::peer::internal {

/// Turns messages into bytes for a socket and reads what comes back.
class http2_client
{
public:
    /// `authority` is the peer's address as text.
    static auto create(std::string authority) -> std::unique_ptr<http2_client>;

    /// Sends a message; the caller asks `accepts` first.
    auto submit(std::string message) -> void;

    /// Asks the peer for a sign of life.
    auto ping() -> void;

    /// Takes bytes from the socket; false when the connection must be closed.
    auto receive(std::string_view bytes) -> bool;

    /// Takes the next bytes for the socket; empty when there are none.
    auto take_output() -> std::string;

    /// Whether a message of a size may be submitted now.
    [[nodiscard]] auto accepts(std::size_t bytes) const -> bool;

    /// Whether the peer takes no more messages on this connection.
    [[nodiscard]] auto finished() const -> bool;

    /// Whether an answer to a message or PING is due.
    [[nodiscard]] auto answer_due() const -> bool;

    /// Messages that were submitted and are not answered yet.
    [[nodiscard]] auto in_flight() const -> std::size_t;

    /// Messages so far whose streams ended without status 204.
    [[nodiscard]] auto refused() const -> std::uint64_t;

private:
    struct outgoing_message
    {
        std::string body;
        std::size_t sent = 0;
        bool accepted = false;
    };

    explicit http2_client(std::string authority);
    auto open() -> void;
    auto end_stream(std::int32_t stream) -> void;

    static auto on_header(
        nghttp2_session* session,
        nghttp2_frame const* frame,
        std::uint8_t const* name,
        std::size_t name_size,
        std::uint8_t const* value,
        std::size_t value_size,
        std::uint8_t flags,
        void* self) -> int;
    static auto on_frame(
        nghttp2_session* session, nghttp2_frame const* frame, void* self)
        -> int;
    static auto on_stream_close(
        nghttp2_session* session,
        std::int32_t stream,
        std::uint32_t error,
        void* self) -> int;
    static auto read_body(
        nghttp2_session* session,
        std::int32_t stream,
        std::uint8_t* buffer,
        std::size_t capacity,
        std::uint32_t* flags,
        nghttp2_data_source* source,
        void* self) -> ssize_t;

    std::string authority_;
    session_pointer session_;
    std::map<std::int32_t, outgoing_message> messages_;
    std::size_t in_flight_bytes_ = 0;
    std::uint64_t refused_ = 0;
    int pings_due_ = 0;
};

} // namespace sapphirereel::peer::internal

#endif
