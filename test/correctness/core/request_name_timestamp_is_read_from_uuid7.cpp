#include "sapphirereel/core/request_name_timestamp.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {

TEST(request_name_timestamp, reads_the_time_of_a_uuid_of_version_7)
{
    auto const name = request_name{"01890a5d-ac96-774b-bcce-b302099a8057"};
    EXPECT_EQ(request_name_timestamp(name), wall_time{1688096058518});
}

TEST(request_name_timestamp, finds_none_in_other_names)
{
    for (auto const* text :
         {"", "closure-17", "01890a5d-ac96-474b-bcce-b302099a8057",
          "01890a5d-ac96-774b-0cce-b302099a8057",
          "01890a5dxac96-774b-bcce-b302099a8057"})
    {
        EXPECT_EQ(request_name_timestamp(request_name{text}), std::nullopt)
            << text;
    }
}

} // namespace sapphirereel
