#include "sapphirereel/core/outlier_ejection.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sapphirereel {
namespace {

auto replicas_of(int count) -> std::set<endpoint_id>
{
    auto replicas = std::set<endpoint_id>{};
    for (auto i = 0; i < count; ++i)
    {
        replicas.insert(endpoint_id{std::to_string(i)});
    }
    return replicas;
}

RC_GTEST_PROP(outlier_ejection, never_ejects_more_than_a_third, ())
{
    auto outliers = outlier_ejection::create({}, 1).value();
    auto const count = *rc::gen::inRange(1, 20);
    outliers.set_replicas(replicas_of(count));
    auto now = time_point{};
    auto const failing =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
    for (auto const replica : failing)
    {
        now += std::chrono::milliseconds(500);
        for (auto i = 0; i < 5; ++i)
        {
            outliers.failed(endpoint_id{std::to_string(replica)}, now);
        }
        RC_ASSERT(
            outliers.ejected_count(now) <= static_cast<std::size_t>(count) / 3);
    }
}

TEST(outlier_ejection, a_returned_replica_starts_slowly)
{
    auto outliers = outlier_ejection::create({}, 1).value();
    outliers.set_replicas(replicas_of(3));
    auto const bad = endpoint_id{"0"};
    for (auto i = 0; i < 5; ++i)
    {
        outliers.failed(bad, {});
    }
    EXPECT_TRUE(outliers.ejected(bad, {}));
    EXPECT_EQ(outliers.share(bad, {}), 0);
    auto const back = time_point{} + std::chrono::milliseconds(7'500);
    EXPECT_FALSE(outliers.ejected(bad, back));
    EXPECT_LT(outliers.share(bad, back), 0.2);
    EXPECT_EQ(outliers.share(bad, back + std::chrono::seconds(30)), 1);
}

TEST(outlier_ejection, replicas_ejected_together_return_apart)
{
    auto outliers = outlier_ejection::create({}, 1).value();
    outliers.set_replicas(replicas_of(30));
    for (auto i = 0; i < 50; ++i)
    {
        outliers.failed(endpoint_id{std::to_string(i % 10)}, {});
    }
    ASSERT_EQ(outliers.ejected_count({}), 10U);
    auto const middle = time_point{} + std::chrono::milliseconds(6'250);
    EXPECT_GT(outliers.ejected_count(middle), 0U);
    EXPECT_LT(outliers.ejected_count(middle), 10U);
}

} // namespace
} // namespace sapphirereel
