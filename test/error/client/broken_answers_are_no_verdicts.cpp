// Guards against a daemon's answer that is broken, or a part of one, and that
// the operators' client takes for the answer.
#include "sapphirereel/client/daemon_client.hpp"
#include "support/endpoint/raw_endpoint.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::client {
namespace {

TEST(broken_answer, is_no_answer_of_a_daemon)
{
    for (auto const& bytes : testing::broken_answers())
    {
        auto const daemon = testing::raw_endpoint{{bytes}};
        auto const client = daemon_client{{daemon.address()}, {}};
        auto const answer = client.send({"/operator/status", {}, {}});
        ASSERT_FALSE(answer) << bytes;
        EXPECT_EQ(answer.error().code, exit_code::unreachable);
    }
}

// What was asked may have been done.
TEST(broken_answer, ends_a_call_that_may_not_be_repeated)
{
    auto const broken = testing::raw_endpoint{
        {"HTTP/1.1 000 Status\r\nContent-Length: 2\r\n\r\n{}"}};
    auto const sound = testing::raw_endpoint{
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"}};
    auto const client = daemon_client{{broken.address(), sound.address()}, {}};
    EXPECT_FALSE(client.send({"/operator/drain", "{}", repetition::forbidden}));
    EXPECT_EQ(sound.requests(), 0);
    EXPECT_TRUE(client.send({"/operator/status", {}, {}}));
    EXPECT_EQ(sound.requests(), 1);
}

} // namespace
} // namespace sapphirereel::client
