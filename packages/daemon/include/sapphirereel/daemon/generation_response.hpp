/// \file
/// Defines how a generation is written to its caller: as server-sent events,
/// or gathered into one answer.
#ifndef SAPPHIREREEL_DAEMON_GENERATION_RESPONSE_HPP
#define SAPPHIREREEL_DAEMON_GENERATION_RESPONSE_HPP

#include "sapphirereel/codec/openai_request.hpp"
#include "sapphirereel/codec/signing_key.hpp"
#include "sapphirereel/daemon/caller_channel.hpp"
#include "sapphirereel/daemon/core_loop.hpp"

#include <httplib.h>
#include <memory>

namespace sapphirereel::daemon {

/// One caller's generation as its server thread sees it.
struct generation_caller
{
    attachment_id attachment;
    std::shared_ptr<caller_channel> channel;
    codec::openai_kind kind = codec::openai_kind::chat;
    bool include_usage = false;
    service_name service;
    digest content;
    codec::signing_key key;
    /// Time between two heartbeats on a silent stream.
    duration heartbeat{};
};

/// What closes a caller's attachment; `finished` says whether the core has
/// ended it already.
using caller_closer = std::function<void(attachment_id, bool finished)>;

/// Waits for the first token, then streams from there on; or writes a
/// refusal.
auto stream_generation(
    generation_caller caller, caller_closer close, httplib::Response& response)
    -> void;

/// Gathers the whole generation and writes it, or a refusal.
auto gather_generation(
    generation_caller const& caller,
    caller_closer const& close,
    httplib::Response& response) -> void;

} // namespace sapphirereel::daemon

#endif
