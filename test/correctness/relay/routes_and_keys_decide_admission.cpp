#include "sapphirereel/relay/request_admission.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

auto route_of(std::string name, std::string prefix) -> route
{
    auto made = route{};
    made.name = std::move(name);
    made.host = "h";
    made.path_prefix = std::move(prefix);
    made.timeout = milliseconds{500};
    made.services = {{service_name{"s"}, 1}};
    return made;
}

auto table_of(std::vector<route> routes) -> std::shared_ptr<routing_table const>
{
    auto configuration = routing_configuration{};
    configuration.version = 7;
    configuration.routes = std::move(routes);
    configuration.customers = {{customer_id{"c"}, {"key"}, std::nullopt}};
    return std::make_shared<routing_table const>(std::move(configuration));
}

auto request_for(std::string target, std::string key) -> caller_request
{
    auto made = caller_request{};
    made.id = "1";
    made.host = "h:80";
    made.target = std::move(target);
    made.credential = std::move(key);
    return made;
}

constexpr auto now = time_point{std::chrono::seconds{5}};

TEST(request_admission, takes_the_longest_prefix)
{
    auto const table =
        table_of({route_of("short", "/a/"), route_of("long", "/a/b/")});
    EXPECT_EQ(
        admit(table, request_for("/a/b/c?x=/a/", "key"), now)->route->name,
        "long");
    EXPECT_EQ(
        admit(table, request_for("/a/bc", "key"), now)->route->name, "short");
}

TEST(request_admission, without_a_configuration_asks_the_caller_to_retry)
{
    auto const refused = admit(nullptr, request_for("/a/", "key"), now);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().status, 503);
    EXPECT_TRUE(refused.error().retry_after.has_value());
}

TEST(request_admission, distinguishes_a_missing_route_from_an_unknown_key)
{
    auto const table = table_of({route_of("a", "/a/")});
    EXPECT_EQ(admit(table, request_for("/b/", "key"), now).error().status, 404);
    EXPECT_EQ(admit(table, request_for("/a/", "no"), now).error().status, 401);
    EXPECT_EQ(admit(table, request_for("/a/", ""), now).error().status, 401);
}

TEST(request_admission, requires_no_key_on_a_public_route)
{
    auto open = route_of("open", "/open/");
    open.needs_no_key = true;
    auto const granted =
        admit(table_of({open}), request_for("/open/", ""), now);
    ASSERT_TRUE(granted);
    EXPECT_FALSE(granted->customer);
}

TEST(request_admission, takes_the_earlier_of_route_and_caller_timeout)
{
    auto const table = table_of({route_of("a", "/a/")});
    auto asked = request_for("/a/", "key");
    EXPECT_EQ(admit(table, asked, now)->deadline, now + milliseconds{500});
    asked.caller_timeout = milliseconds{200};
    EXPECT_EQ(admit(table, asked, now)->deadline, now + milliseconds{200});
    asked.caller_timeout = milliseconds{900};
    EXPECT_EQ(admit(table, asked, now)->deadline, now + milliseconds{500});
}

} // namespace
} // namespace sapphirereel::relay
