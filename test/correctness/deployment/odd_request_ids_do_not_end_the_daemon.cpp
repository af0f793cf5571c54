// Guards against a daemon that ends because a caller's request id is no UTF-8
// when the run is migrated.
#include "sapphirereel/deployment/wire_format.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

TEST(migration_request, is_written_for_any_request_id)
{
    auto text = std::string{};
    EXPECT_NO_THROW(
        text = wire_format::write_migration_request(
            {"r\xff\xc3\x28", "10.0.0.9:8080", true}));
    EXPECT_NE(text.find(R"("last":true)"), std::string::npos);
    EXPECT_NE(
        wire_format::write_migration_request({"r1", "10.0.0.9:8080", false})
            .find(R"("id":"r1")"),
        std::string::npos);
}

} // namespace
} // namespace sapphirereel::deployment
