#include "sapphirereel/deployment/record_reader.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

auto resumes(std::string const& kind, std::string const& flag) -> bool
{
    auto const read = record_reader::read_configuration(
        {"config", 3,
         fmt::format(
             R"({{"version":2,"services":[],"routes":[{{"name":"r",)"
             R"("host":"h","path-prefix":"/a/","kind":"{}","service":"s"{}}}]}})",
             kind, flag)});
    return read && *read && (*read)->routes.at(0).may_resume;
}

TEST(route_record, permits_resumption_of_streams_only)
{
    EXPECT_TRUE(resumes("streaming", R"(,"stream-resume":true)"));
    EXPECT_FALSE(resumes("streaming", R"(,"stream-resume":false)"));
    EXPECT_FALSE(resumes("streaming", ""));
    EXPECT_FALSE(resumes("safe", R"(,"stream-resume":true)"));
    EXPECT_FALSE(resumes("unsafe", R"(,"stream-resume":true)"));
}

// A flag of another type must not cost the rest of the configuration.
TEST(route_record, with_an_unreadable_flag_is_taken_without_it)
{
    EXPECT_FALSE(resumes("streaming", R"(,"stream-resume":"yes")"));
    auto const read = record_reader::read_configuration(
        {"config", 3,
         R"({"version":2,"services":[],"routes":[{"name":"r","host":"h",)"
         R"("path-prefix":"/a/","kind":"streaming","service":"s",)"
         R"("stream-resume":"yes"}]})"});
    ASSERT_TRUE(read && *read);
    EXPECT_EQ((*read)->routes.size(), 1U);
}

} // namespace
} // namespace sapphirereel::deployment
