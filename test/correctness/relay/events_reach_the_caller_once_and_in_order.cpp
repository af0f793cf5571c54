#include "sapphirereel/relay/event_sequence.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

TEST(event_sequence, knows_the_place_of_each_event)
{
    auto events = event_sequence{};
    EXPECT_EQ(events.place_of(1), event_place::first);
    events.passed(1, milliseconds{100});
    EXPECT_EQ(events.place_of(1), event_place::repeated);
    EXPECT_EQ(events.place_of(2), event_place::next);
    EXPECT_EQ(events.place_of(3), event_place::after_gap);
    // Events without a number can't be checked.
    EXPECT_EQ(events.place_of(std::nullopt), event_place::next);
}

TEST(event_sequence, measures_the_start_and_the_longest_pause)
{
    auto events = event_sequence{};
    EXPECT_FALSE(events.has_begun());
    events.passed(7, milliseconds{300});
    events.passed(8, milliseconds{400});
    events.passed(9, milliseconds{650});
    events.passed(10, milliseconds{700});
    EXPECT_EQ(events.count(), 4U);
    EXPECT_EQ(events.last_number(), 10U);
    EXPECT_EQ(events.first_after(), milliseconds{300});
    EXPECT_EQ(events.last_after(), milliseconds{700});
    EXPECT_EQ(events.longest_pause(), milliseconds{250});
}

} // namespace
} // namespace sapphirereel::relay
