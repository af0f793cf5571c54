#include "sapphirereel/client/request_story.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::client {
namespace {

auto line(
    std::string const& second,
    std::string const& module,
    std::string const& message,
    std::string const& more = {}) -> std::string
{
    return R"({"time":"2026-12-03T10:00:)" + second +
           R"(Z","level":"info","module":")" + module + R"(","message":")" +
           message + "\"" + more + "}\n";
}

auto of_request(std::string const& id, std::string const& more = {})
    -> std::string
{
    return R"(,"request":")" + id + "\"" + more;
}

auto messages(request_story const& story) -> std::vector<std::string>
{
    auto all = std::vector<std::string>{};
    for (auto const& each : story.lines)
    {
        all.push_back(each.message);
    }
    return all;
}

TEST(request_story, holds_its_lines_of_all_daemons_in_order_of_time)
{
    auto const sources = std::vector<log_source>{
        {"b.log", line("03.000", "request", "answered", of_request("r")) +
                      line("02.000", "request", "sent", of_request("other"))},
        {"a.log", line("01.000", "request", "failed", of_request("r"))}};
    auto const story = find_story(sources, "r");
    EXPECT_EQ(
        messages(story), (std::vector<std::string>{"failed", "answered"}));
    EXPECT_EQ(story.lines[0].daemon, "a.log");
    EXPECT_EQ(story.unreadable, 0U);
}

TEST(request_story, tells_what_its_daemon_learnt_meanwhile)
{
    auto const text =
        line("00.100", "configuration", "in force", R"(,"version":3)") +
        line("00.200", "configuration", "in force", R"(,"version":4)") +
        line(
            "01.000", "request", "sent",
            of_request("r", R"(,"replica":"one")")) +
        line("01.500", "replicas", "a replica leaves", R"(,"replica":"one")") +
        line("01.600", "replicas", "a replica leaves", R"(,"replica":"two")") +
        line("02.000", "request", "stream lost", of_request("r")) +
        line("03.000", "stop", "stopped");
    auto const sources = std::vector<log_source>{
        {"a.log", text}, {"b.log", line("01.200", "log", "lost")}};
    auto const story = find_story(sources, "r");
    EXPECT_EQ(
        messages(story),
        (std::vector<std::string>{
            "in force", "sent", "a replica leaves", "stream lost"}));
    EXPECT_EQ(story.lines[0].fields.at(0).value, "4");
}

TEST(request_story, names_the_daemon_before_the_object)
{
    auto const sources = std::vector<log_source>{
        {"all.log", "  1.25 entry-7 " +
                        line("01.000", "request", "sent", of_request("r")) +
                        "not a log line\n"}};
    auto const story = find_story(sources, "r");
    ASSERT_EQ(story.lines.size(), 1U);
    EXPECT_EQ(story.lines[0].daemon, "entry-7");
    EXPECT_EQ(story.unreadable, 1U);
    EXPECT_EQ(
        describe(story),
        "10:00:01.000  entry-7  request: sent\n1 lines are no log lines\n");
}

TEST(request_story, says_that_lines_were_dropped)
{
    auto const sources = std::vector<log_source>{
        {"a.log", line(
                      "01.000", "request", "sent",
                      of_request("r", R"(,"suppressed":3)"))}};
    auto const story = find_story(sources, "r");
    EXPECT_EQ(story.suppressed, 3U);
    EXPECT_NE(describe(story).find("3 lines were dropped"), std::string::npos);
}

TEST(request_story, is_empty_where_no_log_knows_the_request)
{
    auto const sources = std::vector<log_source>{
        {"a.log", line("01.000", "request", "sent", of_request("r"))}};
    EXPECT_TRUE(find_story(sources, "unknown").lines.empty());
}

} // namespace
} // namespace sapphirereel::client
