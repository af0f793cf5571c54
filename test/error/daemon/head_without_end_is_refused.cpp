#include "support/daemon/plain_caller.hpp"
#include "support/daemon/raw_caller.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

using namespace testing;

/// Bytes after which a server that still reads counts as one without a bound.
constexpr auto most_sent = std::size_t{16} << 20;

/// Guards against memory taken by a request line, a header line, a number of
/// header lines or a chunk's line that never end.
TEST(head_without_end, ends_its_connection)
{
    auto world = cluster{};
    auto const line = "a: " + std::string(1000, 'x') + "\r\n";
    auto lines = std::string{};
    for (auto i = 0; i < 64; ++i)
    {
        lines += line;
    }
    auto const run = std::string(std::size_t{64} << 10, 'x');
    for (auto const& [begin, more] :
         {std::pair{std::string{"GET /"}, run},
          std::pair{std::string{"GET / HTTP/1.1\r\na: "}, run},
          std::pair{std::string{"GET / HTTP/1.1\r\n"}, lines},
          std::pair{
              chunked_head("POST", "/services/registru/closures") + "1;", run}})
    {
        auto caller = raw_caller{world.daemon(0)};
        ASSERT_TRUE(caller.send(begin));
        auto sent = std::size_t{0};
        while (sent < most_sent && caller.send(more))
        {
            sent += more.size();
        }
        EXPECT_LT(sent, most_sent) << begin;
    }
    EXPECT_EQ(call_by_name(world.daemon(0), fresh_name(1)), told::answered);
}

} // namespace
} // namespace sapphirereel
