/// \file
/// Defines what goes into and comes out of at_most_once: calls, answers of
/// log and endpoint, messages between daemons.
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

/// Names one append that was handed to the log service.
struct append_token
{
    std::uint64_t value = 0;
    auto operator<=>(append_token const&) const = default;
};

/// A caller asks for a non-idempotent call.
struct call_arrival
{
    call_attachment attachment;
    /// Digest of the customer and the request name.
    digest name;
    /// Digest of method, path and body.
    digest body;
    /// False when this daemon made the name up for this one arrival.
    bool caller_named = true;
    /// Birth time of the name, if it carries one.
    std::optional<wall_time> creation_time;
    /// Civil time of arrival.
    wall_time arrived;
    /// Set when the call is not to be run, for instance for overload. The
    /// caller then gets this refusal once it is certain that nobody runs it.
    std::optional<refusal> declined;
    auto operator<=>(call_arrival const&) const = default;
};

/// A caller's connection has ended; no answer is due on it.
struct caller_disconnected
{
    call_attachment attachment;
    auto operator<=>(caller_disconnected const&) const = default;
};

/// What became of an append.
enum class append_outcome
{
    /// It stands at the given offset.
    appended,
    /// The log service refused it; it does not stand and never will.
    refused,
    /// No answer came; it may stand, now or later.
    unanswered
};

/// The log service's answer to one append.
struct append_result
{
    append_token token;
    append_outcome outcome = append_outcome::unanswered;
    log_offset offset;
    auto operator<=>(append_result const&) const = default;
};

/// How far a dispatched call came.
enum class call_progress
{
    /// The endpoint answered.
    answered,
    /// Nothing of the call reached an endpoint, and nothing of it will.
    not_sent,
    /// The call may have run; no answer will come.
    unknown
};

/// The end of a dispatched call at the endpoint.
struct call_result
{
    digest name;
    call_progress progress = call_progress::unknown;
    /// Set when answered.
    call_answer answer;
    /// Why it was not sent.
    refusal reason;
    auto operator<=>(call_result const&) const = default;
};

/// Asks a peer to keep a copy of a call's answer.
struct keep_answer
{
    digest name;
    digest body;
    call_answer answer;
    auto operator<=>(keep_answer const&) const = default;
};

/// Tells that the copy is kept.
struct answer_kept
{
    digest name;
    auto operator<=>(answer_kept const&) const = default;
};

/// Asks a peer for the answer of a call that it may hold.
struct answer_query
{
    digest name;
    auto operator<=>(answer_query const&) const = default;
};

/// What a peer knows about an answer.
enum class answer_state
{
    found,
    /// The peer is still running the call or about to.
    running,
    /// The peer holds no answer and is not running the call.
    absent
};

/// A peer's reply to an answer_query.
struct answer_report
{
    digest name;
    answer_state state = answer_state::absent;
    /// Set when found.
    digest body;
    call_answer answer;
    auto operator<=>(answer_report const&) const = default;
};

/// A message between daemons about calls that run at most once.
using claim_message =
    std::variant<keep_answer, answer_kept, answer_query, answer_report>;

/// A message has come from a peer.
struct claim_message_arrival
{
    daemon_id from;
    claim_message message;
    auto operator<=>(claim_message_arrival const&) const = default;
};

/// The set of daemons that are believed to live, this one included or not.
struct live_daemons
{
    std::vector<daemon_id> daemons;
    auto operator<=>(live_daemons const&) const = default;
};

/// Append this batch to the stream `claims`; answer with an append_result.
struct append_claims
{
    append_token token;
    claim_batch batch;
    auto operator<=>(append_claims const&) const = default;
};

/// Send the call to an endpoint, asking may_dispatch() immediately before the
/// first byte; answer with a call_result (not_sent when it was not allowed).
struct dispatch_call
{
    digest name;
    /// End of the window in which it may be sent, by this daemon's clock.
    time_point not_after{};
    auto operator<=>(dispatch_call const&) const = default;
};

/// The content of the call is no longer needed for a dispatch. The content to
/// be sent is that of the first arrival with the name since the last release.
struct release_call
{
    digest name;
    auto operator<=>(release_call const&) const = default;
};

/// Give the caller the endpoint's answer.
struct reply_call
{
    call_attachment attachment;
    call_answer answer;
    auto operator<=>(reply_call const&) const = default;
};

/// Give the caller a refusal.
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

/// What at_most_once asks its surroundings to do, in order.
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
