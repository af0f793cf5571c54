#include "sapphirereel/peer/http2_client.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace sapphirereel::peer::internal {
namespace {

/// Bytes of messages on their way beyond which only an empty connection takes
/// a further one; bounds what the peer holds of unfinished messages.
constexpr auto max_in_flight_bytes = std::size_t{1} << 20U;

auto client_of(void* self) -> http2_client&
{
    return *static_cast<http2_client*>(self);
}

} // namespace

auto http2_client::create(std::string authority)
    -> std::unique_ptr<http2_client>
{
    auto client =
        std::unique_ptr<http2_client>{new http2_client{std::move(authority)}};
    client->open();
    return client;
}

http2_client::http2_client(std::string authority)
    : authority_(std::move(authority))
{}

auto http2_client::open() -> void
{
    auto const callbacks = new_callbacks();
    auto* const set = callbacks.get();
    nghttp2_session_callbacks_set_on_header_callback(set, on_header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(set, on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        set, on_stream_close);
    nghttp2_session* session = nullptr;
    require_invariant(
        nghttp2_session_client_new(&session, set, this) == 0,
        "an HTTP/2 client session can be made");
    session_.reset(session);
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, nullptr, 0);
}

auto http2_client::submit(std::string message) -> void
{
    auto const headers = std::array{
        header_pair(":method", message_method),
        header_pair(":scheme", "http"),
        header_pair(":authority", authority_),
        header_pair(":path", message_path),
        header_pair(version_header, protocol_version),
        header_pair("content-type", "application/msgpack")};
    auto body = nghttp2_data_provider{};
    body.read_callback = read_body;
    auto const stream = nghttp2_submit_request(
        session_.get(), nullptr, headers.data(), headers.size(), &body,
        nullptr);
    if (stream < 0)
    {
        ++refused_;
        return;
    }
    in_flight_bytes_ += message.size();
    messages_.emplace(stream, outgoing_message{std::move(message)});
}

auto http2_client::ping() -> void
{
    if (nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr) == 0)
    {
        ++pings_due_;
    }
}

auto http2_client::receive(std::string_view bytes) -> bool
{
    return give_bytes(session_.get(), bytes) && is_alive(session_.get());
}

auto http2_client::take_output() -> std::string
{
    return take_bytes(session_.get());
}

auto http2_client::accepts(std::size_t bytes) const -> bool
{
    if (finished() || messages_.size() >= max_streams)
    {
        return false;
    }
    return messages_.empty() || in_flight_bytes_ + bytes <= max_in_flight_bytes;
}

auto http2_client::finished() const -> bool
{
    return nghttp2_session_check_request_allowed(session_.get()) == 0;
}

auto http2_client::answer_due() const -> bool
{
    return !messages_.empty() || pings_due_ > 0;
}

auto http2_client::in_flight() const -> std::size_t
{
    return messages_.size();
}

auto http2_client::refused() const -> std::uint64_t
{
    return refused_;
}

auto http2_client::end_stream(std::int32_t stream) -> void
{
    auto const found = messages_.find(stream);
    if (found == messages_.end())
    {
        return;
    }
    refused_ += found->second.accepted ? 0U : 1U;
    in_flight_bytes_ -= found->second.body.size();
    messages_.erase(found);
}

auto http2_client::on_header(
    nghttp2_session* /*session*/,
    nghttp2_frame const* frame,
    std::uint8_t const* name,
    std::size_t name_size,
    std::uint8_t const* value,
    std::size_t value_size,
    std::uint8_t /*flags*/,
    void* self) -> int
{
    auto& messages = client_of(self).messages_;
    auto const found = messages.find(frame->hd.stream_id);
    if (found != messages.end() && text_of(name, name_size) == status_header)
    {
        found->second.accepted = text_of(value, value_size) == "204";
    }
    return 0;
}

auto http2_client::on_frame(
    nghttp2_session* /*session*/, nghttp2_frame const* frame, void* self) -> int
{
    auto const is_ack = (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0;
    if (frame->hd.type == NGHTTP2_PING && is_ack)
    {
        auto& due = client_of(self).pings_due_;
        due = std::max(0, due - 1);
    }
    return 0;
}

auto http2_client::on_stream_close(
    nghttp2_session* /*session*/,
    std::int32_t stream,
    std::uint32_t /*error*/,
    void* self) -> int
{
    client_of(self).end_stream(stream);
    return 0;
}

auto http2_client::read_body(
    nghttp2_session* /*session*/,
    std::int32_t stream,
    std::uint8_t* buffer,
    std::size_t capacity,
    std::uint32_t* flags,
    nghttp2_data_source* /*source*/,
    void* self) -> ssize_t
{
    auto& messages = client_of(self).messages_;
    auto const found = messages.find(stream);
    if (found == messages.end())
    {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    auto& message = found->second;
    auto const size = std::min(capacity, message.body.size() - message.sent);
    std::copy_n(message.body.data() + message.sent, size, buffer);
    message.sent += size;
    if (message.sent == message.body.size())
    {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(size);
}

} // namespace sapphirereel::peer::internal
