#include "sapphirereel/relay/event_splitter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sapphirereel::relay {
namespace {

RC_GTEST_PROP(
    event_splitter, yields_the_same_events_however_the_stream_is_split, ())
{
    auto events = std::vector<std::string>{};
    auto text = std::string{};
    auto const count = *rc::gen::inRange(0, 6);
    for (auto at = 0; at < count; ++at)
    {
        auto const data =
            *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'));
        events.push_back(
            "id: " + std::to_string(at + 1) + "\ndata: " + data + "\n\n");
        text += events.back();
    }
    auto const partial_bytes = *rc::gen::inRange<std::size_t>(0, 9);
    text += std::string{"data: tor"}.substr(0, partial_bytes);
    auto splitter = event_splitter{};
    auto got = std::vector<raw_event>{};
    auto rest = std::string_view{text};
    while (!rest.empty())
    {
        auto const size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
        for (auto& each : splitter.feed(rest.substr(0, size)))
        {
            got.push_back(std::move(each));
        }
        rest.remove_prefix(size);
    }
    RC_ASSERT(got.size() == events.size());
    for (auto at = std::size_t{0}; at < got.size(); ++at)
    {
        RC_ASSERT(got[at].bytes == events[at]);
        RC_ASSERT(got[at].number == std::uint64_t{at + 1});
    }
    RC_ASSERT(splitter.has_partial() == (partial_bytes > 0));
}

} // namespace
} // namespace sapphirereel::relay
