/// \file
/// Defines the state of one non-idempotent call at one daemon, from the first
/// caller's arrival until its answer is kept or given up.
#ifndef SAPPHIREREEL_CORE_AT_MOST_ONCE_CALL_HPP
#define SAPPHIREREEL_CORE_AT_MOST_ONCE_CALL_HPP

#include "sapphirereel/core/at_most_once_event.hpp"
#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/request.hpp"

#include <map>
#include <optional>
#include <vector>

namespace sapphirereel::internal {

/// What a call waits for.
enum class call_phase
{
    /// Its run entry to be read back.
    claiming,
    /// Its refuse entry to be read back.
    refusing,
    /// The endpoint's outcome.
    dispatched,
    /// A peer to keep a copy of the answer.
    replicating,
    /// An answer held by another daemon.
    querying
};

/// A caller that waits, and until when.
struct waiting_caller
{
    call_attachment attachment;
    time_point wait_until;
};

/// One call that is open at this daemon.
struct open_call
{
    digest name;
    digest body;
    call_phase phase = call_phase::claiming;
    bool caller_named = true;
    time_point opened{};
    /// No entry about the name can be older than this.
    wall_time earliest_use;
    /// When its run entry was first handed to the log.
    std::optional<time_point> claim_submitted_at;
    /// What to say when it is certain that the call was not run.
    refusal reason;
    std::vector<waiting_caller> callers;
    /// Answer that a peer is to keep a copy of.
    std::optional<call_answer> answer;
    time_point replicate_until{};
    /// While asking: when to ask next, and what peers have said since.
    time_point next_query{};
    std::map<daemon_id, answer_state> reports;
};

} // namespace sapphirereel::internal

#endif
