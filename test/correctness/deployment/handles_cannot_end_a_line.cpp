// Guards against a handle of a faulty replica that ends a line: it is written
// into the request that resumes the run at another replica.
#include "sapphirereel/deployment/wire_format.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

auto handle_of(std::string const& stated) -> std::string
{
    auto answer = http::response{};
    answer.head.status = 200;
    answer.body = R"({"create-rev":2,"handle":)" + stated + "}";
    return wire_format::read_migration_response(answer).handle;
}

TEST(migration_handle, is_one_word_or_none)
{
    EXPECT_EQ(handle_of(R"("h1")"), "h1");
    EXPECT_EQ(handle_of("17"), "17");
    EXPECT_EQ(handle_of("null"), "");
    EXPECT_EQ(handle_of(R"("h1\r\nX-Sapphirereel-Tenant: t")"), "");
    EXPECT_EQ(handle_of(R"("h 1")"), "");
    EXPECT_EQ(handle_of("\"h\xc3\xa9\""), "");
}

} // namespace
} // namespace sapphirereel::deployment
