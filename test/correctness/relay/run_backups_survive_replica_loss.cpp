#include "sapphirereel/relay/run_backup.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

auto const service = service_name{"engine"};
auto const engine = engine_traits{10'000, 10, 1'000, true, true, 1};
auto const now = time_point{} + std::chrono::seconds{100};

auto replica_named(std::string const& id) -> replica
{
    auto made = replica{};
    made.id = endpoint_id{id};
    made.service = service;
    made.slots = 8;
    made.started_at_ms = 1;
    return made;
}

struct two_replicas
{
    two_replicas()
    {
        table.set_replicas({source, holds});
        backup.choose(
            {{service, 1'000, 500, {}, {}}, source, 800}, engine, now);
    }

    replica source = replica_named("runs_on");
    replica holds = replica_named("holds");
    replica_table table{zone_name{"z"}, 1};
    run_backup backup{table};
};

TEST(run_backup, is_held_by_another_replica_and_adds_to_its_load)
{
    auto with = two_replicas{};
    ASSERT_TRUE(with.backup.holder());
    EXPECT_EQ(with.backup.holder()->id, with.holds.id);
    EXPECT_TRUE(with.backup.is_usable());
    EXPECT_EQ(with.table.load_of(with.holds.id).memory_tokens, 1'000);
    with.backup.release();
    EXPECT_EQ(with.table.load_of(with.holds.id).memory_tokens, 0);
    EXPECT_FALSE(with.backup.is_usable());
}

TEST(run_backup, is_unusable_if_its_holder_drains_or_is_gone)
{
    auto with = two_replicas{};
    with.holds.leaving = true;
    with.table.set_replicas({with.source, with.holds});
    EXPECT_FALSE(with.backup.is_usable());
    EXPECT_NE(with.backup.listed_holder(), nullptr);
    with.table.set_replicas({with.source});
    EXPECT_EQ(with.backup.listed_holder(), nullptr);
}

TEST(run_backup, is_unusable_if_its_holder_restarted_with_the_same_id)
{
    auto with = two_replicas{};
    with.holds.started_at_ms = 2;
    with.table.set_replicas({with.source, with.holds});
    EXPECT_EQ(with.backup.listed_holder(), nullptr);
    EXPECT_FALSE(with.backup.is_usable());
}

TEST(run_backup, is_not_created_for_short_runs_or_on_full_replicas)
{
    auto with = two_replicas{};
    with.backup.choose(
        {{service, 1'000, 500, {}, {}}, with.source, 20}, engine, now);
    EXPECT_FALSE(with.backup.holder());
    with.table.add(with.holds.id, {1, 9'000, 0, 0});
    with.backup.choose(
        {{service, 1'000, 500, {}, {}}, with.source, 800}, engine, now);
    EXPECT_FALSE(with.backup.holder());
}

} // namespace
} // namespace sapphirereel::relay
