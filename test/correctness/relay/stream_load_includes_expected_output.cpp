#include "sapphirereel/relay/stream_load.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

auto const asked = generation_size{3'000, 2'000, std::nullopt};
auto const at = endpoint_id{"r"};

TEST(memory_of_a_stream, includes_a_part_of_the_expected_output)
{
    auto const fresh = counted_memory_tokens(asked, 900, 0);
    EXPECT_GT(fresh, 3'000);
    EXPECT_LT(fresh, 3'900);
    // Beyond its expected output, only what it holds counts.
    EXPECT_EQ(counted_memory_tokens(asked, 900, 1'200), 4'200);
}

TEST(expected_output, weights_the_hint_and_never_exceeds_the_limit)
{
    auto lengths = length_estimator::create({}).value();
    auto const curve = lengths.curve({service_name{"s"}, customer_id{}});
    auto hinted = asked;
    hinted.hinted_output = 10;
    EXPECT_LT(expected_output(curve, hinted), expected_output(curve, asked));
    auto small = asked;
    small.most_output = 5;
    EXPECT_LE(expected_output(curve, small), 5);
}

TEST(load_of_a_stream, is_registered_at_one_replica_and_removed_at_the_end)
{
    auto table = replica_table{zone_name{"z"}, 1};
    {
        auto load = stream_load{table};
        load.place(at, {1, 3'400, 3'000, 3'000});
        load.prefill_completed();
        EXPECT_EQ(table.load_of(at), (replica_load{1, 3'400, 0, 3'000}));
        load.update(3'410, 3'200);
        EXPECT_EQ(table.load_of(at).memory_tokens, 3'400);
        load.update(3'600, 3'300);
        EXPECT_EQ(table.load_of(at), (replica_load{1, 3'600, 0, 3'300}));
        load.place(endpoint_id{"other"}, {1, 3'600, 0, 0});
        EXPECT_EQ(table.load_of(at), replica_load{});
    }
    EXPECT_TRUE(table.own_load().empty());
}

} // namespace
} // namespace sapphirereel::relay
