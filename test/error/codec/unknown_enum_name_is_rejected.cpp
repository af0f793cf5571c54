#include "sapphirereel/codec/basic_codec.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

TEST(basic_codec, unknown_enum_name_is_rejected)
{
    auto const json = nlohmann::json("maybe-run");
    EXPECT_THROW((void)json.get<disposition>(), nlohmann::json::exception);
}

TEST(basic_codec, values_survive_the_round_trip)
{
    auto const before = refusal{
        refusal_cause::poison, disposition::final_answer, "no", duration{7}};
    auto const after = nlohmann::json(before).get<refusal>();
    EXPECT_EQ(before, after);
}

} // namespace
} // namespace sapphirereel
