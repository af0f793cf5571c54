// A replica writes a refusal once more when the connection has been given back,
// or just as the next request takes it. The copy must be taken neither for the
// refusal of the same request, which is under way again, nor for the response
// to another one.
#include "support/relay/relay_fixture.hpp"
#include "support/relay/repeating_replica.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

/// Refuses each request once. The copy of the refusal follows after a delay, or
/// at once in the same bytes; all later requests are executed.
class late_repeating_replica
{
public:
    late_repeating_replica(asio::io_context& loop, duration delay)
        : raw_(
              loop,
              [this](connection& to, std::string const& head) {
                  serve(to, head);
              })
        , loop_(&loop)
        , delay_(delay)
    {}

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return raw_.port;
    }

    /// Requests that were executed, by id.
    std::map<std::string, int> runs;

private:
    auto serve(connection& to, std::string const& head) -> void
    {
        auto const id = request_id_of(head);
        if (refused_.insert(id).second)
        {
            to.send(refusal_of(id));
            after(delay_, to, refusal_of(id));
            return;
        }
        ++runs[id];
        after(
            std::chrono::milliseconds{10}, to,
            executed_response(id, 200, "id: 1\ndata: " + id + "\n\n"));
    }

    auto after(duration delay, connection& to, std::string bytes) -> void
    {
        if (delay == duration{0})
        {
            to.send(std::move(bytes));
            return;
        }
        auto const timer = std::make_shared<asio::steady_timer>(*loop_, delay);
        timer->async_wait([timer, held = to.shared_from_this(),
                           bytes = std::move(bytes)](std::error_code) {
            if (held->is_open())
            {
                held->send(bytes);
            }
        });
    }

    raw_replica raw_;
    asio::io_context* loop_;
    duration delay_;
    std::set<std::string> refused_;
};

/// Requests of one test; each is sent twice, which the fixture's retry budget
/// permits for a few more.
constexpr auto requests = 30;

/// Each route, with the time in microseconds from a refusal to its copy.
class late_copy_of_a_refusal
    : public testing::TestWithParam<std::tuple<std::string, int>>
{};

TEST_P(late_copy_of_a_refusal, answers_no_request)
{
    auto const& [target, delay_us] = GetParam();
    auto world = relay_fixture{};
    auto replica =
        late_repeating_replica{world.loop, std::chrono::microseconds{delay_us}};
    world.configure(1);
    for (auto const* const service : {"plain", "engine"})
    {
        world.add_at(fmt::format("{}-1", service), service, replica.port());
        world.add_at(fmt::format("{}-2", service), service, replica.port());
    }
    ASSERT_TRUE(world.start());
    for (auto at = 0; at < requests; ++at)
    {
        auto const id = fmt::format("r{}", at);
        auto const answer = world.send_request_as(id, "POST", target);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->head.status, 200) << id;
        EXPECT_NE(answer->body.find("data: " + id + "\n"), std::string::npos)
            << id;
        EXPECT_EQ(replica.runs[id], 1) << id;
    }
    EXPECT_FALSE(world.logged("retry_budget"));
}

INSTANTIATE_TEST_SUITE_P(
    on_each_route,
    late_copy_of_a_refusal,
    testing::Combine(
        testing::Values("/once/a", "/stream/a", "/resumable/a"),
        testing::Values(0, 50, 200, 1'000, 8'000, 15'000)));

} // namespace
} // namespace sapphirereel::relay::test
