/// \file
/// Defines the state of one open non-idempotent call at one daemon, from the
/// first caller's arrival until its answer is stored or the call is refused.
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

/// The event that an open call is waiting for.
enum class call_phase
{
    /// Its run entry is to be read back from the log.
    claiming,
    /// Its refuse entry is to be read back from the log.
    refusing,
    /// The endpoint is to report the outcome.
    dispatched,
    /// A peer is to acknowledge its copy of the answer.
    replicating,
    /// Another daemon is to return the answer it holds.
    querying
};

/// A caller that waits for the answer, and its deadline.
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
    /// Lower bound of the log time of any entry with this name.
    wall_time earliest_use;
    /// When its run entry was first submitted to the log.
    std::optional<time_point> claim_submitted_at;
    /// Refusal for the callers once it is certain that the call was not run.
    refusal reason;
    std::vector<waiting_caller> callers;
    /// The answer being replicated to a peer.
    std::optional<call_answer> answer;
    time_point replicate_until{};
    /// While querying: the time of the next query, and the peers' reports since
    /// the last one.
    time_point next_query{};
    std::map<daemon_id, answer_state> reports;
};

} // namespace sapphirereel::internal

#endif
