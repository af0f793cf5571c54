/// \file
/// Defines what a response proves about the request that is answered. A replica
/// may write a response to an earlier request late or twice, at the point where
/// the next one is expected.
#ifndef SAPPHIREREEL_RELAY_RESPONSE_ATTRIBUTION_HPP
#define SAPPHIREREEL_RELAY_RESPONSE_ATTRIBUTION_HPP

#include "sapphirereel/relay/message_format.hpp"
#include "sapphirereel/relay/upstream_call.hpp"

#include <string_view>

namespace sapphirereel::relay {

/// The request that a response names.
enum class response_subject
{
    /// The request that is answered.
    this_request,
    /// Another one.
    another_request,
    /// None: the response bears no id.
    unnamed
};

/// The request that a response names, where `request_id` is expected.
auto subject_of(replica_response const& response, std::string_view request_id)
    -> response_subject;

/// What a response proves about the request that is answered.
enum class response_proof
{
    /// It was executed, and this is its result.
    succeeded,
    failed,
    /// It was not executed and will not be.
    not_executed,
    /// Nothing: it may have been executed.
    nothing,
    /// Nothing: the response is about an earlier request, and its own response
    /// may follow.
    stale,
    /// Nothing: the response may be about an earlier request.
    unattributable
};

/// The response that is expected.
struct expected_response
{
    std::string_view request_id;
    /// The replica that was addressed; empty if it was none.
    endpoint_id replica;
    /// Whether a response to another request may arrive on the connection.
    bool may_be_about_another = false;
    /// Whether a failure needs no signature, as a daemon's own.
    bool is_from_peer = false;
    auto operator<=>(expected_response const&) const = default;
};

/// Whether a status tells callers that their request has not run and never
/// will: 408, 421, 429 and 503.
auto promises_not_executed(int status) -> bool;

/// What a response proves. Where `replica_response::not_run` is not set, a
/// status that promises that proves nothing.
auto proof_of(
    int status,
    replica_response const& response,
    expected_response const& expected) -> response_proof;

/// What becomes of a response with such a proof.
auto use_of(response_proof proof) -> response_use;

/// Name in log lines.
auto name_of(response_subject subject) -> std::string_view;

} // namespace sapphirereel::relay

#endif
