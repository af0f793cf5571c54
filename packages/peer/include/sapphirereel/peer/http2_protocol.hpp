/// \file
/// Defines what both ends of a peer connection agree on.
#ifndef SAPPHIREREEL_PEER_HTTP2_PROTOCOL_HPP
#define SAPPHIREREEL_PEER_HTTP2_PROTOCOL_HPP

#include "sapphirereel/core/invariant.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>
#include <string_view>

namespace sapphirereel::peer::internal {

inline constexpr auto message_method = std::string_view{"POST"};
inline constexpr auto message_path = std::string_view{"/peer/v1"};
inline constexpr auto version_header =
    std::string_view{"sapphirereel-peer-version"};
inline constexpr auto protocol_version = std::string_view{"1"};
inline constexpr auto status_header = std::string_view{":status"};

/// Most messages on their way on one connection.
inline constexpr auto max_streams = std::uint32_t{64};

/// Bytes taken from a session for one write to the socket.
inline constexpr auto write_chunk_bytes = std::size_t{64} * 1024;

struct session_deleter
{
    auto operator()(nghttp2_session* session) const -> void
    {
        nghttp2_session_del(session);
    }
};

using session_pointer = std::unique_ptr<nghttp2_session, session_deleter>;

struct callbacks_deleter
{
    auto operator()(nghttp2_session_callbacks* callbacks) const -> void
    {
        nghttp2_session_callbacks_del(callbacks);
    }
};

using callbacks_pointer =
    std::unique_ptr<nghttp2_session_callbacks, callbacks_deleter>;

/// An empty set of callbacks.
inline auto new_callbacks() -> callbacks_pointer
{
    nghttp2_session_callbacks* callbacks = nullptr;
    require_invariant(
        nghttp2_session_callbacks_new(&callbacks) == 0,
        "HTTP/2 callbacks can be made");
    return callbacks_pointer{callbacks};
}

/// Makes a header field that refers to its texts; the session copies them.
inline auto header_pair(std::string_view name, std::string_view value)
    -> nghttp2_nv
{
    // The library takes pointers to mutable bytes but does not write to them.
    auto const bytes = [](std::string_view text) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {
        bytes(name), bytes(value), name.size(), value.size(),
        NGHTTP2_NV_FLAG_NONE};
}

/// The text that the library hands to a callback.
inline auto text_of(std::uint8_t const* data, std::size_t size)
    -> std::string_view
{
    return {reinterpret_cast<char const*>(data), size};
}

/// Gives received bytes to a session; false after an error that ends it.
inline auto give_bytes(nghttp2_session* session, std::string_view bytes) -> bool
{
    auto const* const data =
        reinterpret_cast<std::uint8_t const*>(bytes.data());
    auto const taken = nghttp2_session_mem_recv(session, data, bytes.size());
    return taken >= 0 && static_cast<std::size_t>(taken) == bytes.size();
}

/// Takes bytes to be sent from a session, about `write_chunk_bytes` at most.
inline auto take_bytes(nghttp2_session* session) -> std::string
{
    auto output = std::string{};
    while (output.size() < write_chunk_bytes)
    {
        std::uint8_t const* data = nullptr;
        auto const size = nghttp2_session_mem_send(session, &data);
        if (size <= 0)
        {
            break;
        }
        output.append(text_of(data, static_cast<std::size_t>(size)));
    }
    return output;
}

/// Whether a session has anything left to do.
inline auto is_alive(nghttp2_session* session) -> bool
{
    return nghttp2_session_want_read(session) != 0 ||
           nghttp2_session_want_write(session) != 0;
}

} // namespace sapphirereel::peer::internal

#endif
