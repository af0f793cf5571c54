#include "sapphirereel/codec/lethal_request_codec.hpp"
#include "sapphirereel/codec/relief_codec.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

template <class T>
auto expect_same_after(T const& before) -> void
{
    auto const bytes = nlohmann::json::to_msgpack(before);
    EXPECT_EQ(nlohmann::json::from_msgpack(bytes).template get<T>(), before);
}

TEST(lethal_request_codec, messages_survive_the_round_trip)
{
    expect_same_after(crash_message{digest{"d"}, {digest{"a"}, digest{"b"}}});
    expect_same_after(cleared_message{digest{"a"}, {digest{"d"}}});
}

TEST(relief_codec, messages_survive_the_round_trip)
{
    expect_same_after(migrate_message{endpoint_id{"e"}, run_id{"r"}});
}

} // namespace
} // namespace sapphirereel
