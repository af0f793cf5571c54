// Guards against a caller that sets the fields with which daemons tell each
// other about a forwarded request, such as the attempts that a peer may make.
#include "sapphirereel/deployment/wire_format.hpp"
#include "sapphirereel/relay/forward_target.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

TEST(caller_request, keeps_no_field_of_daemons)
{
    auto request = http::request{};
    request.method = "GET";
    request.target = "/safe/a";
    request.fields = {
        {"Host", "h"},
        {"X-Sapphirereel-Request-Id", "r1"},
        {"Accept", "text/plain"}};
    for (auto const name :
         {std::string_view{relay::forwarded_by_name},
          std::string_view{relay::permitted_attempts_name},
          std::string_view{relay::refused_by_peer_name}})
    {
        request.fields.push_back({std::string{name}, "99"});
    }
    auto const read = wire_format::read_request(request);
    ASSERT_TRUE(read);
    auto const sent = wire_format::write_forwarded_request(
        *read, std::chrono::seconds{1},
        {{relay::permitted_attempts_name, "1"}});
    EXPECT_EQ(sent.find("99"), std::string::npos) << sent;
    EXPECT_NE(sent.find("Sapphirereel-Attempts: 1"), std::string::npos) << sent;
    EXPECT_NE(sent.find("text/plain"), std::string::npos) << sent;
}

} // namespace
} // namespace sapphirereel::deployment
