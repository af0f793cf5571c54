/// \file
/// Defines how claims and the messages about them stand in JSON and
/// MessagePack, and how a batch of claims stands in a log record.
#ifndef SAPPHIREREEL_CODEC_CLAIM_CODEC_HPP
#define SAPPHIREREEL_CODEC_CLAIM_CODEC_HPP

#include "sapphirereel/codec/basic_codec.hpp"
#include "sapphirereel/codec/variant_codec.hpp"
#include "sapphirereel/core/at_most_once_event.hpp"

#include <string>
#include <string_view>

namespace sapphirereel {

template <>
inline constexpr auto enum_names<claim_kind> = std::array{
    enum_name<claim_kind>{claim_kind::run, "run"},
    enum_name<claim_kind>{claim_kind::refuse, "refuse"},
    enum_name<claim_kind>{claim_kind::done, "done"}};

template <>
inline constexpr auto enum_names<append_outcome> = std::array{
    enum_name<append_outcome>{append_outcome::appended, "appended"},
    enum_name<append_outcome>{append_outcome::refused, "refused"},
    enum_name<append_outcome>{append_outcome::unanswered, "unanswered"}};

template <>
inline constexpr auto enum_names<call_progress> = std::array{
    enum_name<call_progress>{call_progress::answered, "answered"},
    enum_name<call_progress>{call_progress::not_sent, "not_sent"},
    enum_name<call_progress>{call_progress::unknown, "unknown"}};

template <>
inline constexpr auto enum_names<answer_state> = std::array{
    enum_name<answer_state>{answer_state::found, "found"},
    enum_name<answer_state>{answer_state::running, "running"},
    enum_name<answer_state>{answer_state::absent, "absent"}};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_entry, kind, name, body, cause)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_batch, writer, entries)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_log_record, offset, appended, batch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_page, first, next, records, read_at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(append_token, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(append_result, token, outcome, offset)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(call_result, name, progress, answer, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(keep_answer, name, body, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(answer_kept, name)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(answer_query, name)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(answer_report, name, state, body, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(live_daemons, daemons)

template <>
inline constexpr std::string_view kind_name<keep_answer> = "keep_answer";
template <>
inline constexpr std::string_view kind_name<answer_kept> = "answer_kept";
template <>
inline constexpr std::string_view kind_name<answer_query> = "answer_query";
template <>
inline constexpr std::string_view kind_name<answer_report> = "answer_report";

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_message_arrival, from, message)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(append_claims, token, batch)

/// The body of a log record with these claims: one short line of JSON for each
/// batch, since every daemon reads every record.
auto write_claim_batch(claim_batch const& batch) -> std::string;

/// The claims of a record's body. A body that is no batch gives an empty one,
/// so that reading goes on; an unreadable entry is left out.
auto read_claim_batch(std::string_view body) -> claim_batch;

} // namespace sapphirereel

#endif
