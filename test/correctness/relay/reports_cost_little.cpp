// Guards against reports whose encoding takes a large part of a daemon's
// processor: in a zone of 59 daemons each receives some 200 of them a second,
// on as little as 0.12 of a core.
#include "sapphirereel/codec/bounded_json.hpp"
#include "sapphirereel/relay/peer_report.hpp"

#include <algorithm>
#include <ctime>
#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

/// A report of a daemon with a few streams, after a wave of departures.
auto busy_report() -> peer_report
{
    auto report = peer_report{};
    report.ip = "10.4.0.17";
    report.caller_address = "10.4.0.17:8529";
    report.zone = zone_name{"zone-d"};
    for (auto at = 0; at < 9; ++at)
    {
        report.load[endpoint_id{"i-8b0e84879" + std::to_string(at)}] = {
            1, 4'000, 300, 3'000};
    }
    for (auto at = 0; at < 12; ++at)
    {
        report.leaving.push_back(
            {endpoint_id{"i-7b0e8487" + std::to_string(at)}, 800, 1'700'000, 1,
             true});
    }
    return report;
}

/// Processor time of one call of `action`, the least of several rounds.
template <class Action>
auto processor_time(Action const& action) -> duration
{
    constexpr auto rounds = 7;
    constexpr auto calls = 200;
    auto least = std::clock_t{0};
    for (auto round = 0; round < rounds; ++round)
    {
        auto const begin = std::clock();
        for (auto call = 0; call < calls; ++call)
        {
            action();
        }
        auto const took = std::clock() - begin;
        least = round == 0 ? took : std::min(least, took);
    }
    auto const per_call = static_cast<double>(least) / CLOCKS_PER_SEC / calls;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(per_call));
}

TEST(reports, of_a_large_zone_take_a_small_part_of_a_weak_processor)
{
    auto const report = busy_report();
    auto const bytes = write_peer_report(report);
    EXPECT_LT(bytes.size(), 1'000U);
    // Compared with a generic parser of the same bytes, which took a quarter of
    // such a daemon's processor.
    auto const generic = processor_time(
        [&] { std::ignore = codec::parse_bounded_msgpack(bytes); });
    auto const read =
        processor_time([&] { std::ignore = read_peer_report(bytes); });
    auto const written =
        processor_time([&] { std::ignore = write_peer_report(report); });
    EXPECT_LT(2 * read, generic);
    EXPECT_LT(2 * written, generic);
}

} // namespace
} // namespace sapphirereel::relay
