#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

/// Replicas of an engine that crash on some parts of prompts as they begin to
/// write, and a caller whose requests are no two alike.
struct crashing_engine
{
    explicit crashing_engine(std::vector<std::string> poison)
        : poison_parts(std::move(poison))
    {
        world.configure(1);
        for (auto at = 0; at < 12; ++at)
        {
            replicas.push_back(
                std::make_unique<fake_replica>(world.loop, serve()));
            world.add(fmt::format("r{}", at), "engine", *replicas.back());
        }
    }

    auto serve() -> fake_replica::handler
    {
        return [this](
                   std::shared_ptr<caller_session> const& from,
                   http::request const& request) {
            auto const prompt = std::string{
                http::find(request.fields, "X-Sapphirereel-Prompt-Prefix")
                    .value_or(std::string_view{})};
            auto const crashes = std::any_of(
                poison_parts.begin(), poison_parts.end(),
                [&](std::string const& part) {
                    return prompt.find(part + ":") != std::string::npos;
                });
            if (crashes)
            {
                ++crashed;
                from->abort();
                return;
            }
            from->begin_stream(200, "OK", signed_fields(request));
            from->stream("id: 1\ndata: e1\n\n");
            from->finish_stream();
        };
    }

    /// Sends a request whose prompt has these parts and one of its own; returns
    /// its status, 0 if it has no answer.
    auto send(std::string const& parts) -> int
    {
        ++sent;
        auto const prompt = fmt::format("{}{:x}:250", parts, 0x1000 + sent);
        auto const answer = world.send_request(
            "GET", fmt::format("/stream/{}", sent),
            {{"X-Sapphirereel-Prompt-Prefix", prompt},
             {"X-Sapphirereel-Token-Count", "10,20"}});
        last_body = answer ? answer->body : std::string{};
        return answer ? answer->head.status : 0;
    }

    /// Lets time pass: crashes at once would count as one incident.
    auto wait(milliseconds length) -> void
    {
        auto const end = std::chrono::steady_clock::now() + length;
        world.run_until(
            [end] { return std::chrono::steady_clock::now() >= end; });
    }

    relay_fixture world;
    std::vector<std::string> poison_parts;
    std::vector<std::unique_ptr<fake_replica>> replicas;
    std::string last_body;
    int sent = 0;
    int crashed = 0;
};

// Requests that share nothing but a part which crashes replicas must be refused
// after a few crashes, and sound requests with the same first part served.
TEST(poison_part, is_refused_though_no_two_requests_are_alike)
{
    auto with = crashing_engine{{"dead"}};
    ASSERT_TRUE(with.world.start());
    for (auto attempt = 0; attempt < 5; ++attempt)
    {
        EXPECT_EQ(with.send("f1:79,"), 200);
        EXPECT_NE(with.send("f1:79,dead:400,"), 200);
        with.wait(milliseconds{400});
    }
    auto const crashed_before = with.crashed;
    for (auto attempt = 0; attempt < 10; ++attempt)
    {
        EXPECT_EQ(with.send("f1:79,dead:400,"), 503);
        EXPECT_EQ(with.send("f1:79,"), 200);
    }
    EXPECT_EQ(with.crashed, crashed_before);
    EXPECT_EQ(with.send("dead:400,f1:79,"), 503);
    EXPECT_EQ(with.last_body, "crashes_replicas");
    EXPECT_EQ(with.send("f1:79,a2:100,"), 200);
}

// Two parts that crash replicas at the same time must both be found.
TEST(poison_part, is_found_beside_another_one)
{
    auto with = crashing_engine{{"dead", "bad"}};
    ASSERT_TRUE(with.world.start());
    for (auto attempt = 0; attempt < 5; ++attempt)
    {
        EXPECT_EQ(with.send("f1:79,"), 200);
        EXPECT_NE(with.send("f1:79,dead:400,"), 200);
        with.wait(milliseconds{150});
        EXPECT_NE(with.send("f1:79,bad:70,"), 200);
        with.wait(milliseconds{400});
    }
    EXPECT_EQ(with.send("f1:79,dead:400,"), 503);
    EXPECT_EQ(with.send("f1:79,bad:70,"), 503);
    EXPECT_EQ(with.send("f1:79,"), 200);
}

// The last part of a prompt is the request's own: it must not be held against
// a session whose requests happened to crash with another part.
TEST(poison_part, is_never_the_last_one)
{
    auto with = crashing_engine{{"dead"}};
    ASSERT_TRUE(with.world.start());
    for (auto attempt = 0; attempt < 5; ++attempt)
    {
        EXPECT_EQ(with.send("f1:79,"), 200);
        EXPECT_NE(with.send("dead:400,"), 200);
        with.wait(milliseconds{400});
    }
    EXPECT_EQ(with.send("dead:400,"), 503);
    auto const answer = with.world.send_request(
        "GET", "/stream/own",
        {{"X-Sapphirereel-Prompt-Prefix", "1001:250"},
         {"X-Sapphirereel-Token-Count", "10,20"}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 200);
}

} // namespace
} // namespace sapphirereel::relay::test
