// Streams that have hardly more time than the urgent ones would start late if
// they gave way; services without such tiers are served as if there were none.
#include "sapphirereel/relay/routing.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

auto const model = service_name{"model"};

auto stream(int priority, milliseconds target) -> route
{
    auto made = route{};
    made.kind = request_kind::stream;
    made.priority = priority;
    made.target_latency = target;
    made.services = {{model, 1}};
    return made;
}

auto is_tiered(std::vector<route> routes) -> bool
{
    auto configuration = routing_configuration{};
    configuration.routes = std::move(routes);
    return routing_table{configuration}.has_tiered_targets(model);
}

TEST(tiered_targets, need_a_less_urgent_stream_with_much_more_time)
{
    auto const urgent = stream(0, milliseconds{1'500});
    EXPECT_TRUE(is_tiered({urgent, stream(2, milliseconds{4'000})}));
    EXPECT_FALSE(is_tiered({urgent, stream(1, milliseconds{1'800})}));
    EXPECT_FALSE(is_tiered({urgent, stream(0, milliseconds{4'000})}));
    EXPECT_FALSE(is_tiered(
        {stream(0, milliseconds{4'000}), stream(2, milliseconds{1'500})}));
}

} // namespace
} // namespace sapphirereel::relay
