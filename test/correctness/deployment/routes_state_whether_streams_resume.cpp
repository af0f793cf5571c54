#include "sapphirereel/deployment/record_reader.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

auto resumes(std::string const& kind, std::string const& flag)
    -> std::optional<bool>
{
    auto const read = record_reader::read_configuration(
        {"config", 3,
         fmt::format(
             R"({{"version":2,"services":[],"routes":[{{"name":"r",)"
             R"("host":"h","path-prefix":"/a/","kind":"{}","service":"s"{}}}]}})",
             kind, flag)});
    return read && *read ? std::optional{(*read)->routes.at(0).may_resume}
                         : std::nullopt;
}

TEST(route_record, permits_resumption_of_streams_only)
{
    EXPECT_EQ(resumes("streaming", R"(,"stream-resume":true)"), true);
    EXPECT_EQ(resumes("streaming", R"(,"stream-resume":false)"), false);
    EXPECT_EQ(resumes("streaming", ""), false);
    EXPECT_EQ(resumes("safe", R"(,"stream-resume":true)"), false);
    EXPECT_EQ(resumes("unsafe", R"(,"stream-resume":true)"), false);
}

// A flag of another type must not cost the rest of the configuration.
TEST(route_record, with_an_unreadable_flag_is_taken_without_it)
{
    EXPECT_EQ(resumes("streaming", R"(,"stream-resume":"yes")"), false);
}

} // namespace
} // namespace sapphirereel::deployment
