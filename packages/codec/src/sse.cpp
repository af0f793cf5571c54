#include "sapphirereel/codec/sse.hpp"

#include <utility>

namespace sapphirereel::codec {
namespace {

/// Writes a field, one line of it for each line of its value.
auto write_lines(
    std::string& out, std::string_view field, std::string_view value) -> void
{
    while (true)
    {
        auto const end = value.find('\n');
        out += field;
        out += value.substr(0, end);
        out += '\n';
        if (end == value.npos)
        {
            return;
        }
        value.remove_prefix(end + 1);
    }
}

auto append_line(std::string& value, bool& has_value, std::string_view line)
    -> void
{
    if (has_value)
    {
        value += '\n';
    }
    value += line;
    has_value = true;
}

} // namespace

auto write_sse(sse_event const& event) -> std::string
{
    auto out = std::string{};
    if (!event.comment.empty())
    {
        write_lines(out, ": ", event.comment);
    }
    if (!event.id.empty())
    {
        write_lines(out, "id: ", event.id);
    }
    if (!event.event.empty())
    {
        write_lines(out, "event: ", event.event);
    }
    if (!event.data.empty())
    {
        write_lines(out, "data: ", event.data);
    }
    out += '\n';
    return out;
}

sse_reader::sse_reader(std::size_t max_event_bytes)
    : max_event_bytes_(max_event_bytes)
{}

auto sse_reader::feed(std::string_view piece, receiver const& on_event)
    -> sse_status
{
    for (auto const character : piece)
    {
        auto const ends_crlf = after_carriage_return_ && character == '\n';
        after_carriage_return_ = character == '\r';
        if (ends_crlf)
        {
            continue;
        }
        if (character == '\n' || character == '\r')
        {
            if (!end_line(on_event))
            {
                return sse_status::stopped;
            }
            continue;
        }
        if (++event_bytes_ > max_event_bytes_)
        {
            return sse_status::too_large;
        }
        line_ += character;
    }
    return sse_status::ok;
}

auto sse_reader::end_line(receiver const& on_event) -> bool
{
    if (!line_.empty())
    {
        take_field();
        line_.clear();
        return true;
    }
    auto const event = std::exchange(event_, {});
    event_bytes_ = 0;
    has_data_ = false;
    has_comment_ = false;
    return event == sse_event{} || on_event(event);
}

auto sse_reader::take_field() -> void
{
    auto const line = std::string_view{line_};
    auto const colon = line.find(':');
    auto const name = line.substr(0, colon);
    auto value =
        colon == line.npos ? std::string_view{} : line.substr(colon + 1);
    if (value.starts_with(' '))
    {
        value.remove_prefix(1);
    }
    if (colon == 0)
    {
        append_line(event_.comment, has_comment_, value);
    }
    else if (name == "data")
    {
        append_line(event_.data, has_data_, value);
    }
    else if (name == "id")
    {
        event_.id = value;
    }
    else if (name == "event")
    {
        event_.event = value;
    }
}

} // namespace sapphirereel::codec
