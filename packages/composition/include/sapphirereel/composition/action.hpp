/// \file
/// Defines what a daemon's core asks its surroundings to do.
#ifndef SAPPHIREREEL_COMPOSITION_ACTION_HPP
#define SAPPHIREREEL_COMPOSITION_ACTION_HPP

#include "sapphirereel/composition/event.hpp"
#include "sapphirereel/composition/peer_message.hpp"
#include "sapphirereel/core/generation.hpp"

#include <string>
#include <variant>
#include <vector>

namespace sapphirereel {

/// Start a run with the request's content. Answer with `chunk_arrived` and
/// `stream_ended`.
struct open_run
{
    start_run start;
    std::string path;
    std::string body;
    std::int32_t priority = 0;
    auto operator<=>(open_run const&) const = default;
};

/// Give the caller a refusal; the end of what it gets.
struct refuse_caller
{
    attachment_id attachment;
    refusal reason;
    auto operator<=>(refuse_caller const&) const = default;
};

/// Give the caller an endpoint's whole answer.
struct answer_caller
{
    attachment_id attachment;
    call_answer answer;
    auto operator<=>(answer_caller const&) const = default;
};

/// Send a call to a plain service unless `not_after` has passed by the time
/// of the send. Answer with `call_ended`.
struct send_call
{
    call_number number;
    endpoint_id endpoint;
    socket_address address;
    call_content content;
    time_point not_after;
    auto operator<=>(send_call const&) const = default;
};

/// Ask an engine for its load. Answer with `load_arrived`.
struct poll_load
{
    endpoint_id endpoint;
    socket_address address;
    auto operator<=>(poll_load const&) const = default;
};

/// Send a message to the peer at an address; it may be lost.
struct send_peer
{
    socket_address to;
    peer_message message;
    auto operator<=>(send_peer const&) const = default;
};

/// What can be appended to the log.
using log_body =
    std::variant<configuration_edit, configuration_snapshot, claim_batch>;

/// Append a record to a stream. Answer with `append_result`.
struct append_record
{
    append_token token;
    log_body body;
    auto operator<=>(append_record const&) const = default;
};

/// Answer an operator's edit.
struct edit_decided
{
    operator_query query;
    edit_verdict verdict;
    auto operator<=>(edit_decided const&) const = default;
};

/// This daemon's planned stop is complete: the process may end.
struct stop_completed
{
    auto operator<=>(stop_completed const&) const = default;
};

/// How serious a report is.
enum class report_level
{
    info,
    warning,
    error
};

/// Something that operators may want to know.
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
