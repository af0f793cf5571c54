#include "support/daemon/plain_caller.hpp"
#include "support/daemon/raw_caller.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

using namespace testing;

constexpr auto longest_wait = std::chrono::seconds{5};

auto impatient() -> cluster_settings
{
    return {.caller_settings = "read_timeout = 500ms\n"};
}

/// Guards against connections that hold a thread and part of a body for good.
TEST(request_cut_short, in_its_body_ends_its_connection)
{
    auto world = cluster{impatient()};
    for (auto const* const part :
         {"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "Transfer-Encoding: chunked\r\n\r\n3\r\na",
          "Content-Length: 5\r\n\r\nabc"})
    {
        auto caller = raw_caller{world.daemon(0)};
        ASSERT_TRUE(caller.send(
            "POST /services/registru/closures HTTP/1.1\r\nHost: test\r\n" +
            std::string{part}));
        EXPECT_TRUE(caller.await_end(longest_wait)) << part;
        EXPECT_EQ(caller.status(), 400) << part << caller.received();
    }
    EXPECT_EQ(call_by_name(world.daemon(0), fresh_name(1)), told::answered);
}

/// Guards against connections whose heads stop and which stay.
TEST(request_cut_short, in_its_head_ends_its_connection)
{
    auto world = cluster{impatient()};
    for (auto const* const part :
         {"POST /services/reg", "GET / HTTP/1.1\r\nHo"})
    {
        auto caller = raw_caller{world.daemon(0)};
        ASSERT_TRUE(caller.send(part));
        EXPECT_TRUE(caller.await_end(longest_wait)) << part;
    }
}

} // namespace
} // namespace sapphirereel
