// A replica answers a request with a success that it has not signed, which is
// no result, and writes that response once more when the same request comes
// again on the connection. The copy must not use up the second attempt.
#include "support/relay/repeating_replica.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

TEST(copied_unsigned_success, does_not_end_the_next_attempt)
{
    auto world = relay_fixture{};
    auto attempts = 0;
    auto unsigned_on = static_cast<connection*>(nullptr);
    auto replica = raw_replica{
        world.loop, [&](connection& to, std::string const& request) {
            auto const id = request_id_of(request);
            auto const unsigned_response = fmt::format(
                "HTTP/1.1 200 X\r\n{}Content-Length: 0\r\n\r\n", id_field(id));
            if (++attempts == 1)
            {
                unsigned_on = &to;
                to.send(unsigned_response);
                return;
            }
            if (&to == unsigned_on)
            {
                to.send(unsigned_response);
            }
            to.send(executed_response(id, 200, "done"));
        }};
    world.configure(1);
    world.add_at("p-1", "plain", replica.port);
    world.add_at("p-2", "plain", replica.port);
    ASSERT_TRUE(world.start());
    auto const answer = world.send_request("GET", "/safe/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 200);
    EXPECT_EQ(answer->body, "done");
    EXPECT_EQ(attempts, 2);
}

} // namespace
} // namespace sapphirereel::relay::test
