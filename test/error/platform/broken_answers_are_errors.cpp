// Guards against an answer of the platform that is broken, or a part of one,
// and is believed. An append may stand after it.
#include "sapphirereel/platform/log_client.hpp"
#include "sapphirereel/platform/vm_list_client.hpp"
#include "sapphirereel/platform/weight_client.hpp"
#include "support/endpoint/raw_endpoint.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::platform {
namespace {

/// Broken answers whose bodies would be read if they were believed.
auto answers_with_body(std::string_view status, std::string const& body)
    -> std::vector<std::string>
{
    auto answers = std::vector<std::string>{};
    for (auto each : testing::broken_answers())
    {
        auto const at = each.find("200 OK");
        if (at != std::string::npos)
        {
            each.replace(at, 3, status);
        }
        auto const end = each.rfind("body");
        if (end != std::string::npos)
        {
            each.replace(end, 4, body);
        }
        answers.push_back(each);
    }
    return answers;
}

TEST(broken_answer, leaves_an_append_open)
{
    for (auto const& bytes : answers_with_body("201", R"({"offset":7})"))
    {
        auto const service = testing::raw_endpoint{{bytes}};
        auto const log = log_client{service.address()};
        EXPECT_EQ(
            log.append(stream_name{"config"}, "a").status,
            append_status::unanswered)
            << bytes;
    }
}

// A refusal states that nothing was appended: a part of one states nothing.
TEST(broken_answer, refuses_no_append_as_a_part_of_a_refusal)
{
    auto const service = testing::raw_endpoint{
        {"HTTP/1.1 503 Busy\r\nContent-Length: 9\r\n\r\npart"}};
    EXPECT_EQ(
        log_client{service.address()}.append(stream_name{"config"}, "a").status,
        append_status::unanswered);
}

TEST(broken_answer, is_no_list_and_no_page)
{
    for (auto const& bytes : answers_with_body("200", R"({"vms":[]})"))
    {
        auto const service = testing::raw_endpoint{{bytes}};
        EXPECT_FALSE(vm_list_client{service.address()}.read()) << bytes;
    }
    auto const page = R"({"first":1,"next":1,"records":[]})";
    for (auto const& bytes : answers_with_body("200", page))
    {
        auto const service = testing::raw_endpoint{{bytes}};
        EXPECT_FALSE(log_client{service.address()}.read(
            stream_name{"config"}, log_offset{1}, 10, duration{0}))
            << bytes;
    }
    for (auto const& bytes :
         answers_with_body("200", R"({"loads_per_minute":3})"))
    {
        auto const service = testing::raw_endpoint{{bytes}};
        EXPECT_FALSE(weight_client{service.address()}.budget()) << bytes;
    }
}

TEST(answer_without_length, is_read_to_its_end)
{
    auto const service =
        testing::raw_endpoint{{"HTTP/1.1 200 OK\r\n\r\n{\"vms\":[]}"}};
    EXPECT_TRUE(vm_list_client{service.address()}.read());
}

} // namespace
} // namespace sapphirereel::platform
