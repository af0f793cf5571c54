#include "sapphirereel/wire/peer_codec.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

TEST(peer_codec, deeply_nested_message_is_malformed)
{
    // 0x91 opens an array of one element; a recursive parser would overflow its
    // stack.
    auto const bytes = std::string(200'000, '\x91');
    auto const read = decode_peer(bytes);
    ASSERT_FALSE(read.has_value());
    EXPECT_EQ(read.error(), peer_error::malformed);
}

TEST(peer_codec, message_of_another_version_is_distinguished)
{
    auto bytes = std::string{};
    nlohmann::json::to_msgpack({{"v", 99}, {"m", 1}}, bytes);
    auto const read = decode_peer(bytes);
    ASSERT_FALSE(read.has_value());
    EXPECT_EQ(read.error(), peer_error::other_version);
}

} // namespace
} // namespace sapphirereel
