#include "support/daemon/plain_caller.hpp"
#include "support/daemon/raw_caller.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

using namespace testing;

constexpr auto mebibyte = std::size_t{1} << 20;
constexpr auto callers = 64;

/// Bytes of one body that never ends, below the limit of one body.
constexpr auto body_bytes = 3 * mebibyte;

/// The default of `[callers] max_bodies_bytes`, and what else may grow: the
/// threads and buffers of the connections.
constexpr auto most_growth = (64 + 24) * mebibyte;

/// Whether the memory of a process is that of its own code: sanitizers add
/// theirs and keep what is freed.
#if defined(__has_feature)
#define SAPPHIREREEL_HAS_FEATURE(name) __has_feature(name)
#else
#define SAPPHIREREEL_HAS_FEATURE(name) 0
#endif
constexpr auto is_memory_own = SAPPHIREREEL_HAS_FEATURE(address_sanitizer) +
                                   SAPPHIREREEL_HAS_FEATURE(thread_sanitizer) ==
                               0;

auto resident_bytes(socket_address const& daemon) -> std::size_t
{
    auto client = httplib::Client{daemon.ip, daemon.port};
    client.set_read_timeout(std::chrono::seconds{30});
    auto const page = client.Get("/metrics");
    constexpr auto metric =
        std::string_view{"\nprocess_resident_memory_bytes "};
    auto const at = page ? page->body.find(metric) : std::string::npos;
    return at == std::string::npos
               ? 0
               : std::stoull(page->body.substr(at + metric.size()));
}

/// Guards against bodies within the limit of one body that together take the
/// machine's memory, and against a bound that leaves no room for small ones.
TEST(unfinished_bodies, share_a_bound_beside_which_small_ones_pass)
{
    auto world = cluster{};
    auto const before = resident_bytes(world.daemon(0));
    ASSERT_GT(before, 0U);
    auto const piece = chunk(std::string(mebibyte / 4, 'x'));
    auto open = std::vector<raw_caller>{};
    for (auto i = 0; i < callers; ++i)
    {
        auto& caller = open.emplace_back(world.daemon(0));
        ASSERT_TRUE(caller.connected());
        caller.send(chunked_head("POST", "/services/registru/closures"));
    }
    for (auto sent = std::size_t{0}; sent < body_bytes; sent += mebibyte / 4)
    {
        for (auto& caller : open)
        {
            caller.send(piece);
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{500});
    auto const beside = resident_bytes(world.daemon(0));
    if (is_memory_own)
    {
        EXPECT_LT(beside, before + most_growth);
    }
    EXPECT_EQ(call_by_name(world.daemon(0), fresh_name(1)), told::answered);

    auto refused = 0;
    for (auto& caller : open)
    {
        if (caller.await_end(std::chrono::milliseconds{100}))
        {
            ++refused;
            EXPECT_EQ(caller.status(), 503) << caller.received();
            EXPECT_NE(
                caller.received().find("Retry-After: "), std::string::npos);
            EXPECT_NE(
                caller.received().find("Sapphirereel-Disposition: not-run"),
                std::string::npos);
        }
    }
    EXPECT_GT(refused, 0);
    EXPECT_LT(refused, callers);
    open.clear();
    EXPECT_EQ(call_by_name(world.daemon(0), fresh_name(2)), told::answered);
}

/// Guards against an account that bodies stay on after their requests.
TEST(unfinished_bodies, are_off_the_account_when_they_end)
{
    auto world = cluster{};
    auto const piece = chunk(std::string(3 * mebibyte, 'x'));
    auto const head =
        std::string{"PUT /services/registru/closures HTTP/1.1\r\nHost: test\r\n"
                    "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"};
    for (auto i = 0; i < callers / 2; ++i)
    {
        auto left = raw_caller{world.daemon(0)};
        left.send(head + piece);
    }
    for (auto i = 0; i < callers / 2; ++i)
    {
        auto whole = raw_caller{world.daemon(0)};
        ASSERT_TRUE(whole.send(head + piece + "0\r\n\r\n"));
        EXPECT_TRUE(whole.await_end(std::chrono::seconds{15}));
        ASSERT_EQ(whole.status(), 200) << whole.received();
    }
}

} // namespace
} // namespace sapphirereel
