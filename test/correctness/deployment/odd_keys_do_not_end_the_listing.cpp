// Guards against a daemon that never completes its first reading because a
// key at the end of a page cannot stand in a request's target as it is.
#include "sapphirereel/deployment/store_client.hpp"
#include "support/relay/raw_replica.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

constexpr auto key_in_json = R"(a b&\"\r\n#%ü)";
constexpr auto escaped_key = "&after=a%20b%26%22%0D%0A%23%25%C3%BC HTTP/1.1";

/// A store with two pages of newest records.
auto serve_two_pages(relay::connection& to, std::string const& request) -> void
{
    auto const line = request.substr(0, request.find("\r\n"));
    auto const is_second = line.find("&after=") != std::string::npos;
    if (is_second && line.find(escaped_key) == std::string::npos)
    {
        to.send(http::write_response(400, {}, ""));
        return;
    }
    to.send(http::write_response(
        200, {},
        fmt::format(
            R"({{"entries":[{{"key":"{}","value":"aGk=","offset":{}}}],)"
            R"("more":{},"end":9}})",
            is_second ? "z" : key_in_json, is_second ? 5 : 4, !is_second)));
}

TEST(listing, goes_on_after_any_key)
{
    auto loop = asio::io_context{};
    auto store = relay::test::raw_replica{loop, serve_two_pages};
    auto client = store_client{
        loop, {relay::test::process_loopback_ip(), store.port}, [](bool) {
        }};
    auto got =
        std::optional<tl::expected<relay::keyed_page, relay::log_read_error>>{};
    client.newest(relay::keyed_stream::replicas, [&](auto page) {
        got = std::move(page);
    });
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds{4};
    while (!got && std::chrono::steady_clock::now() < end)
    {
        loop.run_for(std::chrono::milliseconds{2});
        loop.restart();
    }
    ASSERT_TRUE(got && *got);
    EXPECT_EQ((**got).records.size(), 2U);
    EXPECT_EQ((**got).records.back().key, "z");
}

} // namespace
} // namespace sapphirereel::deployment
