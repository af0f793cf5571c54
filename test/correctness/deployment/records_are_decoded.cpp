#include "sapphirereel/deployment/record_reader.hpp"
#include "sapphirereel/deployment/store_client.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

using std::chrono::milliseconds;

TEST(configuration_record, is_decoded_into_the_products_words)
{
    auto const read = record_reader::read_configuration(
        {"config", 4,
         R"({"version":7,"routes":[{"name":"r","host":"h",)"
         R"("path-prefix":"/p/","kind":"streaming","timeout-ms":6000,)"
         R"("target-latency-ms":1500,"priority":1,"traffic-split":)"
         R"([{"service":"a","weight":90},{"service":"b","weight":10}],)"
         R"("max-attempts":1,"auth-exempt":true,"gap-aim-ms":180}],)"
         R"("services":[{"name":"a","max-connections":282,"engine":)"
         R"({"kv-cache-tokens":34322,"kv-token-bytes":18432,)"
         R"("link-mbps":2700.0,"moves":true,"stride":4}}],)"
         R"("limits":{"max-header-bytes":100,"max-body-bytes":200},)"
         R"("tenants":[{"name":"t","api-keys":["k"],"priority":1}]})"});
    ASSERT_TRUE(read && *read);
    auto const& whole = **read;
    EXPECT_EQ(whole.version, 7U);
    auto const& route = whole.routes.at(0);
    EXPECT_EQ(route.kind, relay::request_kind::stream);
    EXPECT_EQ(route.timeout, milliseconds{6'000});
    EXPECT_EQ(route.services.at(1).weight, 10);
    EXPECT_TRUE(route.needs_no_key);
    EXPECT_EQ(whole.services.at(0).engine->tokens_per_event, 4);
    EXPECT_EQ(whole.limits.message.body_bytes, 200U);
    EXPECT_EQ(whole.customers->at(0).keys, (std::vector<std::string>{"k"}));
}

TEST(configuration_record, of_another_key_is_none)
{
    auto const read = record_reader::read_configuration({"other", 0, "{}"});
    ASSERT_TRUE(read);
    EXPECT_FALSE(*read);
}

TEST(replica_record, is_decoded)
{
    auto const read = record_reader::read_replica(
        {"i-1", 3,
         R"({"service":"a","address":"10.0.0.9:8080","zone":"z","slots":24,)"
         R"("state":"draining","sequence":4})"});
    ASSERT_TRUE(read);
    EXPECT_EQ(read->id, endpoint_id{"i-1"});
    EXPECT_EQ(read->port, 8'080);
    EXPECT_TRUE(read->leaving);
}

TEST(replica_record, of_another_writer_names_no_replica)
{
    auto const names_none = [](std::string value) {
        return !record_reader::read_replica({"i-1", 3, std::move(value)});
    };
    EXPECT_TRUE(names_none("\x01\x02"));
    EXPECT_TRUE(names_none("[]"));
    EXPECT_TRUE(names_none(R"({"service":"a"})"));
    EXPECT_TRUE(names_none(
        R"({"service":"a","address":"10.0.0.9:8080","zone":"z","slots":"x",)"
        R"("state":"ready"})"));
    EXPECT_TRUE(names_none(
        R"({"service":"a","address":"10.0.0.9:8080","zone":"z","slots":1,)"
        R"("state":"odd"})"));
    EXPECT_TRUE(
        names_none(R"({"service":"a","address":"nowhere","zone":"z","slots":1,)"
                   R"("state":"ready"})"));
}

TEST(store_answer, with_the_newest_records_is_decoded)
{
    auto const read = read_newest_page(
        R"({"entries":[{"key":"config","value":"aGk=","offset":4}],)"
        R"("more":true,"end":6})");
    ASSERT_TRUE(read);
    EXPECT_TRUE(read->more);
    EXPECT_EQ(read->page.next, 6U);
    EXPECT_EQ(read->page.records.at(0).value, "hi");
    EXPECT_FALSE(read_newest_page(R"({"entries":[{"key":"a"}]})"));
    EXPECT_FALSE(read_newest_page("no json"));
}

TEST(store_answer, with_records_is_decoded)
{
    auto body = std::string(16, '\0');
    body += std::string{"\0\0\0\4\1kvv", 8};
    body += std::string{"\0\0\0\2\1k", 6};
    auto const read = read_log_page(body, 10);
    ASSERT_TRUE(read);
    ASSERT_EQ(read->records.size(), 2U);
    EXPECT_EQ(read->records[0].position, relay::log_position{10});
    EXPECT_EQ(read->records[0].value, "vv");
    EXPECT_FALSE(read->records[1].value);
    EXPECT_EQ(read->next, 12U);
    body.pop_back();
    EXPECT_FALSE(read_log_page(body, 10));
    EXPECT_FALSE(read_log_page("short", 10));
}

} // namespace
} // namespace sapphirereel::deployment
