// Guards against a load that is dropped because its replica states one figure
// more, or because that figure is invalid.
#include "sapphirereel/deployment/wire_format.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

auto load_of(std::string const& stated) -> std::optional<relay::reported_load>
{
    auto head = http::response_head{};
    head.status = 200;
    head.fields = {{"X-Sapphirereel-Replica-Load", stated}};
    return wire_format::read_response(head).load;
}

TEST(replica_load, of_three_figures_has_no_pace)
{
    EXPECT_EQ(load_of("4,3,24"), (relay::reported_load{4, 3, 24, {}}));
}

TEST(replica_load, of_four_figures_has_a_pace)
{
    EXPECT_EQ(load_of("4,3,24,137.5"), (relay::reported_load{4, 3, 24, 137.5}));
}

TEST(replica_load, keeps_its_figures_if_the_pace_is_none)
{
    EXPECT_EQ(load_of("4,3,24,fast"), (relay::reported_load{4, 3, 24, 0.0}));
}

TEST(replica_load, of_another_length_is_none)
{
    EXPECT_FALSE(load_of("4,3"));
    EXPECT_FALSE(load_of("4,3,24,55,1"));
}

} // namespace
} // namespace sapphirereel::deployment
