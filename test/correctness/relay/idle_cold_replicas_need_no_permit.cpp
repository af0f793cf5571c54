// A permit arrives after most requests have gone elsewhere, so that cold
// replicas that need one for each request stay unused.
#include "sapphirereel/relay/send_gate.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto now = time_point{seconds{100}};
auto const id = endpoint_id{"r"};

/// A cold replica of a service and the gate before it.
class cold_replica_gate
{
public:
    explicit cold_replica_gate(bool is_engine, duration run_time = seconds{1})
    {
        auto described = service{};
        described.name = service_name{"s"};
        described.warmup = seconds{1};
        described.cold_rate = 33;
        if (is_engine)
        {
            described.engine = engine_traits{};
        }
        auto listed = replica{};
        listed.id = id;
        listed.service = described.name;
        listed.cold_remaining = seconds{1};
        table.set_replicas({listed});
        gate.cold().set_services({described});
        gate.cold().record_listed(listed, now);
        gate.set_cold_bounds({1.5, 5}, "10.0.0.1");
        table.record_service_time(described.name, run_time);
    }

    [[nodiscard]] auto is_open() -> bool
    {
        auto const need = placement_need{service_name{"s"}, 1'000, 500, {}};
        return gate.find_closed(need, std::nullopt, 0, now).ids.empty() &&
               gate.take(id, permit_use::request, now) == permission::granted;
    }

    replica_table table{zone_name{"z"}, 1};
    send_gate gate{table};
};

TEST(cold_engine, takes_few_requests_without_a_permit)
{
    auto world = cold_replica_gate{true};
    EXPECT_TRUE(world.is_open());
    world.table.add(id, {1, 1'000, 500});
    EXPECT_TRUE(world.is_open());
    world.table.add(id, {1, 1'000, 500});
    EXPECT_FALSE(world.is_open());
    world.table.remove(id, {1, 1'000, 500});
    EXPECT_TRUE(world.is_open());
}

// Found by a soak: many short requests run one after the other in a second.
TEST(cold_engine, takes_short_requests_by_permit_only)
{
    EXPECT_FALSE((cold_replica_gate{true, milliseconds{50}}.is_open()));
}

// Its peers may send there too, which it does not see.
TEST(cold_engine, takes_none_from_a_daemon_that_hears_few_others)
{
    auto world = cold_replica_gate{true};
    world.gate.set_reachable_share(0.3);
    EXPECT_FALSE(world.is_open());
}

// Their requests are reported late, so that many daemons would see it idle.
TEST(cold_plain_replica, takes_none_without_a_permit)
{
    EXPECT_FALSE(cold_replica_gate{false}.is_open());
}

} // namespace
} // namespace sapphirereel::relay
