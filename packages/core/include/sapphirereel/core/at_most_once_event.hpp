/// \file
/// Defines the inputs and outputs of at_most_once: calls, results from the log
/// and the endpoint, and messages between daemons.
#ifndef SAPPHIREREEL_CORE_AT_MOST_ONCE_EVENT_HPP
#define SAPPHIREREEL_CORE_AT_MOST_ONCE_EVENT_HPP

#include "sapphirereel/core/attachment.hpp"
#include "sapphirereel/core/claim_record.hpp"
#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/log_record.hpp"
#include "sapphirereel/core/request.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace sapphirereel {

using call_attachment = attachment_id;

/// Identifies one append that was submitted to the log service.
struct append_token
{
    std::uint64_t value = 0;
    auto operator<=>(append_token const&) const = default;
};

/// A caller requests a non-idempotent call.
struct call_arrival
{
    call_attachment attachment;
    /// Digest of the customer and the request name.
    digest name;
    /// Digest of method, path and body.
    digest body;
    /// False when this daemon generated the name for this one arrival.
    bool caller_named = true;
    /// Creation time of the name, if the name encodes one.
    std::optional<wall_time> creation_time;
    /// Wall-clock time of arrival.
    wall_time arrived;
    /// Set when the call must not be run, for instance because of overload. The
    /// caller receives this refusal once it is certain that no daemon runs the
    /// call.
    std::optional<refusal> declined;
    auto operator<=>(call_arrival const&) const = default;
};

/// A caller's connection has closed; nothing may be sent on it.
struct caller_disconnected
{
    call_attachment attachment;
    auto operator<=>(caller_disconnected const&) const = default;
};

/// Outcome of an append.
enum class append_outcome
{
    /// The record is in the log at the given offset.
    appended,
    /// The log service rejected the record; it is not in the log and never will
    /// be.
    refused,
    /// No response arrived; the record may be in the log, now or later.
    unanswered
};

/// The log service's response to one append.
struct append_result
{
    append_token token;
    append_outcome outcome = append_outcome::unanswered;
    log_offset offset;
    auto operator<=>(append_result const&) const = default;
};

/// Progress of a dispatched call.
enum class call_progress
{
    /// The endpoint answered.
    answered,
    /// No part of the call reached an endpoint, and none will.
    not_sent,
    /// The call may have run; no answer will arrive.
    unknown
};

/// The final result of a dispatched call.
struct call_result
{
    digest name;
    call_progress progress = call_progress::unknown;
    /// Set when `progress` is `answered`.
    call_answer answer;
    /// Set when `progress` is `not_sent`: the reason.
    refusal reason;
    auto operator<=>(call_result const&) const = default;
};

/// Requests that a peer store a copy of a call's answer.
struct keep_answer
{
    digest name;
    digest body;
    call_answer answer;
    auto operator<=>(keep_answer const&) const = default;
};

/// Acknowledges that the copy is stored.
struct answer_kept
{
    digest name;
    auto operator<=>(answer_kept const&) const = default;
};

/// Queries a peer for the answer of a call that it may have stored.
struct answer_query
{
    digest name;
    auto operator<=>(answer_query const&) const = default;
};

/// State of an answer at a peer.
enum class answer_state
{
    found,
    /// The peer is running the call or about to run it.
    running,
    /// The peer has no answer and is not running the call.
    absent
};

/// A peer's reply to an answer_query.
struct answer_report
{
    digest name;
    answer_state state = answer_state::absent;
    /// Set when `state` is `found`.
    digest body;
    call_answer answer;
    auto operator<=>(answer_report const&) const = default;
};

/// A message between daemons about at-most-once calls.
using claim_message =
    std::variant<keep_answer, answer_kept, answer_query, answer_report>;

/// A message has arrived from a peer.
struct claim_message_arrival
{
    daemon_id from;
    claim_message message;
    auto operator<=>(claim_message_arrival const&) const = default;
};

/// The daemons that are considered live; this daemon may or may not be among
/// them.
struct live_daemons
{
    std::vector<daemon_id> daemons;
    auto operator<=>(live_daemons const&) const = default;
};

/// Append this batch to the stream `claims` and report the outcome as an
/// append_result.
struct append_claims
{
    append_token token;
    claim_batch batch;
    auto operator<=>(append_claims const&) const = default;
};

/// Send the call to an endpoint, after checking may_dispatch() immediately
/// before the first byte, and report the outcome as a call_result (not_sent if
/// the check failed).
struct dispatch_call
{
    digest name;
    /// End of the dispatch window, on this daemon's monotonic clock.
    time_point not_after{};
    auto operator<=>(dispatch_call const&) const = default;
};

/// The call's content is no longer needed for a dispatch. A dispatch sends the
/// content of the first arrival with the name since the last release.
struct release_call
{
    digest name;
    auto operator<=>(release_call const&) const = default;
};

/// Send the endpoint's answer to the caller.
struct reply_call
{
    call_attachment attachment;
    call_answer answer;
    auto operator<=>(reply_call const&) const = default;
};

/// Send a refusal to the caller.
struct refuse_call
{
    call_attachment attachment;
    refusal reason;
    auto operator<=>(refuse_call const&) const = default;
};

/// Send a message to a peer; it may be lost.
struct send_claim_message
{
    daemon_id to;
    claim_message message;
    auto operator<=>(send_claim_message const&) const = default;
};

/// An action that at_most_once requests from its environment.
using claim_output = std::variant<
    append_claims,
    dispatch_call,
    release_call,
    reply_call,
    refuse_call,
    send_claim_message>;

using claim_outputs = std::vector<claim_output>;

} // namespace sapphirereel

#endif
