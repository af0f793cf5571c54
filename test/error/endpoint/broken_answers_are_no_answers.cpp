// Guards against an endpoint in trouble whose answer is broken, or a part of
// one, and was passed on as its answer. The request may have run.
#include "sapphirereel/endpoint/engine_client.hpp"
#include "sapphirereel/endpoint/engine_stream.hpp"
#include "sapphirereel/endpoint/plain_client.hpp"
#include "support/endpoint/engine_fixture.hpp"
#include "support/endpoint/raw_endpoint.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

using namespace testing;
using endpoints::plain_call_status;
using std::chrono::milliseconds;

/// A body that fills the buffers of both sides.
auto long_body() -> std::string
{
    return std::string(std::size_t{20'000'000}, 'u');
}

auto call(raw_answer const& answer, std::string body = {})
    -> endpoints::plain_call_outcome
{
    auto const endpoint = raw_endpoint{answer};
    auto client = endpoints::plain_client{endpoint.address()};
    return client.call({"POST", "/a", {}, std::move(body)});
}

TEST(broken_answer, leaves_a_plain_call_unanswered)
{
    for (auto const& bytes : broken_answers())
    {
        auto const outcome = call({bytes});
        EXPECT_EQ(outcome.status, plain_call_status::unanswered) << bytes;
        EXPECT_NE(outcome.detail, "");
    }
}

TEST(broken_answer, to_an_order_leaves_it_unanswered)
{
    for (auto const& bytes : broken_answers())
    {
        auto const endpoint = raw_endpoint{{bytes}};
        auto const client = endpoints::engine_client{endpoint.address()};
        auto const outcome = client.order({log_offset{1}, {}, "m", "1"});
        EXPECT_EQ(outcome.status, endpoints::order_status::unanswered) << bytes;
    }
}

TEST(broken_answer, loses_a_stream)
{
    for (auto const& bytes : broken_answers())
    {
        auto const endpoint = raw_endpoint{{bytes}};
        auto stream = endpoints::engine_stream{endpoint.address()};
        auto got = collector{};
        auto const outcome = stream.run(run_of("r", "prompt", 5), got.sink());
        EXPECT_EQ(outcome.end, endpoints::stream_end::lost) << bytes;
    }
}

TEST(answer_without_length, of_a_connection_that_breaks_is_not_whole)
{
    auto answer = raw_answer{
        "HTTP/1.1 200 OK\r\n\r\npart", connection_close::reset,
        read_before_answer::head, milliseconds{30}};
    EXPECT_EQ(call(answer, long_body()).status, plain_call_status::unanswered);
    answer.close = connection_close::in_order;
    EXPECT_EQ(call(answer, long_body()).status, plain_call_status::unanswered);
    answer.reads = read_before_answer::everything;
    answer.close = connection_close::reset;
    EXPECT_EQ(call(answer, "body").status, plain_call_status::unanswered);
}

TEST(answer_without_length, that_ends_in_order_is_whole)
{
    auto const outcome =
        call({"HTTP/1.1 200 OK\r\nX-A: 100%25\r\n\r\nwhole"}, "body");
    EXPECT_EQ(outcome.status, plain_call_status::answered);
    EXPECT_EQ(outcome.answer.body, "whole");
    EXPECT_EQ(
        outcome.answer.headers, (std::vector<header_field>{{"X-A", "100%25"}}));
}

// The standard lets an endpoint answer early; the framing proves the end.
TEST(early_answer, that_states_its_end_is_whole)
{
    for (auto const* const framing :
         {"Content-Length: 5\r\n\r\nwhole",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"})
    {
        for (auto const close :
             {connection_close::in_order, connection_close::reset})
        {
            auto const outcome = call(
                {std::string{"HTTP/1.1 103 Wait\r\n\r\nHTTP/1.1 413 Long\r\n"} +
                     framing,
                 close, read_before_answer::head, milliseconds{30}},
                long_body());
            EXPECT_EQ(outcome.status, plain_call_status::answered)
                << outcome.detail;
            EXPECT_EQ(outcome.answer.status, 413);
            EXPECT_EQ(outcome.answer.body, "whole");
        }
    }
}

TEST(answer_without_body, is_whole_with_its_head)
{
    for (auto const* const status : {"204", "304"})
    {
        auto const outcome =
            call({std::string{"HTTP/1.1 "} + status + " Status\r\n\r\n"});
        EXPECT_EQ(outcome.status, plain_call_status::answered);
    }
    auto const endpoint =
        raw_endpoint{{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"}};
    auto client = endpoints::plain_client{endpoint.address()};
    EXPECT_EQ(
        client.call({"HEAD", "/a", {}, {}}).status,
        plain_call_status::answered);
}

// A stop closes the connection from this side, which ends no answer.
TEST(stopped_call, has_no_answer_without_length)
{
    auto const endpoint = raw_endpoint{
        {"HTTP/1.1 200 OK\r\n\r\npart", connection_close::in_order,
         read_before_answer::everything, milliseconds{300}}};
    auto client = endpoints::plain_client{endpoint.address()};
    auto outcome = endpoints::plain_call_outcome{};
    auto caller = std::thread{[&] {
        outcome = client.call({"POST", "/a", {}, "body"});
    }};
    std::this_thread::sleep_for(milliseconds{100});
    client.stop();
    caller.join();
    EXPECT_EQ(endpoint.requests(), 1);
    EXPECT_EQ(outcome.status, plain_call_status::unanswered);
}

} // namespace
} // namespace sapphirereel
