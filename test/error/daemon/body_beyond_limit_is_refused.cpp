#include "support/daemon/plain_caller.hpp"
#include "support/daemon/raw_caller.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

using namespace testing;

constexpr auto chunk_bytes = std::size_t{64} << 10;
constexpr auto limit_bytes = std::size_t{4} << 20;

/// Bytes after which a server that still reads counts as one without a bound.
constexpr auto most_sent = std::size_t{16} << 20;

constexpr auto longest_wait = std::chrono::seconds{15};

auto impatient() -> cluster_settings
{
    return {.caller_settings = "read_timeout = 3s\n"};
}

/// Sends chunks until the server takes no more; the bytes sent.
auto send_chunks(raw_caller& caller) -> std::size_t
{
    auto const one = chunk(std::string(chunk_bytes, 'x'));
    auto sent = std::size_t{0};
    while (sent < most_sent && caller.send(one))
    {
        sent += chunk_bytes;
    }
    return sent;
}

/// Guards against a body in chunks that is read and kept without a bound,
/// whatever the path and method.
TEST(body_beyond_limit, in_chunks_is_refused_and_not_read_on)
{
    auto world = cluster{impatient()};
    for (auto const& [method, path] :
         {std::pair{"POST", "/services/registru/closures"},
          std::pair{"PUT", "/services/registru/closures"},
          std::pair{"POST", "/v1/chat/completions"},
          std::pair{"POST", "/operator/edits"}})
    {
        auto caller = raw_caller{world.daemon(0)};
        ASSERT_TRUE(caller.send(chunked_head(method, path)));
        auto const sent = send_chunks(caller);
        EXPECT_LT(sent, most_sent) << method << path;
        EXPECT_TRUE(caller.await_end(longest_wait)) << method << path;
        EXPECT_EQ(caller.status(), 413) << method << path;
    }
    EXPECT_EQ(call_by_name(world.daemon(0), fresh_name(1)), told::answered);
}

/// Guards against bodies that are read although nothing answers them.
TEST(body_beyond_limit, for_no_handler_is_not_read)
{
    auto world = cluster{impatient()};
    for (auto const& [method, path] :
         {std::pair{"POST", "/nowhere"}, std::pair{"PATCH", "/v1/models"},
          std::pair{"PRI", "/services/registru/closures"}})
    {
        auto caller = raw_caller{world.daemon(0)};
        ASSERT_TRUE(caller.send(chunked_head(method, path)));
        auto const sent = send_chunks(caller);
        EXPECT_LT(sent, most_sent) << method << path;
        EXPECT_TRUE(caller.await_end(longest_wait)) << method << path;
        EXPECT_EQ(caller.status(), 404) << method << path;
    }
}

/// Guards against a body in chunks that the HTTP library doesn't read for this
/// method: the call ran without it, and its bytes counted as further requests.
TEST(body_beyond_limit, of_a_deletion_must_state_its_length)
{
    auto world = cluster{impatient()};
    auto caller = raw_caller{world.daemon(0)};
    ASSERT_TRUE(caller.send(
        chunked_head("DELETE", "/services/registru/closures") +
        chunk("GET /addresses HTTP/1.1\r\n\r\n") + "0\r\n\r\n"));
    EXPECT_TRUE(caller.await_end(longest_wait));
    EXPECT_EQ(caller.status(), 411);
    EXPECT_EQ(caller.received().find("\"addresses\""), std::string::npos);
}

/// Guards against deletions that are refused for having no body.
TEST(body_beyond_limit, spares_deletions_with_a_stated_body_and_without_one)
{
    auto world = cluster{impatient()};
    for (auto const* const rest : {"\r\n", "Content-Length: 3\r\n\r\nabc"})
    {
        auto caller = raw_caller{world.daemon(0)};
        ASSERT_TRUE(caller.send(
            "DELETE /services/registru/closures HTTP/1.1\r\nHost: test\r\n"
            "Connection: close\r\n" +
            std::string{rest}));
        EXPECT_TRUE(caller.await_end(longest_wait));
        EXPECT_EQ(caller.status(), 200) << caller.received();
    }
}

/// Guards against a stated length that is read to its end to be refused.
TEST(body_beyond_limit, of_stated_length_is_refused_at_once)
{
    auto world = cluster{impatient()};
    auto caller = raw_caller{world.daemon(0)};
    ASSERT_TRUE(caller.send(
        "POST /services/registru/closures HTTP/1.1\r\nHost: test\r\n"
        "Content-Length: 1000000000\r\n\r\n"));
    EXPECT_TRUE(caller.await_end(std::chrono::seconds{5}));
    EXPECT_EQ(caller.status(), 413);
}

/// Guards against a bound that refuses what it should let through.
TEST(body_beyond_limit, differs_from_whole_body_inside_it)
{
    auto world = cluster{impatient()};
    auto caller = raw_caller{world.daemon(0)};
    auto const body = std::string(limit_bytes - 1, 'x');
    ASSERT_TRUE(caller.send(
        "PUT /services/registru/closures HTTP/1.1\r\nHost: test\r\n"
        "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n" +
        chunk(body) + "0\r\n\r\n"));
    EXPECT_TRUE(caller.await_end(longest_wait));
    EXPECT_EQ(caller.status(), 200) << caller.received();
    auto client = httplib::Client{world.daemon(0).ip, world.daemon(0).port};
    auto const stated =
        client.Put("/services/registru/closures", body, "text/plain");
    ASSERT_TRUE(stated);
    EXPECT_EQ(stated->status, 200) << stated->body;
}

} // namespace
} // namespace sapphirereel
