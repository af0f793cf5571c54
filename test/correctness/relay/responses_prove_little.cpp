// What a response proves about a request. A wrong rule makes a request run
// twice, or promises its caller that it has not run though it did.
#include "sapphirereel/relay/response_attribution.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sapphirereel::relay::test {
namespace {

auto named(std::string id) -> replica_response
{
    auto response = replica_response{};
    response.request_id = std::move(id);
    return response;
}

auto expected(bool may_be_about_another) -> expected_response
{
    return {"r1", endpoint_id{"i-1"}, may_be_about_another};
}

RC_GTEST_PROP(
    response_proof,
    of_another_request_is_always_stale,
    (bool is_signed, bool not_run, bool is_kept))
{
    auto response = named("r0");
    response.is_signed = is_signed;
    response.not_run = not_run;
    auto const status = *rc::gen::inRange(200, 600);
    RC_ASSERT(
        proof_of(status, response, expected(is_kept)) == response_proof::stale);
}

RC_GTEST_PROP(
    response_proof,
    without_an_id_on_a_kept_connection_is_nothing,
    (bool is_signed, bool not_run))
{
    auto response = named("");
    response.is_signed = is_signed;
    response.not_run = not_run;
    auto const status = *rc::gen::inRange(200, 600);
    RC_ASSERT(
        proof_of(status, response, expected(true)) ==
        response_proof::unattributable);
}

RC_GTEST_PROP(
    response_proof,
    is_a_refusal_only_if_the_replica_states_it,
    (bool is_signed, bool is_kept))
{
    auto response = named("r1");
    response.is_signed = is_signed;
    auto const status = *rc::gen::inRange(200, 600);
    auto const proof = proof_of(status, response, expected(is_kept));
    RC_ASSERT(proof != response_proof::not_executed);
    RC_ASSERT(
        !promises_not_executed(status) || proof == response_proof::nothing);
}

TEST(response_proof, is_a_refusal_if_the_replica_states_it)
{
    auto response = named("r1");
    response.not_run = true;
    for (auto const status : {400, 421, 429, 503})
    {
        EXPECT_EQ(
            proof_of(status, response, expected(true)),
            response_proof::not_executed);
    }
    EXPECT_EQ(proof_of(200, response, expected(true)), response_proof::nothing);
}

TEST(response_proof, of_a_success_needs_id_and_signature)
{
    auto response = named("r1");
    EXPECT_EQ(
        proof_of(200, response, expected(false)), response_proof::nothing);
    response.is_signed = true;
    EXPECT_EQ(
        proof_of(200, response, expected(false)), response_proof::succeeded);
    response.request_id.clear();
    EXPECT_EQ(
        proof_of(200, response, expected(false)), response_proof::nothing);
}

// A replica that has the address of another one executes nothing for it.
TEST(response_proof, is_a_refusal_if_another_replica_answers)
{
    auto response = named("");
    response.not_run = true;
    response.replica = endpoint_id{"i-2"};
    EXPECT_EQ(
        proof_of(421, response, expected(true)), response_proof::not_executed);
    EXPECT_EQ(
        proof_of(503, response, expected(true)),
        response_proof::unattributable);
    response.replica = endpoint_id{"i-1"};
    EXPECT_EQ(
        proof_of(421, response, expected(true)),
        response_proof::unattributable);
}

} // namespace
} // namespace sapphirereel::relay::test
