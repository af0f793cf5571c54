#include "sapphirereel/relay/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace sapphirereel::relay {
namespace {

/// Length of the longest mark of an event's end, an empty line.
constexpr auto max_end_mark = std::size_t{4};

/// Offset behind the empty line that ends the first event; npos if there is
/// none. The mark is sought from `from` on.
auto end_of_event(std::string_view text, std::size_t from) -> std::size_t
{
    auto const lf = text.find("\n\n", from);
    auto const crlf = text.find("\r\n\r\n", from);
    auto const lf_end = lf == std::string_view::npos ? lf : lf + 2;
    auto const crlf_end = crlf == std::string_view::npos ? crlf : crlf + 4;
    return std::min(lf_end, crlf_end);
}

auto number_of(std::string_view event) -> std::optional<std::uint64_t>
{
    while (!event.empty())
    {
        auto const line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(line.size() + 1, event.size()));
        if (!line.starts_with("id:"))
        {
            continue;
        }
        auto value = line.substr(3);
        while (value.starts_with(' '))
        {
            value.remove_prefix(1);
        }
        auto number = std::uint64_t{0};
        auto const read =
            std::from_chars(value.data(), value.data() + value.size(), number);
        return read.ec == std::errc{} ? std::optional{number} : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

auto event_splitter::feed(std::string_view piece) -> std::vector<raw_event>
{
    partial_.append(piece);
    auto events = std::vector<raw_event>{};
    auto rest = std::string_view{partial_};
    auto const overlap = std::min(searched_, max_end_mark - 1);
    for (auto end = end_of_event(rest, searched_ - overlap);
         end != std::string_view::npos; end = end_of_event(rest, 0))
    {
        auto const bytes = rest.substr(0, end);
        events.push_back({std::string{bytes}, number_of(bytes)});
        rest.remove_prefix(end);
    }
    partial_.erase(0, partial_.size() - rest.size());
    searched_ = partial_.size();
    return events;
}

} // namespace sapphirereel::relay
