#include "sapphirereel/core/planned_stop.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {

TEST(planned_stop, serves_until_no_valid_answer_lists_the_daemon)
{
    planned_stop_settings const settings;
    auto stop = planned_stop::create(settings).value();
    auto const begun = time_point{};
    EXPECT_EQ(stop.step(0, begun), stop_phase::serving);
    stop.begin(begun);
    auto const advertised = settings.notice_lag + settings.address_validity;
    stop.begin(begun + advertised / 2);
    EXPECT_EQ(
        stop.step(0, begun + advertised - duration{1}), stop_phase::expiring);
    EXPECT_EQ(stop.step(1, begun + advertised), stop_phase::finishing);
    EXPECT_EQ(
        stop.step(1, begun + advertised + settings.finish_time),
        stop_phase::handing_over);
    EXPECT_EQ(
        stop.step(0, begun + advertised + settings.finish_time),
        stop_phase::stopped);
}

TEST(planned_stop, stops_early_when_no_request_is_open)
{
    planned_stop_settings const settings;
    auto stop = planned_stop::create(settings).value();
    stop.begin(time_point{});
    auto const advertised = settings.notice_lag + settings.address_validity;
    EXPECT_EQ(stop.step(0, time_point{} + advertised), stop_phase::stopped);
}

} // namespace sapphirereel
