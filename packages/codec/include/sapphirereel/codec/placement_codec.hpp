/// \file
/// Defines how placement messages stand in JSON and MessagePack.
#ifndef SAPPHIREREEL_CODEC_PLACEMENT_CODEC_HPP
#define SAPPHIREREEL_CODEC_PLACEMENT_CODEC_HPP

#include "sapphirereel/codec/basic_codec.hpp"
#include "sapphirereel/core/placement_message.hpp"

namespace sapphirereel {

template <>
inline constexpr auto enum_names<offer_refusal_cause> = std::array{
    enum_name<offer_refusal_cause>{offer_refusal_cause::memory, "memory"},
    enum_name<offer_refusal_cause>{offer_refusal_cause::prefill, "prefill"},
    enum_name<offer_refusal_cause>{offer_refusal_cause::streams, "streams"},
    enum_name<offer_refusal_cause>{offer_refusal_cause::share, "share"},
    enum_name<offer_refusal_cause>{offer_refusal_cause::suspect, "suspect"},
    enum_name<offer_refusal_cause>{offer_refusal_cause::draining, "draining"}};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stream_kind, service, customer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    stream_offer,
    run,
    entry,
    kind,
    prompt_tokens,
    output_tokens,
    priority,
    wait_ms,
    suspect)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    load_report,
    memory_tokens_used,
    memory_tokens_total,
    running,
    waiting,
    preemptions,
    age)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    ledger_summary,
    streams,
    memory_tokens,
    peak_tokens,
    unseen_tokens,
    capacity_tokens,
    tokens_per_second)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(reserve_message, replica, offer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    reserve_reply_message,
    replica,
    run,
    accepted,
    queued,
    headroom,
    cause,
    retry_after_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    release_message, replica, run, output_tokens, completed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(run_progress, run, output_tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(progress_message, replica, runs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(announced_stream, offer, output_tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(announce_message, replica, streams)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(announce_request_message, replica, runs)

} // namespace sapphirereel

#endif
