#include "sapphirereel/wire/peer_codec.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

// Daemons would not learn from each other which parts crash endpoints.
TEST(peer_codec, poison_part_reports_survive_the_wire)
{
    auto const sent = peer_envelope{
        daemon_id{"d"}, poison_part_reports{
                            {{digest{"death"}, {digest{"a"}, digest{"b"}}}},
                            {{digest{"a"}, {digest{"death"}}}},
                            {{digest{"b"}, 3}}}};
    auto const read = decode_peer(encode_peer(sent));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(*read, sent);
}

} // namespace
} // namespace sapphirereel
