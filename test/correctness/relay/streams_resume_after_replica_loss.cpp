#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

auto event(int number) -> std::string
{
    return fmt::format("id: {}\ndata: e{}\n\n", number, number);
}

auto const long_generation = http::field_list{
    {"X-Sapphirereel-Token-Count", "1000,2000"},
    {"X-Sapphirereel-Length-Hint", "2000"}};

/// Two replicas of an engine. The one that receives the request produces three
/// events and a part of the fourth, and is lost; the other resumes the run.
struct engine_pair
{
    engine_pair()
        : one(world.loop, serve())
        , two(world.loop, serve())
    {
        world.configure(1);
        world.add("one", "engine", one);
        world.add("two", "engine", two);
    }

    auto serve() -> fake_replica::handler
    {
        return [this](
                   std::shared_ptr<caller_session> const& from,
                   http::request const& request) {
            if (answer_order_without_run(*from, request))
            {
                return;
            }
            from->begin_stream(200, "OK", signed_fields(request));
            if (auto const memory = http::find(request.fields, "Kv-From"))
            {
                requested_memory = std::string{*memory};
                last_event =
                    std::string{*http::find(request.fields, "Last-Event-Id")};
                from->stream(event(4) + event(5));
                from->finish_stream();
                return;
            }
            if (auto const copy =
                    http::find(request.fields, "X-Sapphirereel-Kv-Backup"))
            {
                copy_address = std::string{*copy};
            }
            from->stream(event(1) + event(2));
            from->stream(event(3) + "id: 4\nda");
            if (finishes)
            {
                from->finish_stream();
                return;
            }
            from->close_incomplete();
        };
    }

    relay_fixture world;
    fake_replica one;
    fake_replica two;
    std::string copy_address;
    std::string requested_memory;
    std::string last_event;
    bool finishes = false;
};

TEST(stream_of_a_lost_replica, resumes_from_its_backup)
{
    auto with = engine_pair{};
    ASSERT_TRUE(with.world.start());
    auto const answer =
        with.world.send_request("GET", "/stream/a", long_generation);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 200);
    EXPECT_EQ(
        answer->body, event(1) + event(2) + event(3) + event(4) + event(5));
    EXPECT_FALSE(with.copy_address.empty());
    EXPECT_EQ(with.requested_memory, with.copy_address + "/r1");
    EXPECT_EQ(with.last_event, "3");
}

TEST(stream_of_a_lost_replica, without_a_backup_does_not_look_complete)
{
    auto with = engine_pair{};
    ASSERT_TRUE(with.world.start());
    // The expected output is too short for a backup.
    auto const answer = with.world.send_request(
        "GET", "/stream/a", {{"X-Sapphirereel-Token-Count", "10,20"}});
    EXPECT_FALSE(answer);
    EXPECT_TRUE(with.world.logged("stream lost"));
}

TEST(stream, that_ends_within_an_event_does_not_look_complete)
{
    auto with = engine_pair{};
    with.finishes = true;
    ASSERT_TRUE(with.world.start());
    auto const answer = with.world.send_request(
        "GET", "/stream/a", {{"X-Sapphirereel-Token-Count", "10,20"}});
    EXPECT_FALSE(answer);
}

} // namespace
} // namespace sapphirereel::relay::test
