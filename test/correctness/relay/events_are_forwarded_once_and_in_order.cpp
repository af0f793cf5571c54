#include "sapphirereel/relay/event_sequence.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

TEST(event_sequence, classifies_events_by_their_number)
{
    auto events = event_sequence{};
    EXPECT_EQ(events.classify(1), event_order::first);
    events.record_forwarded(1, milliseconds{100});
    EXPECT_EQ(events.classify(1), event_order::duplicate);
    EXPECT_EQ(events.classify(2), event_order::next);
    EXPECT_EQ(events.classify(3), event_order::after_gap);
    // Events without a number can't be checked.
    EXPECT_EQ(events.classify(std::nullopt), event_order::next);
}

TEST(event_sequence, measures_time_to_first_event_and_longest_pause)
{
    auto events = event_sequence{};
    EXPECT_FALSE(events.has_begun());
    events.record_forwarded(7, milliseconds{300});
    events.record_forwarded(8, milliseconds{400});
    events.record_forwarded(9, milliseconds{650});
    events.record_forwarded(10, milliseconds{700});
    EXPECT_EQ(events.count(), 4U);
    EXPECT_EQ(events.last_number(), 10U);
    EXPECT_EQ(events.time_to_first(), milliseconds{300});
    EXPECT_EQ(events.time_to_last(), milliseconds{700});
    EXPECT_EQ(events.longest_pause(), milliseconds{250});
}

} // namespace
} // namespace sapphirereel::relay
