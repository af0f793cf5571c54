// Guards against a large configuration that reaches no daemon in time: a weak
// VM that sends it to many peers at once finishes none before they give up.
#include "sapphirereel/relay/record_transfer.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

TEST(large_copy, is_sent_to_few_peers_at_once)
{
    EXPECT_TRUE(may_send_copy(430'000, 0));
    EXPECT_TRUE(may_send_copy(430'000, max_large_copies - 1));
    EXPECT_FALSE(may_send_copy(430'000, max_large_copies));
}

TEST(small_copy, is_sent_at_once)
{
    EXPECT_TRUE(may_send_copy(min_large_copy - 1, 100));
}

} // namespace
} // namespace sapphirereel::relay
