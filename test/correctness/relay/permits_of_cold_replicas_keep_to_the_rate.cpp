// A cold replica crashes if it gets more than its rate allows in any second,
// from all daemons together, also if they do not hear each other.
#include "sapphirereel/relay/peer_table.hpp"
#include "sapphirereel/relay/send_permit.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

auto const replica_id = endpoint_id{"r"};
constexpr auto bounds = cold_bounds{1.5, 5};

auto at(int ms) -> time_point
{
    return time_point{std::chrono::seconds{100}} + milliseconds{ms};
}

auto allowed(double rate) -> std::size_t
{
    return static_cast<std::size_t>(rate * bounds.overage + bounds.slack);
}

auto most_in_a_second(std::vector<int> const& sent_at_ms) -> std::size_t
{
    auto most = std::size_t{0};
    for (auto first = sent_at_ms.begin(); first != sent_at_ms.end(); ++first)
    {
        auto const last =
            std::lower_bound(first, sent_at_ms.end(), *first + 1'000);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

/// Daemons in several parts of a partition. The first daemon of each part is
/// the home there and issues the part's share of the rate.
class partitioned_daemons
{
public:
    partitioned_daemons(std::size_t daemons, std::size_t parts, double rate)
        : parts_(parts)
        , rate_(rate)
        , holders_(daemons)
        , issuers_(parts)
    {}

    /// Runs for a time in which each daemon wants to send, in each step of 10
    /// ms, with the probability of that time. Returns when requests were sent.
    auto run(
        int length_ms, std::function<double(int)> const& demand, permit_use use)
        -> std::vector<int>
    {
        auto sent = std::vector<int>{};
        for (auto ms = 0; ms < length_ms; ms += 10)
        {
            for (auto const& [to, response] : std::exchange(responses_, {}))
            {
                holders_[to].apply_response(
                    response, at(ms), cold_permit_validity);
            }
            auto wants = std::bernoulli_distribution{demand(ms)};
            for (auto daemon = std::size_t{0}; daemon < holders_.size();
                 ++daemon)
            {
                if (wants(random_) && !ask(daemon, use, ms))
                {
                    sent.push_back(ms);
                }
            }
        }
        return sent;
    }

private:
    /// Asks for a permit unless one is held, which is used.
    auto ask(std::size_t daemon, permit_use use, int ms) -> bool
    {
        if (holders_[daemon].take(replica_id, at(ms)))
        {
            return false;
        }
        if (auto const number = holders_[daemon].ask(replica_id, use, at(ms)))
        {
            auto const part = daemon % parts_;
            auto const members = (holders_.size() + parts_ - 1 - part) / parts_;
            auto const terms = cold_permit_terms(
                rate_,
                static_cast<double>(members) /
                    static_cast<double>(holders_.size()),
                bounds,
                static_cast<double>(part) / static_cast<double>(parts_));
            responses_.emplace_back(
                daemon,
                permit_response{
                    *number, replica_id,
                    issuers_[part].issue(replica_id, terms, use, at(ms)), use});
        }
        return true;
    }

    std::size_t parts_;
    double rate_;
    std::vector<permit_holder> holders_;
    std::vector<permit_issuer> issuers_;
    std::vector<std::pair<std::size_t, permit_response>> responses_;
    std::mt19937_64 random_{5};
};

auto always(int) -> double
{
    return 0.5;
}

/// Pauses of 3 s, in which unused permits accumulate.
auto in_bursts(int ms) -> double
{
    return ms % 4'000 < 3'000 ? 0 : 1;
}

TEST(cold_permits, keep_to_the_rate_in_any_second)
{
    for (auto const daemons : {1U, 7U, 73U})
    {
        for (auto const rate : {2.0, 31.0, 33.0})
        {
            for (auto const use : {permit_use::request, permit_use::running})
            {
                auto fleet = partitioned_daemons{daemons, 1, rate};
                EXPECT_LE(
                    most_in_a_second(fleet.run(12'000, in_bursts, use)),
                    allowed(rate));
                auto other = partitioned_daemons{daemons, 1, rate};
                auto const sent = other.run(12'000, always, use);
                EXPECT_LE(most_in_a_second(sent), allowed(rate));
                // The rate is nearly used up.
                EXPECT_GE(static_cast<double>(sent.size()), 0.6 * rate * 12);
            }
        }
    }
}

TEST(cold_permits, of_daemons_out_of_contact_keep_to_the_rate_together)
{
    for (auto const parts : {2U, 5U, 7U})
    {
        for (auto const rate : {31.0, 33.0})
        {
            for (auto const use : {permit_use::request, permit_use::running})
            {
                auto fleet = partitioned_daemons{73, parts, rate};
                EXPECT_LE(
                    most_in_a_second(fleet.run(12'000, in_bursts, use)),
                    allowed(rate))
                    << parts;
            }
        }
    }
    auto alone = partitioned_daemons{73, 73, 31};
    auto const sent = alone.run(12'000, always, permit_use::request);
    EXPECT_LE(most_in_a_second(sent), allowed(31));
}

auto report_of(std::string const& ip, std::uint64_t sequence) -> peer_report
{
    auto report = peer_report{};
    report.ip = ip;
    report.incarnation = 1;
    report.sequence = sequence;
    report.zone = zone_name{"z"};
    return report;
}

TEST(cold_share, of_a_part_is_that_of_its_daemons_however_long_it_lasts)
{
    auto const ips = std::vector<std::string>{
        "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"};
    auto tables = std::vector<peer_table>{};
    for (auto const& ip : ips)
    {
        auto table = peer_table{ip, {}, zone_name{"z"}};
        for (auto const& other : ips)
        {
            table.apply_report(report_of(other, 1), at(0));
        }
        tables.push_back(std::move(table));
    }
    auto const sum_of_shares = [&](int ms) {
        auto sum = 0.0;
        for (auto const& each : tables)
        {
            sum += each.cold_permit_share(replica_id, at(ms));
        }
        return sum;
    };
    EXPECT_DOUBLE_EQ(sum_of_shares(10), 1);
    // Daemons 1 and 2 hear each other, and 3 and 4.
    for (auto const& [from, to] :
         {std::pair{0U, 1U}, {1U, 0U}, {2U, 3U}, {3U, 2U}})
    {
        tables.at(to).apply_report(report_of(ips.at(from), 2), at(40'000));
    }
    EXPECT_DOUBLE_EQ(sum_of_shares(40'000), 1);
    EXPECT_DOUBLE_EQ(tables[0].cold_permit_share(replica_id, at(80'000)), 0.25);
}

} // namespace
} // namespace sapphirereel::relay
