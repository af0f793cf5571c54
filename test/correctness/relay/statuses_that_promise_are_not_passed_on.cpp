// A replica runs a request and answers 503, 429, 408 or 421 without stating
// that it did not run it. The status alone would promise the caller that
// nothing ran.
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

struct answer_case
{
    int status = 0;
    bool is_signed = false;
    bool has_id = false;
};

auto fields_of(answer_case const& wanted, http::request const& request)
    -> http::field_list
{
    auto fields = http::field_list{{"Retry-After", "0.2"}};
    if (wanted.is_signed)
    {
        fields.push_back({"X-Sapphirereel-Response-Signature", "sig"});
    }
    if (wanted.has_id)
    {
        fields.push_back(
            {"X-Sapphirereel-Request-Id",
             std::string{
                 *http::find(request.fields, "X-Sapphirereel-Request-Id")}});
    }
    return fields;
}

auto all_cases() -> std::vector<answer_case>
{
    auto cases = std::vector<answer_case>{};
    for (auto const status : {503, 429, 408, 421})
    {
        for (auto const is_signed : {false, true})
        {
            for (auto const has_id : {false, true})
            {
                cases.push_back({status, is_signed, has_id});
            }
        }
    }
    return cases;
}

/// The response to a request that its replica ran and answered so.
auto response_to(std::string const& target, answer_case const& wanted)
    -> buffered_response
{
    auto world = relay_fixture{};
    auto replica = fake_replica{
        world.loop, [&wanted](
                        std::shared_ptr<caller_session> const& from,
                        http::request const& request) {
            from->respond(wanted.status, fields_of(wanted, request), "full");
        }};
    world.configure(1);
    world.add("p", "plain", replica);
    world.add("e", "engine", replica);
    EXPECT_TRUE(world.start());
    auto answer = world.send_request("POST", target);
    EXPECT_EQ(replica.requests.size(), 1U);
    return answer;
}

auto expect_no_promise(std::string const& target) -> void
{
    for (auto const& each : all_cases())
    {
        auto const answer = response_to(target, each);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->head.status, 502)
            << each.status << (each.is_signed ? " signed" : "")
            << (each.has_id ? " with id" : "");
        // A failure that bears the signature has to keep its status.
        EXPECT_FALSE(http::find(
            answer->head.fields, "X-Sapphirereel-Response-Signature"));
    }
}

TEST(unmarked_refusal, of_a_request_is_not_passed_on)
{
    expect_no_promise("/once/a");
}

TEST(unmarked_refusal, of_a_stream_is_not_passed_on)
{
    expect_no_promise("/stream/a");
}

} // namespace
} // namespace sapphirereel::relay::test
