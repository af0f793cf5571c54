// Guards against a daemon that stops following the log at a record without a
// whole key: it would read the same page again and again.
#include "sapphirereel/deployment/store_client.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

auto framed(std::string const& record) -> std::string
{
    auto bytes = std::string(3, '\0');
    bytes += static_cast<char>(record.size());
    return bytes + record;
}

TEST(log_page, passes_over_records_without_a_whole_key)
{
    auto body = std::string(16, '\0');
    body += framed("");
    body += framed("\xff"
                   "key");
    body += framed("\1kv");
    body += framed("\5key");
    body += framed("\1l");
    auto const read = read_log_page(body, 10);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->next, relay::log_position{15});
    ASSERT_EQ(read->records.size(), 2U);
    EXPECT_EQ(
        read->records[0],
        (relay::keyed_record{"k", relay::log_position{12}, "v"}));
    EXPECT_EQ(
        read->records[1],
        (relay::keyed_record{"l", relay::log_position{14}, std::nullopt}));
}

} // namespace
} // namespace sapphirereel::deployment
