#include "sapphirereel/relay/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace sapphirereel::relay {
namespace {

/// The end of the first event in a text, after its empty line.
auto end_of_event(std::string_view text) -> std::size_t
{
    auto const plain = text.find("\n\n");
    auto const full = text.find("\r\n\r\n");
    auto const plain_end = plain == std::string_view::npos ? plain : plain + 2;
    auto const full_end = full == std::string_view::npos ? full : full + 4;
    return std::min(plain_end, full_end);
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
    rest_.append(piece);
    auto events = std::vector<raw_event>{};
    auto rest = std::string_view{rest_};
    for (auto end = end_of_event(rest); end != std::string_view::npos;
         end = end_of_event(rest))
    {
        auto const bytes = rest.substr(0, end);
        events.push_back({std::string{bytes}, number_of(bytes)});
        rest.remove_prefix(end);
    }
    rest_.erase(0, rest_.size() - rest.size());
    return events;
}

} // namespace sapphirereel::relay
