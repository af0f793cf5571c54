#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

/// Closes the connection without a response.
auto close_connection(
    std::shared_ptr<caller_session> const& from, http::request const&) -> void
{
    from->abort();
}

/// States that the request was not executed.
auto reject(
    std::shared_ptr<caller_session> const& from, http::request const& request)
    -> void
{
    auto fields = signed_fields(request);
    fields.pop_back();
    fields.push_back({"X-Sapphirereel-Not-Executed", "1"});
    from->respond(503, fields, {});
}

struct two_replicas
{
    explicit two_replicas(
        fake_replica::handler first, fake_replica::handler second)
        : one(world.loop, std::move(first))
        , two(world.loop, std::move(second))
    {
        world.configure(1);
        world.add("one", "plain", one);
        world.add("two", "plain", two);
    }

    [[nodiscard]] auto received_requests() const -> std::size_t
    {
        return one.requests.size() + two.requests.size();
    }

    relay_fixture world;
    fake_replica one;
    fake_replica two;
};

TEST(buffered_request, returns_the_replicas_response)
{
    auto with = two_replicas{serve_normally, serve_normally};
    ASSERT_TRUE(with.world.start());
    auto const answer = with.world.send_request("GET", "/once/a?b=1");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 200);
    EXPECT_EQ(answer->body, "done");
    EXPECT_EQ(
        http::find(answer->head.fields, "X-Sapphirereel-Response-Signature"),
        "sig");
    EXPECT_EQ(with.received_requests(), 1U);
}

TEST(buffered_request, if_not_idempotent_is_not_retried_after_a_lost_connection)
{
    auto with = two_replicas{close_connection, close_connection};
    ASSERT_TRUE(with.world.start());
    auto const answer = with.world.send_request("GET", "/once/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 502);
    EXPECT_EQ(with.received_requests(), 1U);
}

TEST(buffered_request, if_idempotent_is_retried_after_a_lost_connection)
{
    auto with = two_replicas{close_connection, close_connection};
    ASSERT_TRUE(with.world.start());
    auto const answer = with.world.send_request("GET", "/safe/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 502);
    EXPECT_EQ(with.received_requests(), 2U);
}

TEST(buffered_request, is_refused_as_not_executed_if_all_replicas_reject_it)
{
    auto with = two_replicas{reject, reject};
    ASSERT_TRUE(with.world.start());
    auto const answer = with.world.send_request("GET", "/once/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 503);
    EXPECT_TRUE(http::find(answer->head.fields, "Retry-After"));
    EXPECT_FALSE(
        http::find(answer->head.fields, "X-Sapphirereel-Response-Signature"));
    EXPECT_EQ(with.received_requests(), 2U);
}

TEST(buffered_request, rejected_by_one_replica_is_served_by_another)
{
    auto with = two_replicas{reject, serve_normally};
    ASSERT_TRUE(with.world.start());
    for (auto at = 0; at < 4; ++at)
    {
        auto const answer = with.world.send_request("GET", "/once/a");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->head.status, 200);
    }
}

TEST(buffered_request, returns_a_replicas_error_unchanged)
{
    auto const fail = [](std::shared_ptr<caller_session> const& from,
                         http::request const& request) {
        from->respond(500, signed_fields(request), "broken");
    };
    auto with = two_replicas{fail, fail};
    ASSERT_TRUE(with.world.start());
    auto const once = with.world.send_request("GET", "/once/a");
    ASSERT_TRUE(once);
    EXPECT_EQ(once->head.status, 500);
    EXPECT_EQ(once->body, "broken");
    EXPECT_EQ(with.received_requests(), 1U);
    auto const safe = with.world.send_request("GET", "/safe/a");
    ASSERT_TRUE(safe);
    EXPECT_EQ(safe->head.status, 500);
    EXPECT_EQ(with.received_requests(), 3U);
}

TEST(buffered_request, never_returns_the_response_to_another_request)
{
    auto const answer_another_request =
        [](std::shared_ptr<caller_session> const& from, http::request const&) {
            from->respond(
                200,
                {{"X-Sapphirereel-Request-Id", "another"},
                 {"X-Sapphirereel-Response-Signature", "sig"}},
                "not yours");
        };
    auto with = two_replicas{answer_another_request, answer_another_request};
    ASSERT_TRUE(with.world.start());
    auto const answer = with.world.send_request("GET", "/once/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 502);
}

TEST(buffered_request, without_a_response_fails_at_its_deadline)
{
    auto const never_respond = [](std::shared_ptr<caller_session> const&,
                                  http::request const&) {
    };
    auto with = two_replicas{never_respond, never_respond};
    ASSERT_TRUE(with.world.start());
    auto const answer = with.world.send_request(
        "GET", "/once/a", {{"X-Sapphirereel-Deadline-Ms", "120"}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 504);
}

TEST(buffered_request, drops_reserved_header_fields_of_the_caller)
{
    auto with = two_replicas{serve_normally, serve_normally};
    ASSERT_TRUE(with.world.start());
    std::ignore = with.world.send_request(
        "GET", "/once/a",
        {{"X-Sapphirereel-Tenant", "forged"},
         {"X-Sapphirereel-Hold", "forged"},
         {"Kv-From", "forged"},
         {"X-Other", "kept"}});
    auto const& seen = with.one.requests.empty() ? with.two.requests.at(0)
                                                 : with.one.requests.at(0);
    EXPECT_FALSE(http::find(seen.fields, "X-Sapphirereel-Tenant"));
    EXPECT_FALSE(http::find(seen.fields, "X-Sapphirereel-Hold"));
    EXPECT_FALSE(http::find(seen.fields, "Kv-From"));
    EXPECT_EQ(http::find(seen.fields, "X-Other"), "kept");
    EXPECT_TRUE(http::find(seen.fields, "X-Sapphirereel-Expect-Instance"));
    EXPECT_TRUE(http::find(seen.fields, "X-Sapphirereel-Deadline-Ms"));
}

} // namespace
} // namespace sapphirereel::relay::test
