/// \file
/// Defines the events that drive a daemon's core. Replaying a recorded sequence
/// of events with their times yields the same actions.
#ifndef SAPPHIREREEL_COMPOSITION_EVENT_HPP
#define SAPPHIREREEL_COMPOSITION_EVENT_HPP

#include "sapphirereel/composition/peer_message.hpp"
#include "sapphirereel/core/attachment.hpp"
#include "sapphirereel/core/configuration_state.hpp"
#include "sapphirereel/core/generation.hpp"
#include "sapphirereel/core/run_stream.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace sapphirereel {

/// A caller requests a generation.
struct generation_arrived
{
    generation_request request;
    auto operator<=>(generation_arrived const&) const = default;
};

/// A caller calls a plain service.
struct call_arrived
{
    attachment_id attachment;
    request_facts facts;
    call_content content;
    /// Digest of the customer and the request's name.
    digest name;
    /// Digest of method, path and body.
    digest body;
    /// False when the daemon generated the name.
    bool caller_named = false;
    /// Creation time that the name encodes.
    std::optional<wall_time> birth;
    wall_time arrived;
    time_point deadline;
    auto operator<=>(call_arrived const&) const = default;
};

/// A caller's connection was closed.
struct caller_closed
{
    attachment_id attachment;
    auto operator<=>(caller_closed const&) const = default;
};

/// An engine sent a chunk.
struct chunk_arrived
{
    stream_number stream;
    run_chunk chunk;
    auto operator<=>(chunk_arrived const&) const = default;
};

/// A stream of a run has ended.
struct stream_ended
{
    stream_number stream;
    run_outcome outcome;
    auto operator<=>(stream_ended const&) const = default;
};

/// Identifies one attempt to send a call to an endpoint.
struct call_number
{
    std::uint64_t value = 0;
    auto operator<=>(call_number const&) const = default;
};

/// The result of one attempt to send a call.
struct call_ended
{
    call_number number;
    call_progress progress = call_progress::unknown;
    call_answer answer;
    auto operator<=>(call_ended const&) const = default;
};

/// An engine's load report, or none if it did not respond.
struct load_arrived
{
    endpoint_id endpoint;
    std::optional<load_report> report;
    auto operator<=>(load_arrived const&) const = default;
};

/// A page of the stream `config`.
struct configuration_page
{
    log_offset first;
    log_offset next;
    std::vector<configuration_entry> entries;
    /// Wall-clock time of this daemon when the page arrived.
    wall_time read_at;
    auto operator<=>(configuration_page const&) const = default;
};

/// The platform's list of VMs.
struct vm_list_arrived
{
    std::vector<vm_hint> vms;
    auto operator<=>(vm_list_arrived const&) const = default;
};

/// Identifies an operator's request that waits for its response.
struct operator_query
{
    std::uint64_t value = 0;
    auto operator<=>(operator_query const&) const = default;
};

/// An operator proposes an edit.
struct edit_proposed
{
    operator_query query;
    configuration_edit edit;
    auto operator<=>(edit_proposed const&) const = default;
};

/// An operator marks an endpoint as leaving, for core_settings::notice_time, or
/// requests a planned stop of this daemon if no endpoint is named.
struct drain_asked
{
    std::optional<endpoint_id> endpoint;
    auto operator<=>(drain_asked const&) const = default;
};

/// A timer tick, about every 50 ms.
struct clock_ticked
{
    wall_time civil;
    auto operator<=>(clock_ticked const&) const = default;
};

using event = std::variant<
    generation_arrived,
    call_arrived,
    caller_closed,
    chunk_arrived,
    stream_ended,
    call_ended,
    load_arrived,
    peer_envelope,
    configuration_page,
    claim_page,
    append_result,
    vm_list_arrived,
    edit_proposed,
    drain_asked,
    clock_ticked>;

} // namespace sapphirereel

#endif
