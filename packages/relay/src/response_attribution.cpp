#include "sapphirereel/relay/response_attribution.hpp"

namespace sapphirereel::relay {
namespace {

constexpr auto misdirected = 421;

/// Whether another replica than the expected one says that it has the address:
/// it executes none of the requests that expect the other.
auto is_from_another_replica(
    int status,
    replica_response const& response,
    expected_response const& expected) -> bool
{
    return status == misdirected && !expected.replica.str().empty() &&
           !response.replica.str().empty() &&
           response.replica != expected.replica;
}

} // namespace

auto subject_of(replica_response const& response, std::string_view request_id)
    -> response_subject
{
    if (response.request_id.empty())
    {
        return response_subject::unnamed;
    }
    return response.request_id == request_id
               ? response_subject::this_request
               : response_subject::another_request;
}

auto promises_not_executed(int status) -> bool
{
    return status == 408 || status == misdirected || status == 429 ||
           status == 503;
}

auto proof_of(
    int status,
    replica_response const& response,
    expected_response const& expected) -> response_proof
{
    auto const subject = subject_of(response, expected.request_id);
    if (subject == response_subject::another_request)
    {
        return response_proof::stale;
    }
    if (is_from_another_replica(status, response, expected))
    {
        return response_proof::not_executed;
    }
    auto const is_named = subject == response_subject::this_request;
    if (!is_named && expected.may_be_about_another)
    {
        return response_proof::unattributable;
    }
    auto const is_success = status / 100 == 2;
    if (is_success)
    {
        return is_named && response.is_signed && !response.not_run
                   ? response_proof::succeeded
                   : response_proof::nothing;
    }
    if (response.not_run)
    {
        return response_proof::not_executed;
    }
    auto const is_result = !promises_not_executed(status) &&
                           (response.is_signed || expected.is_from_peer);
    return is_result ? response_proof::failed : response_proof::nothing;
}

auto use_of(response_proof proof) -> response_use
{
    switch (proof)
    {
    case response_proof::stale:
        return response_use::discard;
    case response_proof::unattributable:
        return response_use::fail;
    case response_proof::succeeded:
    case response_proof::failed:
    case response_proof::not_executed:
    case response_proof::nothing:
        break;
    }
    return response_use::deliver;
}

auto name_of(response_subject subject) -> std::string_view
{
    switch (subject)
    {
    case response_subject::this_request:
        return "this request";
    case response_subject::another_request:
        return "another request";
    case response_subject::unnamed:
        break;
    }
    return "no request";
}

} // namespace sapphirereel::relay
