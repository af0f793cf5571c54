// Guards against a pace that only the daemon knows which read it, against long
// streams that go by load alone although it is known, against pauses that are
// not measured, and against reports that grow by more than datagrams have room
// for.
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

/// Serves streams of two events and states a pace.
auto serve_at(int pace) -> fake_replica::handler
{
    return [pace](
               std::shared_ptr<caller_session> const& from,
               http::request const& request) {
        auto fields = signed_fields(request);
        fields.push_back(
            {"X-Sapphirereel-Replica-Load", fmt::format("1,0,4,{}", pace)});
        from->begin_stream(200, "OK", fields);
        from->stream("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
        from->finish_stream();
    };
}

auto const short_stream =
    http::field_list{{"X-Sapphirereel-Token-Count", "10,8"}};
auto const long_stream = http::field_list{
    {"X-Sapphirereel-Token-Count", "10,60"},
    {"X-Sapphirereel-Length-Hint", "60"}};

class two_daemons : public testing::Test
{
protected:
    two_daemons()
    {
        fleet.add("slow", "engine", slow.port);
        fleet.add("fast", "engine", fast.port);
    }

    auto send(std::size_t to, http::field_list const& fields, std::size_t count)
        -> bool
    {
        auto const sent = fleet.responses.size() + count;
        for (auto each = std::size_t{0}; each < count; ++each)
        {
            fleet.send_request(to, "/stream/a", fields);
        }
        return fleet.run_until([&] { return fleet.responses.size() == sent; });
    }

    auto knows(std::size_t daemon, std::string const& id, double pace) -> bool
    {
        auto& figures = fleet.nodes[daemon]->state().replicas.pace().figures();
        auto const* const known = figures.find(endpoint_id{id});
        return known != nullptr && known->usual() == pace;
    }

    relay_fleet fleet{2};
    fake_replica slow{fleet.loop, serve_at(120)};
    fake_replica fast{fleet.loop, serve_at(55)};
};

TEST_F(two_daemons, both_place_long_streams_by_what_one_read)
{
    ASSERT_TRUE(fleet.start());
    while (slow.requests.empty() || fast.requests.empty())
    {
        ASSERT_TRUE(send(0, short_stream, 4));
    }
    ASSERT_TRUE(fleet.run_until(
        [&] { return knows(1, "slow", 120) && knows(1, "fast", 55); }));
    auto const before = fast.requests.size();
    ASSERT_TRUE(send(1, long_stream, 4));
    EXPECT_EQ(fast.requests.size() - before, 4U);
    EXPECT_TRUE(fleet.logged("placed by pace"));
    auto const page = fleet.nodes[1]->state().metrics.page();
    EXPECT_NE(
        page.find("sapphirereel_relay_paced_streams_total 4"),
        std::string::npos)
        << page;
}

/// Serves streams of ten events with a pause before the last one.
auto serve_with_pause(asio::io_context& loop) -> fake_replica::handler
{
    return [&loop](
               std::shared_ptr<caller_session> const& from,
               http::request const& request) {
        auto fields = signed_fields(request);
        fields.push_back({"X-Sapphirereel-Replica-Load", "1,0,4,100"});
        from->begin_stream(200, "OK", fields);
        for (auto event = 1; event < 10; ++event)
        {
            from->stream(fmt::format("id: {}\ndata: e\n\n", event));
        }
        auto const timer = std::make_shared<asio::steady_timer>(
            loop, std::chrono::milliseconds{60});
        timer->async_wait([from, timer](std::error_code) {
            from->stream("id: 10\ndata: e\n\n");
            from->finish_stream();
        });
    };
}

TEST(pauses_of_runs, decide_whether_their_replica_holds_a_target)
{
    auto world = relay_fixture{};
    auto one = fake_replica{world.loop, serve_with_pause(world.loop)};
    world.configure(1);
    world.add("one", "engine", one);
    ASSERT_TRUE(world.start());
    auto const holds = [&](int target_ms) {
        auto& replicas = world.node().state().replicas;
        return replicas.pace().holds(
            *replicas.find(endpoint_id{"one"}),
            std::chrono::milliseconds{target_ms});
    };
    for (auto each = 0; each < 8; ++each)
    {
        EXPECT_TRUE(holds(50)) << each;
        ASSERT_TRUE(world.send_request("GET", "/stream/a", short_stream));
    }
    // The range of paces is computed at the next choice.
    world.send_request("GET", "/stream/a", short_stream);
    EXPECT_FALSE(holds(50));
    EXPECT_TRUE(holds(5'000));
}

TEST(report, grows_by_little_for_paces_and_by_nothing_without)
{
    auto paces = replica_pace{};
    auto report = peer_report{};
    auto const bytes = write_peer_report(report).size();
    report.paces = paces.entries_to_report(time_point{});
    EXPECT_EQ(write_peer_report(report).size(), bytes);
    for (auto each = 10; each < 30; ++each)
    {
        auto of = replica{};
        of.id = endpoint_id{fmt::format("i-8b0e8487{}", each)};
        of.started_at_ms = 1'764'873'000'000;
        paces.record_figure(of, 55, time_point{});
    }
    report.paces = paces.entries_to_report(time_point{});
    EXPECT_LE(write_peer_report(report).size(), bytes + 200);
}

} // namespace
} // namespace sapphirereel::relay::test
