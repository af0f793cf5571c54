#include "sapphirereel/peer/http2_server.hpp"

#include <array>
#include <utility>

namespace sapphirereel::peer::internal {
namespace {

/// Bytes of unfinished messages on one connection, as a multiple of the
/// largest message, beyond which the connection is closed.
constexpr auto max_buffered_messages = std::size_t{4};

/// Flow control window of a stream and of a connection, in bytes.
constexpr auto stream_window = std::uint32_t{1} << 18U;
constexpr auto connection_window = std::int32_t{1} << 20U;

/// Answers that a peer may leave unread before its connection is closed.
constexpr auto max_unsent_frames = std::size_t{4096};

auto server_of(void* self) -> http2_server&
{
    return *static_cast<http2_server*>(self);
}

} // namespace

auto http2_server::create(std::size_t max_message_bytes)
    -> std::unique_ptr<http2_server>
{
    auto server =
        std::unique_ptr<http2_server>{new http2_server{max_message_bytes}};
    server->open();
    return server;
}

http2_server::http2_server(std::size_t max_message_bytes)
    : max_message_bytes_(max_message_bytes)
{}

auto http2_server::open() -> void
{
    auto const callbacks = new_callbacks();
    auto* const set = callbacks.get();
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        set, on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(set, on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(set, on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(set, on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        set, on_stream_close);
    nghttp2_session* session = nullptr;
    require_invariant(
        nghttp2_session_server_new(&session, set, this) == 0,
        "an HTTP/2 server session can be made");
    session_.reset(session);
    auto const entries = std::array{
        nghttp2_settings_entry{
            NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
        nghttp2_settings_entry{
            NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window}};
    nghttp2_submit_settings(
        session, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    nghttp2_session_set_local_window_size(
        session, NGHTTP2_FLAG_NONE, 0, connection_window);
}

auto http2_server::receive(std::string_view bytes) -> bool
{
    auto const taken = give_bytes(session_.get(), bytes);
    auto const unsent = nghttp2_session_get_outbound_queue_size(session_.get());
    return taken && unsent <= max_unsent_frames && is_alive(session_.get());
}

auto http2_server::take_output() -> std::string
{
    return take_bytes(session_.get());
}

auto http2_server::take_messages() -> std::vector<std::string>
{
    return std::exchange(whole_, {});
}

auto http2_server::refused() const -> std::uint64_t
{
    return refused_;
}

auto http2_server::take_data(std::int32_t stream, std::string_view data) -> int
{
    auto const found = messages_.find(stream);
    if (found == messages_.end() || found->second.too_large)
    {
        return 0;
    }
    auto& message = found->second;
    if (message.body.size() + data.size() > max_message_bytes_)
    {
        message.too_large = true;
        buffered_bytes_ -= message.body.size();
        message.body = std::string{};
        ++refused_;
        answer(stream, "413");
        return 0;
    }
    buffered_bytes_ += data.size();
    message.body.append(data);
    auto const limit = max_message_bytes_ * max_buffered_messages;
    return buffered_bytes_ > limit ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
}

auto http2_server::end_message(std::int32_t stream) -> void
{
    auto const found = messages_.find(stream);
    if (found == messages_.end() || found->second.too_large)
    {
        return;
    }
    auto& message = found->second;
    auto const fits =
        message.method_fits && message.path_fits && message.version_fits;
    buffered_bytes_ -= message.body.size();
    if (fits)
    {
        whole_.push_back(std::move(message.body));
        answer(stream, "204");
    }
    else
    {
        ++refused_;
        answer(stream, message.path_fits ? "400" : "404");
    }
    messages_.erase(found);
}

auto http2_server::answer(std::int32_t stream, std::string_view status) -> void
{
    auto const header = header_pair(status_header, status);
    nghttp2_submit_response(session_.get(), stream, &header, 1, nullptr);
}

auto http2_server::on_begin_headers(
    nghttp2_session* /*session*/, nghttp2_frame const* frame, void* self) -> int
{
    if (frame->hd.type == NGHTTP2_HEADERS &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST)
    {
        server_of(self).messages_.emplace(
            frame->hd.stream_id, incoming_message{});
    }
    return 0;
}

auto http2_server::on_header(
    nghttp2_session* /*session*/,
    nghttp2_frame const* frame,
    std::uint8_t const* name,
    std::size_t name_size,
    std::uint8_t const* value,
    std::size_t value_size,
    std::uint8_t /*flags*/,
    void* self) -> int
{
    auto& messages = server_of(self).messages_;
    auto const found = messages.find(frame->hd.stream_id);
    if (found == messages.end())
    {
        return 0;
    }
    auto const key = text_of(name, name_size);
    auto const text = text_of(value, value_size);
    auto& message = found->second;
    message.method_fits |= key == ":method" && text == message_method;
    message.path_fits |= key == ":path" && text == message_path;
    message.version_fits |= key == version_header && text == protocol_version;
    return 0;
}

auto http2_server::on_data(
    nghttp2_session* /*session*/,
    std::uint8_t /*flags*/,
    std::int32_t stream,
    std::uint8_t const* data,
    std::size_t size,
    void* self) -> int
{
    return server_of(self).take_data(stream, text_of(data, size));
}

auto http2_server::on_frame(
    nghttp2_session* /*session*/, nghttp2_frame const* frame, void* self) -> int
{
    auto const is_request =
        frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (is_request && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
    {
        server_of(self).end_message(frame->hd.stream_id);
    }
    return 0;
}

auto http2_server::on_stream_close(
    nghttp2_session* /*session*/,
    std::int32_t stream,
    std::uint32_t /*error*/,
    void* self) -> int
{
    auto& server = server_of(self);
    auto const found = server.messages_.find(stream);
    if (found != server.messages_.end())
    {
        server.buffered_bytes_ -= found->second.body.size();
        server.messages_.erase(found);
    }
    return 0;
}

} // namespace sapphirereel::peer::internal
