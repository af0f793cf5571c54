// Guards against an answer of the store that is broken, or a part of one, and
// counts as a sound answer of the store, or as its statement that records are
// gone. Copies of peers are fetched with the same call.
#include "sapphirereel/deployment/store_client.hpp"
#include "support/relay/raw_replica.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

using relay::keyed_page;
using relay::keyed_stream;
using relay::log_read_error;

/// What a read of the store brought.
struct store_reading
{
    std::optional<tl::expected<keyed_page, log_read_error>> page;
    /// Whether the client counted the call as answered.
    std::optional<bool> is_answered;
};

/// Reads from a store that answers with bytes and ends the connection.
auto read_from_store(std::string const& bytes) -> store_reading
{
    auto loop = asio::io_context{};
    auto store = relay::test::raw_replica{
        loop, [&](relay::connection& to, std::string const&) {
            to.send(bytes);
            to.close_gracefully();
        }};
    auto result = store_reading{};
    auto client = store_client{
        loop,
        {relay::test::process_loopback_ip(), store.port},
        [&](bool is_answered) {
            result.is_answered = is_answered;
        }};
    client.read(keyed_stream::replicas, 0, duration{0}, [&](auto page) {
        result.page = std::move(page);
    });
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds{8};
    while (!result.page && std::chrono::steady_clock::now() < end)
    {
        loop.run_for(std::chrono::milliseconds{2});
        loop.restart();
    }
    return result;
}

auto expect_unanswered(std::string const& bytes) -> void
{
    auto const got = read_from_store(bytes);
    EXPECT_EQ(got.is_answered, false) << bytes;
    ASSERT_TRUE(got.page) << bytes;
    ASSERT_FALSE(got.page->has_value()) << bytes;
    EXPECT_EQ(got.page->error(), log_read_error::unanswered) << bytes;
}

/// A page without records: the offset after it and the era.
auto empty_page() -> std::string
{
    return std::string(16, '\0');
}

TEST(answer_of_the_store, that_ends_with_its_connection_is_read)
{
    auto const got = read_from_store("HTTP/1.1 200 OK\r\n\r\n" + empty_page());
    EXPECT_EQ(got.is_answered, true);
    ASSERT_TRUE(got.page);
    EXPECT_TRUE(got.page->has_value());
}

TEST(broken_answer_of_the_store, with_no_status_is_none)
{
    for (auto const* const status : {"000", "099", "101", "600", "999"})
    {
        auto const line = std::string{"HTTP/1.1 "} + status + " Status\r\n";
        expect_unanswered(line + "\r\n" + empty_page());
        expect_unanswered(line + "Content-Length: 16\r\n\r\n" + empty_page());
    }
}

TEST(broken_answer_of_the_store, with_a_line_that_is_no_field_is_none)
{
    for (auto const* const line :
         {"X Y: b", "X-Y : b", "X\x01: b", "X: a\r\n folded", "no colon"})
    {
        expect_unanswered(
            std::string{"HTTP/1.1 200 OK\r\n"} + line +
            "\r\nContent-Length: 16\r\n\r\n" + empty_page());
    }
}

// A part of a 410 does not state that records are gone.
TEST(broken_answer_of_the_store, that_is_cut_states_nothing)
{
    for (auto const* const status : {"200", "410", "503"})
    {
        expect_unanswered(
            std::string{"HTTP/1.1 "} + status +
            " Status\r\nContent-Length: 17\r\n\r\n" + empty_page());
    }
}

} // namespace
} // namespace sapphirereel::deployment
