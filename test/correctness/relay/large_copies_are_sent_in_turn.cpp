// Guards against a large configuration that reaches no daemon in time: a weak
// VM that sends it to many peers at once finishes none before they give up, and
// its callers' requests wait behind all of them.
#include "sapphirereel/relay/link_share.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

/// A link of 10 megabits per second.
constexpr auto narrow = 1.25e6;

auto at(int ms) -> time_point
{
    return time_point{} + std::chrono::seconds{100} + milliseconds{ms};
}

TEST(large_copy, is_followed_by_others_once_its_share_of_the_link_has_passed)
{
    auto share = link_share{narrow};
    EXPECT_EQ(share.wait(at(0)), duration{0});
    share.charge(430'000, at(0));
    // 430 KB take 430 ms of four fifths of the link.
    EXPECT_GT(share.wait(at(0)), milliseconds{300});
    EXPECT_GT(share.wait(at(300)), duration{0});
    EXPECT_EQ(share.wait(at(430)), duration{0});
}

TEST(copies, take_a_share_of_the_link_at_most)
{
    auto share = link_share{narrow};
    auto sent = std::size_t{0};
    for (auto ms = 0; ms < 10'000; ++ms)
    {
        while (share.wait(at(ms)) == duration{0})
        {
            share.charge(32'768, at(ms));
            sent += 32'768;
        }
    }
    EXPECT_LT(static_cast<double>(sent), 10 * narrow * 0.82);
    EXPECT_GT(static_cast<double>(sent), 10 * narrow * 0.78);
}

TEST(small_copies, are_sent_at_once_on_an_idle_link)
{
    auto share = link_share{narrow};
    share.charge(32'768, at(0));
    EXPECT_EQ(share.wait(at(0)), duration{0});
}

TEST(link_of_unknown_rate, has_no_limit)
{
    auto share = link_share{0};
    share.charge(std::size_t{1} << 30U, at(0));
    EXPECT_EQ(share.wait(at(0)), duration{0});
}

} // namespace
} // namespace sapphirereel::relay
