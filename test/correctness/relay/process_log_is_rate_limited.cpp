#include "sapphirereel/relay/process_log.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace sapphirereel::relay {
namespace {

TEST(process_log, writes_json_lines_with_the_request)
{
    auto lines = std::vector<std::string>{};
    auto log = process_log{[&](std::string_view line) {
        lines.emplace_back(line);
        return true;
    }};
    log.request("r1", "sent", {{"replica", "a"}});
    ASSERT_EQ(lines.size(), 1U);
    auto const read = nlohmann::json::parse(lines[0]);
    EXPECT_EQ(read["request"], "r1");
    EXPECT_EQ(read["message"], "sent");
    EXPECT_EQ(read["replica"], "a");
}

TEST(process_log, keeps_to_its_rate_limit_and_counts_dropped_lines)
{
    auto bytes = std::size_t{0};
    auto log = process_log{[&](std::string_view line) {
        bytes += line.size();
        return true;
    }};
    for (auto at = 0; at < 20'000; ++at)
    {
        log.info("m", "a line of some length that repeats");
    }
    EXPECT_GT(log.dropped(), 0U);
    EXPECT_LT(bytes, 600'000U);
}

// Usual steps of many requests crowd out the lines about the one that went
// wrong, which then can't be traced.
TEST(process_log, usual_steps_leave_room_for_what_went_wrong)
{
    auto last = std::string{};
    auto log = process_log{[&](std::string_view line) {
        last = std::string{line};
        return true;
    }};
    for (auto at = 0; at < 20'000; ++at)
    {
        log.request_step("usual", "sent");
    }
    EXPECT_GT(log.dropped(), 0U);
    log.request("r1", "rejected by the replica");
    EXPECT_EQ(nlohmann::json::parse(last)["request"], "r1");
}

TEST(process_log, reports_the_number_of_lines_not_written)
{
    auto is_full = true;
    auto last = std::string{};
    auto log = process_log{[&](std::string_view line) {
        last = std::string{line};
        return !is_full;
    }};
    log.info("m", "one");
    log.info("m", "two");
    is_full = false;
    log.info("m", "three");
    EXPECT_EQ(log.dropped(), 2U);
    EXPECT_EQ(nlohmann::json::parse(last)["suppressed"], 2);
}

} // namespace
} // namespace sapphirereel::relay
