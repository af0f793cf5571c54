// All daemons together keep to the rate that a replica states, whichever of
// them need it, and while the daemon that issues the permits changes, is
// doubted or does not respond.
#include "sapphirereel/relay/send_permit.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

auto const replica_id = endpoint_id{"r"};

auto at(int ms) -> time_point
{
    return time_point{std::chrono::seconds{100}} + milliseconds{ms};
}

/// The most requests in any 4 s, by the times at which they were sent.
auto most_in_4_s(std::vector<int> const& sent_at_ms) -> std::size_t
{
    auto most = std::size_t{0};
    for (auto first = sent_at_ms.begin(); first != sent_at_ms.end(); ++first)
    {
        auto const last =
            std::lower_bound(first, sent_at_ms.end(), *first + 4'000);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

auto allowed_in_4_s(double rate) -> std::size_t
{
    return static_cast<std::size_t>(1.5 * rate * 4 + 5);
}

/// Daemons that ask the daemon that each takes for the home, over a network
/// with a delay.
class simulated_daemons
{
public:
    /// The home in a daemon's view at a time; none if it does not respond.
    using home_view =
        std::function<std::optional<std::size_t>(std::size_t daemon, int ms)>;

    simulated_daemons(std::size_t count, double rate, home_view home)
        : holders_(count)
        , issuers_(count)
        , rate_(rate)
        , home_(std::move(home))
    {}

    /// Runs for a time in which each daemon wants to send with a probability in
    /// each step of 10 ms. Returns when requests were sent.
    auto run(int length_ms, double demand, permit_use use) -> std::vector<int>
    {
        auto sent = std::vector<int>{};
        auto wants = std::bernoulli_distribution{demand};
        for (auto ms = 0; ms < length_ms; ms += step_ms)
        {
            deliver(ms);
            for (auto daemon = std::size_t{0}; daemon < holders_.size();
                 ++daemon)
            {
                if (!wants(random_))
                {
                    continue;
                }
                if (holders_[daemon].take(replica_id, at(ms)))
                {
                    sent.push_back(ms);
                    continue;
                }
                ask(daemon, use, ms);
            }
        }
        return sent;
    }

private:
    static constexpr auto step_ms = 10;

    struct response
    {
        std::size_t to;
        permit_response content;
    };

    auto ask(std::size_t daemon, permit_use use, int ms) -> void
    {
        auto const number = holders_[daemon].ask(replica_id, use, at(ms));
        auto const home = home_(daemon, ms);
        if (number && home)
        {
            responses_.push_back(
                {daemon,
                 {*number, replica_id,
                  issuers_[*home].issue(replica_id, rate_, use, at(ms)), use}});
        }
    }

    auto deliver(int ms) -> void
    {
        for (auto const& each : std::exchange(responses_, {}))
        {
            holders_[each.to].apply_response(each.content, at(ms));
        }
    }

    std::vector<permit_holder> holders_;
    std::vector<permit_issuer> issuers_;
    double rate_;
    home_view home_;
    std::vector<response> responses_;
    std::mt19937_64 random_{5};
};

auto one_home(std::size_t, int) -> std::optional<std::size_t>
{
    return 0;
}

TEST(permits, of_one_home_keep_all_daemons_within_the_rate)
{
    for (auto const daemons : {1U, 7U, 295U})
    {
        for (auto const rate : {1.0, 1.6, 3.0})
        {
            auto fleet = simulated_daemons{daemons, rate, one_home};
            auto const sent = fleet.run(20'000, 0.2, permit_use::request);
            EXPECT_LE(most_in_4_s(sent), allowed_in_4_s(rate));
            // Nearly all that the replica takes is used.
            EXPECT_GE(static_cast<double>(sent.size()), 0.8 * rate * 20);
        }
    }
}

TEST(permits, go_to_the_one_daemon_that_needs_them)
{
    auto fleet = simulated_daemons{1, 1.6, one_home};
    auto const sent = fleet.run(20'000, 0.1, permit_use::request);
    EXPECT_GE(sent.size(), 20U);
}

// All that runs in progress need is asked for at once, as when another replica
// is lost.
TEST(permits, of_runs_in_progress_exceed_the_rate_by_few)
{
    auto fleet = simulated_daemons{7, 1.6, one_home};
    auto const sent = fleet.run(20'000, 1, permit_use::running);
    EXPECT_LE(most_in_4_s(sent), allowed_in_4_s(1.6));
    EXPECT_GE(sent.front(), 0);
    EXPECT_LE(sent[2], 100);
}

TEST(permits, of_homes_that_follow_each_other_keep_to_the_rate)
{
    auto const changing = [](std::size_t, int ms) {
        return std::optional{static_cast<std::size_t>(ms / 1'300) % 7};
    };
    auto fleet = simulated_daemons{7, 1.6, changing};
    auto const sent = fleet.run(20'000, 0.5, permit_use::request);
    EXPECT_LE(most_in_4_s(sent), allowed_in_4_s(1.6));
}

// A home falls silent; some daemons take its successor for the home up to 1.2 s
// before the others do, while it issues permits again.
TEST(permits, of_two_homes_at_once_keep_to_the_rate_while_views_differ)
{
    auto const doubted = [](std::size_t daemon,
                            int ms) -> std::optional<std::size_t> {
        auto const is_doubted = ms % 6'000 >= 4'000 && ms % 6'000 < 5'200;
        return is_doubted && daemon % 2 == 0 ? 1 : 0;
    };
    for (auto const rate : {1.0, 1.6, 3.0})
    {
        auto fleet = simulated_daemons{7, rate, doubted};
        auto const sent = fleet.run(24'000, 0.5, permit_use::request);
        EXPECT_LE(most_in_4_s(sent), allowed_in_4_s(rate));
    }
}

TEST(permits, of_a_home_that_does_not_respond_are_not_assumed)
{
    auto const silent = [](std::size_t, int) -> std::optional<std::size_t> {
        return std::nullopt;
    };
    auto fleet = simulated_daemons{7, 3, silent};
    EXPECT_TRUE(fleet.run(5'000, 1, permit_use::request).empty());
}

TEST(permit, expires)
{
    auto holder = permit_holder{};
    auto const number = holder.ask(replica_id, permit_use::request, at(0));
    ASSERT_TRUE(number);
    holder.apply_response({*number, replica_id, duration{0}, {}}, at(5));
    EXPECT_TRUE(holder.holds(replica_id, at(299)));
    EXPECT_FALSE(holder.take(replica_id, at(301)));
}

TEST(permit_message, survives_the_round_trip)
{
    auto const asked = permit_message{
        permit_request{"10.0.0.1", 7, replica_id, 1.6, permit_use::running}};
    EXPECT_EQ(read_permit_message(write_permit_message(asked)), asked);
    auto const answer = permit_message{
        permit_response{7, replica_id, milliseconds{40}, permit_use::request}};
    EXPECT_EQ(read_permit_message(write_permit_message(answer)), answer);
    EXPECT_FALSE(read_permit_message(""));
    EXPECT_FALSE(read_permit_message("\x92\xcc\xc9"));
}

} // namespace
} // namespace sapphirereel::relay
