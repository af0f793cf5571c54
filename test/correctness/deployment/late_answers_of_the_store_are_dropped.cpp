// The store's answers name no call, so that one is told from another by its
// connection alone. An answer that comes after its call was given up must not
// be taken for the answer to the next call: its records would have the keys of
// one topic at the offsets of another (CONFIG).
#include "sapphirereel/deployment/store_client.hpp"
#include "support/relay/raw_replica.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

using relay::keyed_page;
using relay::keyed_stream;
using relay::log_read_error;
using read_result = std::optional<tl::expected<keyed_page, log_read_error>>;

auto big_endian(std::uint64_t value, int bytes) -> std::string
{
    auto text = std::string{};
    for (auto at = bytes - 1; at >= 0; --at)
    {
        text += static_cast<char>(value >> (8 * at) & 0xffU);
    }
    return text;
}

/// The answer to a read: one record, whose key is the topic that was asked for.
auto answer_to(std::string const& request) -> std::string
{
    auto const at = request.find("topic=") + std::string_view{"topic="}.size();
    auto const topic = request.substr(at, request.find('&', at) - at);
    auto const record = static_cast<char>(topic.size()) + topic + "v";
    auto const body = big_endian(1, 8) + big_endian(0, 8) +
                      big_endian(record.size(), 4) + record;
    return fmt::format(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

auto read(
    asio::io_context& loop,
    store_client& client,
    keyed_stream stream,
    std::chrono::seconds limit) -> read_result
{
    auto got = read_result{};
    client.read(
        stream, 0, duration{0}, [&got](auto page) { got = std::move(page); });
    auto const end = std::chrono::steady_clock::now() + limit;
    while (!got && std::chrono::steady_clock::now() < end)
    {
        loop.run_for(std::chrono::milliseconds{2});
        loop.restart();
    }
    return got;
}

TEST(late_answer_of_the_store, is_not_taken_for_the_next_calls)
{
    auto loop = asio::io_context{};
    auto requests = 0;
    auto withheld = std::string{};
    auto first = std::shared_ptr<relay::connection>{};
    auto store = relay::test::raw_replica{
        loop, [&](relay::connection& to, std::string const& request) {
            ++requests;
            if (requests == 2)
            {
                // Kept back until the next call has been received.
                first = to.shared_from_this();
                withheld = answer_to(request);
                return;
            }
            if (first && first->is_open())
            {
                first->send(withheld);
            }
            to.send(answer_to(request));
        }};
    auto client = store_client{
        loop, {relay::test::process_loopback_ip(), store.port}, [](bool) {
        }};
    using std::chrono::seconds;
    auto const kept = read(loop, client, keyed_stream::replicas, seconds{8});
    ASSERT_TRUE(kept && kept->has_value());
    auto const lost = read(loop, client, keyed_stream::replicas, seconds{8});
    ASSERT_TRUE(lost);
    EXPECT_FALSE(lost->has_value());
    auto const next =
        read(loop, client, keyed_stream::configuration, seconds{8});
    ASSERT_TRUE(next && next->has_value());
    ASSERT_EQ((*next)->records.size(), 1U);
    EXPECT_EQ((*next)->records.front().key, "keyed.op");
    EXPECT_EQ(store.opened_connections(), 2U);
}

} // namespace
} // namespace sapphirereel::deployment
