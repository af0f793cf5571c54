// Guards against calls and requests that own themselves and are never freed
// when the event loop and the relay end while they are in progress.
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

TEST(buffered_call, is_freed_with_its_event_loop)
{
    auto const owned = std::make_shared<int>(0);
    {
        auto loop = asio::io_context{};
        auto pool = upstream_pool{loop};
        auto asked = false;
        auto const silent = fake_replica{loop, [&](auto const&, auto const&) {
                                             asked = true;
                                         }};
        buffered_call::start(
            loop, pool,
            {asio::ip::make_address(process_loopback_ip()), silent.port},
            http::write_request("GET", "/a", {{"Host", "h"}}, {}),
            std::chrono::seconds{6}, [owned](buffered_response const&) {});
        loop.run_for(milliseconds{200});
        EXPECT_TRUE(asked);
    }
    EXPECT_EQ(owned.use_count(), 1);
}

// The set is owned by each request that is in progress.
TEST(request_in_progress, is_freed_with_its_relay)
{
    auto open = std::weak_ptr<std::set<exchange*>>{};
    {
        auto world = relay_fixture{};
        auto const begin_stream = [](auto const& from, auto const& request) {
            from->begin_stream(200, "OK", signed_fields(request));
            from->stream("id: 1\ndata: e1\n\n");
        };
        auto const engine = fake_replica{world.loop, begin_stream};
        auto const silent =
            fake_replica{world.loop, [](auto const&, auto const&) {
                         }};
        world.configure(1);
        world.add("e", "engine", engine);
        world.add("p", "plain", silent);
        ASSERT_TRUE(world.start());
        open = world.node().state().open_exchanges;
        auto pool = upstream_pool{world.loop};
        for (auto const* const target : {"/stream/a", "/safe/a"})
        {
            buffered_call::start(
                world.loop, pool, world.caller_address(),
                http::write_request(
                    "GET", target,
                    {{"Host", "h"},
                     {"X-Sapphirereel-Request-Id", target},
                     {"X-Sapphirereel-Token-Count", "10,20"}},
                    {}),
                std::chrono::seconds{6}, [](buffered_response const&) {});
        }
        ASSERT_TRUE(world.run_until([&] {
            return !engine.requests.empty() && !silent.requests.empty();
        }));
        world.run_until(
            [end = std::chrono::steady_clock::now() + milliseconds{100}] {
                return std::chrono::steady_clock::now() >= end;
            });
    }
    EXPECT_TRUE(open.expired());
}

} // namespace
} // namespace sapphirereel::relay::test
