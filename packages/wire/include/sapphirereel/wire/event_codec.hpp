/// \file
/// Defines the JSON encoding of the core's events and actions, as used by
/// traces.
#ifndef SAPPHIREREEL_WIRE_EVENT_CODEC_HPP
#define SAPPHIREREEL_WIRE_EVENT_CODEC_HPP

#include "sapphirereel/composition/action.hpp"
#include "sapphirereel/composition/event.hpp"
#include "sapphirereel/wire/peer_codec.hpp"

#include <array>

namespace sapphirereel {

template <>
inline constexpr auto enum_names<run_end> = std::array{
    enum_name<run_end>{run_end::finished, "finished"},
    enum_name<run_end>{run_end::refused_not_run, "refused_not_run"},
    enum_name<run_end>{run_end::rejected, "rejected"},
    enum_name<run_end>{run_end::lost, "lost"},
    enum_name<run_end>{run_end::superseded, "superseded"},
    enum_name<run_end>{run_end::unknown_run, "unknown_run"},
    enum_name<run_end>{run_end::cancelled, "cancelled"}};

template <>
inline constexpr auto enum_names<report_level> = std::array{
    enum_name<report_level>{report_level::info, "info"},
    enum_name<report_level>{report_level::warning, "warning"},
    enum_name<report_level>{report_level::error, "error"}};

template <>
inline constexpr std::string_view kind_name<configuration_edit> = "edit";
template <>
inline constexpr std::string_view kind_name<claim_batch> = "claim_batch";

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attachment_id, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stream_number, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(call_number, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(operator_query, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(run_place, endpoint, address, resumes_prefix)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(run_chunk, index, is_token, json, text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(run_outcome, end, status, detail)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(output_text, text, tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    resume_point, run, place, next_index, attachment_number, received)

/// Prompt parts are absent in older traces.
auto to_json(nlohmann::json& json, generation_request const& request) -> void;
auto from_json(nlohmann::json const& json, generation_request& request) -> void;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(generation_arrived, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    call_arrived,
    attachment,
    facts,
    content,
    name,
    body,
    caller_named,
    birth,
    arrived,
    deadline)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(caller_closed, attachment)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(chunk_arrived, stream, chunk)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stream_ended, stream, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(call_ended, number, progress, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(load_arrived, endpoint, report)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(vm_list_arrived, vms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(edit_proposed, query, edit)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(drain_asked, endpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(clock_ticked, civil)

/// An entry of the configuration stream is encoded as its log record, with the
/// encoded body.
auto to_json(nlohmann::json& json, configuration_entry const& entry) -> void;
auto from_json(nlohmann::json const& json, configuration_entry& entry) -> void;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    configuration_page, first, next, entries, read_at)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(start_run, stream, run, place, resume)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(open_run, start, path, body, priority)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    attach_run, stream, run, place, from, attachment_number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stop_stream, stream)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cancel_run, run, place)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    deliver_chunk, attachment, run, place, attachment_number, chunk, output)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(discard_buffered, attachment)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(finish_generation, attachment)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(refuse_caller, attachment, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(answer_caller, attachment, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    send_call, number, endpoint, address, content, not_after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(poll_load, endpoint, address)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(send_peer, to, message)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(append_record, token, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(edit_decided, query, verdict)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(report, level, module, message)

inline auto to_json(nlohmann::json& json, stop_completed const&) -> void
{
    json = nlohmann::json::object();
}

inline auto from_json(nlohmann::json const&, stop_completed&) -> void {}

// Names in traces stay when a type is renamed.
template <>
inline constexpr std::string_view kind_name<generation_arrived> =
    "generation_arrived";
template <>
inline constexpr std::string_view kind_name<call_arrived> = "call_arrived";
template <>
inline constexpr std::string_view kind_name<caller_closed> = "caller_closed";
template <>
inline constexpr std::string_view kind_name<chunk_arrived> = "chunk_arrived";
template <>
inline constexpr std::string_view kind_name<stream_ended> = "stream_ended";
template <>
inline constexpr std::string_view kind_name<call_ended> = "call_ended";
template <>
inline constexpr std::string_view kind_name<load_arrived> = "load_arrived";
template <>
inline constexpr std::string_view kind_name<peer_envelope> = "peer_envelope";
template <>
inline constexpr std::string_view kind_name<configuration_page> =
    "configuration_page";
template <>
inline constexpr std::string_view kind_name<claim_page> = "claim_page";
template <>
inline constexpr std::string_view kind_name<append_result> = "append_result";
template <>
inline constexpr std::string_view kind_name<vm_list_arrived> =
    "vm_list_arrived";
template <>
inline constexpr std::string_view kind_name<edit_proposed> = "edit_proposed";
template <>
inline constexpr std::string_view kind_name<drain_asked> = "drain_asked";
template <>
inline constexpr std::string_view kind_name<clock_ticked> = "clock_ticked";

template <>
inline constexpr std::string_view kind_name<open_run> = "open_run";
template <>
inline constexpr std::string_view kind_name<attach_run> = "attach_run";
template <>
inline constexpr std::string_view kind_name<stop_stream> = "stop_stream";
template <>
inline constexpr std::string_view kind_name<cancel_run> = "cancel_run";
template <>
inline constexpr std::string_view kind_name<deliver_chunk> = "deliver_chunk";
template <>
inline constexpr std::string_view kind_name<discard_buffered> =
    "discard_gathered";
template <>
inline constexpr std::string_view kind_name<finish_generation> =
    "finish_generation";
template <>
inline constexpr std::string_view kind_name<refuse_caller> = "refuse_caller";
template <>
inline constexpr std::string_view kind_name<answer_caller> = "answer_caller";
template <>
inline constexpr std::string_view kind_name<send_call> = "send_call";
template <>
inline constexpr std::string_view kind_name<poll_load> = "poll_load";
template <>
inline constexpr std::string_view kind_name<send_peer> = "send_peer";
template <>
inline constexpr std::string_view kind_name<append_record> = "append_record";
template <>
inline constexpr std::string_view kind_name<edit_decided> = "edit_decided";
template <>
inline constexpr std::string_view kind_name<stop_completed> = "stop_completed";
template <>
inline constexpr std::string_view kind_name<report> = "report";

} // namespace sapphirereel

#endif
