#include "sapphirereel/deployment/boot_settings.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

constexpr auto good = "node-name=front-1\nip=10.1.0.19\nzone=z\n"
                      "listen.front=10.1.0.19:8740\n"
                      "listen.ready=10.1.0.19:8749\n"
                      "listen.directory=10.1.0.19:8746\n"
                      "internal-ports=7200,7215\n"
                      "seeds=10.1.0.19:8748,10.2.0.13:8748\n"
                      "platform.address=10.200.1.7:8742\n"
                      "bounds.budget-slack=58\nbounds.grace-s=8\n";

TEST(boot_settings, are_read_and_what_is_unknown_is_ignored)
{
    auto const read =
        read_boot_settings(std::string{good} + "some.new=1\n", "boot.conf");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->callers, (relay::listen_address{"10.1.0.19", 8740}));
    EXPECT_EQ(read->peer_port, 7'200);
    EXPECT_EQ(
        read->seeds, (std::vector<std::string>{"10.1.0.19", "10.2.0.13"}));
    EXPECT_EQ(read->retry_budget.slack, 58);
    EXPECT_EQ(read->stop_limit, std::chrono::seconds{8});
    EXPECT_EQ(read->cold, (relay::cold_bounds{1.5, 5}));
}

TEST(boot_settings, hold_the_bounds_of_cold_replicas)
{
    auto const read = read_boot_settings(
        std::string{good} + "bounds.cold-overage=2\nbounds.cold-slack=7\n",
        "boot.conf");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->cold, (relay::cold_bounds{2, 7}));
}

TEST(boot_settings, report_all_that_is_wrong_with_its_place)
{
    auto const read = read_boot_settings(
        "node-name=front-1\nno equals sign\nip=10.1.0.19\nzone=z\n"
        "listen.front=10.1.0.19\nlisten.ready=10.1.0.19:8749\n"
        "listen.directory=10.1.0.19:8746\ninternal-ports=7200,7215\n"
        "bounds.grace-s=soon\n",
        "boot.conf");
    ASSERT_FALSE(read);
    auto const& found = read.error();
    ASSERT_EQ(found.size(), 4U);
    EXPECT_EQ(found[0].where.line, 2);
    EXPECT_EQ(found[1].where.field, "listen.front");
    EXPECT_EQ(found[1].where.line, 5);
    EXPECT_EQ(found[2].where.field, "platform.address");
    EXPECT_EQ(found[3].where.field, "bounds.grace-s");
    for (auto const& each : found)
    {
        EXPECT_EQ(each.where.source, "boot.conf");
        EXPECT_FALSE(each.mend.empty());
    }
}

} // namespace
} // namespace sapphirereel::deployment
