/// \file
/// Defines the actions that a daemon's core requests from its environment.
#ifndef SAPPHIREREEL_COMPOSITION_ACTION_HPP
#define SAPPHIREREEL_COMPOSITION_ACTION_HPP

#include "sapphirereel/composition/event.hpp"
#include "sapphirereel/composition/peer_message.hpp"
#include "sapphirereel/core/generation.hpp"

#include <string>
#include <variant>
#include <vector>

namespace sapphirereel {

/// Start a run with the request's content. Results arrive as `chunk_arrived`
/// and `stream_ended`.
struct open_run
{
    start_run start;
    std::string path;
    std::string body;
    std::int32_t priority = 0;
    auto operator<=>(open_run const&) const = default;
};

/// Send a refusal to the caller; nothing follows it.
struct refuse_caller
{
    attachment_id attachment;
    refusal reason;
    auto operator<=>(refuse_caller const&) const = default;
};

/// Send an endpoint's complete answer to the caller.
struct answer_caller
{
    attachment_id attachment;
    call_answer answer;
    auto operator<=>(answer_caller const&) const = default;
};

/// Send a call to a plain service unless `not_after` has passed by the time of
/// the send. The result arrives as `call_ended`.
struct send_call
{
    call_number number;
    endpoint_id endpoint;
    socket_address address;
    call_content content;
    time_point not_after;
    auto operator<=>(send_call const&) const = default;
};

/// Poll an engine's load. The result arrives as `load_arrived`.
struct poll_load
{
    endpoint_id endpoint;
    socket_address address;
    auto operator<=>(poll_load const&) const = default;
};

/// Send a message to the peer at an address. Delivery is not guaranteed.
struct send_peer
{
    socket_address to;
    peer_message message;
    auto operator<=>(send_peer const&) const = default;
};

/// A record body that can be appended to the log.
using log_body =
    std::variant<configuration_edit, configuration_snapshot, claim_batch>;

/// Append a record to a stream. The result arrives as `append_result`.
struct append_record
{
    append_token token;
    log_body body;
    auto operator<=>(append_record const&) const = default;
};

/// Send the verdict on an edit to the operator; it may be pending.
struct edit_decided
{
    operator_query query;
    edit_verdict verdict;
    auto operator<=>(edit_decided const&) const = default;
};

/// The daemon's planned stop is complete and the process may exit.
struct stop_completed
{
    auto operator<=>(stop_completed const&) const = default;
};

/// Severity of a report.
enum class report_level
{
    info,
    warning,
    error
};

/// A message for the operators' log.
struct report
{
    report_level level = report_level::info;
    std::string module;
    std::string message;
    auto operator<=>(report const&) const = default;
};

using action = std::variant<
    open_run,
    attach_run,
    stop_stream,
    cancel_run,
    deliver_chunk,
    discard_buffered,
    finish_generation,
    refuse_caller,
    answer_caller,
    send_call,
    poll_load,
    send_peer,
    append_record,
    edit_decided,
    stop_completed,
    report>;
using actions = std::vector<action>;

} // namespace sapphirereel

#endif
