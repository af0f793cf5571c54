// A replica ends a stream within an event, in a response that is whole by its
// length, and writes that response once more when the same request comes again
// on the connection. The copy must not be taken for the new run's response:
// that run would be lost.
#include "support/relay/raw_caller.hpp"
#include "support/relay/repeating_replica.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

TEST(copied_cut_stream, does_not_end_the_run_that_follows)
{
    auto world = relay_fixture{};
    auto const cut = std::string{"id: 1\ndata: e\n\nid: 2\nda"};
    auto runs = 0;
    auto cut_on = static_cast<connection*>(nullptr);
    auto replica = raw_replica{
        world.loop, [&](connection& to, std::string const& request) {
            auto const id = request_id_of(request);
            if (request.starts_with("POST /-/kv-move"))
            {
                to.send("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            if (++runs == 1)
            {
                cut_on = &to;
                to.send(executed_response(id, 200, cut));
                return;
            }
            if (&to == cut_on)
            {
                to.send(executed_response(id, 200, cut));
            }
            to.send(executed_response(
                id, 200, "id: 2\ndata: e\n\nid: 3\ndata: e\n\n"));
        }};
    world.configure(1);
    world.add_at("e-1", "engine", replica.port);
    world.add_at("e-2", "engine", replica.port);
    ASSERT_TRUE(world.start());
    auto const answer = world.send_request("GET", "/resumable/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(runs, 2);
    EXPECT_EQ(
        answer->body, "id: 1\ndata: e\n\nid: 2\ndata: e\n\nid: 3\ndata: e\n\n");
}

} // namespace
} // namespace sapphirereel::relay::test
