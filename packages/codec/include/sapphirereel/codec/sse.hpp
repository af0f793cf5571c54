/// \file
/// Defines the reader and writer of server-sent events.
#ifndef SAPPHIREREEL_CODEC_SSE_HPP
#define SAPPHIREREEL_CODEC_SSE_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace sapphirereel::codec {

/// One server-sent event. An event with nothing but a comment is a heartbeat.
struct sse_event
{
    std::string id;
    /// The event's type; empty means `message`.
    std::string event;
    std::string data;
    std::string comment;
    auto operator<=>(sse_event const&) const = default;
};

/// Writes an event with its closing empty line.
auto write_sse(sse_event const& event) -> std::string;

/// How feeding a piece to the reader went.
enum class sse_status
{
    ok,
    /// The receiver asked to stop.
    stopped,
    /// An event is larger than the limit.
    too_large
};

/// Reads events from pieces of a stream, however they are cut. Holds at most
/// one event.
class sse_reader
{
public:
    using receiver = std::function<bool(sse_event const&)>;

    /// Largest event, in bytes of its lines.
    static constexpr auto default_max_event_bytes = std::size_t{1} << 20;

    explicit sse_reader(std::size_t max_event_bytes = default_max_event_bytes);

    /// Takes the next piece and hands each event that it ends to the receiver,
    /// until that answers false.
    auto feed(std::string_view piece, receiver const& on_event) -> sse_status;

private:
    auto end_line(receiver const& on_event) -> bool;
    auto take_field() -> void;

    std::size_t max_event_bytes_;
    std::size_t event_bytes_ = 0;
    std::string line_;
    bool after_carriage_return_ = false;
    bool has_data_ = false;
    bool has_comment_ = false;
    sse_event event_;
};

} // namespace sapphirereel::codec

#endif
