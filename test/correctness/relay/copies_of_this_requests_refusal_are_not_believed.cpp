// A replica writes the refusal of a request once more when the same request is
// under way again on the connection that carried the refusal. The copy names
// the request, which runs; it must neither be sent on nor be refused as not
// run.
#include "support/relay/raw_caller.hpp"
#include "support/relay/relay_fleet.hpp"
#include "support/relay/repeating_replica.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

/// A relay before one replica that is listed with two ids at its address, as
/// one is that has returned with a new id, and before a third entry elsewhere.
struct doubly_listed_replica
{
    explicit doubly_listed_replica(int refusal_status)
        : replica(world.loop, refusal_status)
    {
        world.configure(1);
        for (auto const* service : {"plain", "engine"})
        {
            world.add_at(fmt::format("{}-1", service), service, replica.port());
            world.add_at(fmt::format("{}-2", service), service, replica.port());
        }
    }

    relay_fixture world;
    repeating_replica replica;
};

/// Each route with each status that a replica may refuse with.
class copied_refusal
    : public testing::TestWithParam<std::tuple<std::string, int>>
{};

TEST_P(copied_refusal, does_not_take_a_run_back)
{
    auto const [target, status] = GetParam();
    auto with = doubly_listed_replica{status};
    ASSERT_TRUE(with.world.start());
    auto const answer = with.world.send_request("POST", target);
    ASSERT_TRUE(answer);
    EXPECT_EQ(with.replica.refusals["r1"], 1);
    EXPECT_EQ(with.replica.runs["r1"], 1);
    EXPECT_EQ(answer->head.status, 200);
}

// With another replica to go to, the request runs twice.
TEST_P(copied_refusal, does_not_make_a_request_run_elsewhere)
{
    auto const [target, status] = GetParam();
    auto with = doubly_listed_replica{status};
    auto runs_elsewhere = 0;
    auto other = raw_replica{
        with.world.loop, [&](connection& to, std::string const& head) {
            ++runs_elsewhere;
            to.send(executed_response(
                request_id_of(head), 200, "id: 1\ndata: e\n\n"));
        }};
    with.world.add_at("plain-3", "plain", other.port);
    with.world.add_at("engine-3", "engine", other.port);
    ASSERT_TRUE(with.world.start());
    auto const rounds = 12;
    for (auto at = 0; at < rounds; ++at)
    {
        auto const id = fmt::format("r{}", at);
        runs_elsewhere = 0;
        auto const answer = with.world.send_request_as(id, "POST", target);
        ASSERT_TRUE(answer);
        EXPECT_EQ(with.replica.runs[id] + runs_elsewhere, 1) << id;
        EXPECT_EQ(answer->head.status, 200) << id;
    }
}

auto name_of_case(testing::TestParamInfo<copied_refusal::ParamType> const& info)
    -> std::string
{
    auto const& [target, status] = info.param;
    auto const route = target.substr(1, target.find('/', 1) - 1);
    return fmt::format("{}_{}", route, status);
}

INSTANTIATE_TEST_SUITE_P(
    on_each_route,
    copied_refusal,
    testing::Combine(
        testing::Values("/once/a", "/safe/a", "/stream/a", "/resumable/a"),
        testing::Values(503, 421, 429)),
    name_of_case);

// A caller may send the same request again after a refusal.
TEST(copied_refusal_of_a_caller, does_not_take_the_second_request_back)
{
    for (auto const* const target : {"/once/a", "/stream/a"})
    {
        auto world = relay_fixture{};
        auto replica = repeating_replica{world.loop};
        world.configure(1);
        world.add_at("p", "plain", replica.port());
        world.add_at("e", "engine", replica.port());
        ASSERT_TRUE(world.start());
        auto const refused = world.send_request("POST", target);
        ASSERT_TRUE(refused);
        EXPECT_EQ(refused->head.status, 503);
        auto const answer = world.send_request("POST", target);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->head.status, 200) << target;
        EXPECT_EQ(replica.runs["r1"], 1) << target;
    }
}

// A peer serves the request over connections of its own.
TEST(copied_refusal_at_a_peer, does_not_take_a_forwarded_request_back)
{
    for (auto const* const target : {"/once/a", "/stream/a"})
    {
        auto fleet = relay_fleet{3};
        auto replica = repeating_replica{fleet.loop};
        auto const closed =
            unreachable_port{fleet.loop, unreachable_port::kind::refused};
        for (auto const* const service : {"plain", "engine"})
        {
            fleet.add(fmt::format("{}-1", service), service, replica.port());
            fleet.add(fmt::format("{}-2", service), service, replica.port());
        }
        fleet.divert(0, {{replica.port(), closed.port}});
        ASSERT_TRUE(fleet.start());
        fleet.send_request(0, target);
        ASSERT_TRUE(fleet.run_until([&] { return !fleet.responses.empty(); }));
        auto runs = 0;
        for (auto const& [id, count] : replica.runs)
        {
            runs += count;
        }
        EXPECT_EQ(runs, 1) << target;
        EXPECT_EQ(fleet.count_of(200), 1U) << target;
    }
}

// A stream that its replica has lost goes on where its first try was refused.
TEST(copied_refusal_of_a_lost_stream, does_not_take_its_continuation_back)
{
    auto world = relay_fixture{};
    auto replica = repeating_replica{world.loop};
    auto running = std::shared_ptr<connection>{};
    auto losing = raw_replica{
        world.loop, [&running](connection& to, std::string const& head) {
            if (head.starts_with("POST /-/kv-move"))
            {
                to.send("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            running = to.shared_from_this();
            to.send(fmt::format(
                "HTTP/1.1 200 X\r\n{}X-Sapphirereel-Response-Signature: sig\r\n"
                "Content-Length: 1000\r\n\r\nid: 1\ndata: e\n\n"
                "id: 2\ndata: e\n\n",
                id_field(request_id_of(head))));
        }};
    world.configure(1);
    world.add_at("losing", "engine", losing.port);
    ASSERT_TRUE(world.start());
    auto caller = raw_caller{world.loop, world.caller_address()};
    caller.write("GET /resumable/a HTTP/1.1\r\nHost: h\r\n"
                 "X-Sapphirereel-Request-Id: r1\r\n"
                 "X-Sapphirereel-Token-Count: 10,20\r\n\r\n");
    world.add_at("e-1", "engine", replica.port());
    world.add_at("e-2", "engine", replica.port());
    ASSERT_TRUE(world.run_until([&] {
        return running != nullptr &&
               world.node().state().replicas.replicas().size() == 3;
    }));
    running->close();
    EXPECT_TRUE(world.run_until([&] {
        caller.read_some(65'536);
        return caller.received.find("id: 5\n") != std::string::npos;
    }));
    EXPECT_EQ(replica.refusals["r1"], 1);
    EXPECT_EQ(replica.runs["r1"], 1);
}

} // namespace
} // namespace sapphirereel::relay::test
