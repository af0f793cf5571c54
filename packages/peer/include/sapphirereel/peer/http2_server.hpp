/// \file
/// Defines the receiving end of a peer connection, without its socket.
#ifndef SAPPHIREREEL_PEER_HTTP2_SERVER_HPP
#define SAPPHIREREEL_PEER_HTTP2_SERVER_HPP

#include "sapphirereel/peer/http2_protocol.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::peer::internal {

/// Turns bytes from a socket into messages and answers each.
class http2_server
{
public:
    static auto create(std::size_t max_message_bytes)
        -> std::unique_ptr<http2_server>;

    /// Takes bytes from the socket; false when the connection must be closed.
    auto receive(std::string_view bytes) -> bool;

    /// Takes the next bytes for the socket; empty when there are none.
    auto take_output() -> std::string;

    /// Takes the messages that are whole, in the order of their ends.
    auto take_messages() -> std::vector<std::string>;

    /// Requests so far that were no message, or too large a one.
    [[nodiscard]] auto refused() const -> std::uint64_t;

private:
    struct incoming_message
    {
        std::string body;
        bool method_fits = false;
        bool path_fits = false;
        bool version_fits = false;
        bool too_large = false;
    };

    explicit http2_server(std::size_t max_message_bytes);
    auto open() -> void;
    auto take_data(std::int32_t stream, std::string_view data) -> int;
    auto end_message(std::int32_t stream) -> void;
    auto answer(std::int32_t stream, std::string_view status) -> void;

    static auto on_begin_headers(
        nghttp2_session* session, nghttp2_frame const* frame, void* self)
        -> int;
    static auto on_header(
        nghttp2_session* session,
        nghttp2_frame const* frame,
        std::uint8_t const* name,
        std::size_t name_size,
        std::uint8_t const* value,
        std::size_t value_size,
        std::uint8_t flags,
        void* self) -> int;
    static auto on_data(
        nghttp2_session* session,
        std::uint8_t flags,
        std::int32_t stream,
        std::uint8_t const* data,
        std::size_t size,
        void* self) -> int;
    static auto on_frame(
        nghttp2_session* session, nghttp2_frame const* frame, void* self)
        -> int;
    static auto on_stream_close(
        nghttp2_session* session,
        std::int32_t stream,
        std::uint32_t error,
        void* self) -> int;

    std::size_t max_message_bytes_;
    session_pointer session_;
    std::map<std::int32_t, incoming_message> messages_;
    std::vector<std::string> whole_;
    std::size_t buffered_bytes_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace sapphirereel::peer::internal

#endif
