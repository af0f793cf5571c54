#include "sapphirereel/relay/retry_share.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto start = time_point{seconds{1'000}};
constexpr auto terms = retry_budget_terms{0.2, 58, seconds{10}};

TEST(retry_shares, of_all_daemons_stay_within_the_budget)
{
    constexpr auto daemons = 9;
    auto shares = std::vector<retry_share>(daemons, retry_share{terms});
    auto spent = 0;
    auto requests = 0;
    for (auto at = start; at < start + seconds{10}; at += milliseconds{50})
    {
        for (auto& share : shares)
        {
            share.record_request(at);
            ++requests;
            for (auto attempt = 0; attempt < 5; ++attempt)
            {
                spent += share.try_spend(daemons, at) ? 1 : 0;
            }
        }
    }
    EXPECT_GT(spent, 0);
    EXPECT_LE(spent, terms.ratio * requests + terms.slack);
}

TEST(retry_share, is_replenished_after_the_window)
{
    auto share = retry_share{{0, 10, seconds{10}}};
    auto spent = 0;
    while (share.try_spend(1, start))
    {
        ++spent;
    }
    EXPECT_GT(spent, 0);
    EXPECT_FALSE(share.try_spend(1, start + seconds{9}));
    EXPECT_TRUE(share.try_spend(1, start + seconds{11}));
}

} // namespace
} // namespace sapphirereel::relay
