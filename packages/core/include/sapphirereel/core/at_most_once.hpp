/// \file
/// Defines at_most_once, which runs a non-idempotent call at most once even
/// though its caller may send it to several daemons at any time.
///
/// A daemon appends a claim to the log before it dispatches the call; the first
/// entry for a name in log order decides who may run it. The claim must be read
/// back before the call is sent, and the answer is replicated to a peer before
/// the caller receives it.
#ifndef SAPPHIREREEL_CORE_AT_MOST_ONCE_HPP
#define SAPPHIREREEL_CORE_AT_MOST_ONCE_HPP

#include "sapphirereel/core/answer_cache.hpp"
#include "sapphirereel/core/at_most_once_call.hpp"
#include "sapphirereel/core/at_most_once_event.hpp"
#include "sapphirereel/core/at_most_once_settings.hpp"
#include "sapphirereel/core/claim_queue.hpp"
#include "sapphirereel/core/claim_table.hpp"
#include "sapphirereel/core/finding.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sapphirereel {

/// The mechanisms that at-most-once execution depends on, all enabled. Tests
/// derive from this type and disable one to show that a property depends on it.
struct all_mechanisms
{
    /// Dispatch only after the claim was read back as the name's first entry.
    static constexpr bool read_back = true;
    /// Dispatch only within the dispatch window after the claim was submitted
    /// to the log.
    static constexpr bool dispatch_window = true;
    /// Report a caller's name as not run only after a refuse entry was read
    /// back as the name's first entry.
    static constexpr bool refuse_entries = true;
    /// Treat a name as unclaimed only if no missed record could contain it.
    static constexpr bool complete_log = true;
    /// Refuse names older than their lifetime.
    static constexpr bool name_lifetime = true;
    /// Refuse a name that is reused with a different body.
    static constexpr bool body_match = true;
    /// Replicate the answer to a peer before the caller receives it.
    static constexpr bool answer_copy = true;
};

/// Counts since the start.
struct at_most_once_counts
{
    std::uint64_t arrived = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t replied = 0;
    std::uint64_t not_run = 0;
    std::uint64_t outcome_unknown = 0;
    std::uint64_t final_refusals = 0;
    std::uint64_t appends = 0;
    std::uint64_t entries_appended = 0;
    auto operator<=>(at_most_once_counts const&) const = default;
};

/// One daemon's state machine for non-idempotent calls. Every method returns
/// the actions to perform, in order.
/// Example:
/// ```
/// auto calls = at_most_once::create(self, settings).value();
/// for (auto const& output : calls.on(arrival, now)) perform(output);
/// ```
template <class Mechanisms>
class basic_at_most_once
{
public:
    /// Returns findings when the settings cannot guarantee at-most-once
    /// execution.
    static auto create(daemon_id self, at_most_once_settings settings)
        -> result<basic_at_most_once>;

    auto on(call_arrival const& arrival, time_point now) -> claim_outputs;
    auto on(caller_disconnected const& closed, time_point now) -> claim_outputs;
    auto on(claim_page const& page, time_point now) -> claim_outputs;
    auto on(append_result const& answer, time_point now) -> claim_outputs;
    auto on(call_result const& outcome, time_point now) -> claim_outputs;
    auto on(claim_message_arrival const& arrival, time_point now)
        -> claim_outputs;
    auto on(live_daemons const& live, time_point now) -> claim_outputs;

    /// Advances timeouts. Should be called about every 100 ms.
    auto tick(time_point now) -> claim_outputs;

    /// Whether the call may be sent at this moment. Once false because its
    /// dispatch window has passed, it stays false.
    [[nodiscard]] auto may_dispatch(digest const& name, time_point now) const
        -> bool;

    /// Offset to read the stream `claims` from.
    [[nodiscard]] auto next_offset() const -> log_offset;

    /// Number of calls that this daemon still has open.
    [[nodiscard]] auto open_calls() const -> std::size_t;

    /// Number of names with an entry in the claim table.
    [[nodiscard]] auto known_names() const -> std::size_t;

    [[nodiscard]] auto counts() const -> at_most_once_counts const&;

private:
    using calls = std::map<digest, internal::open_call>;

    basic_at_most_once(daemon_id self, at_most_once_settings const& settings);

    auto answer_at_once(call_arrival const& arrival, time_point now) -> bool;
    auto start(call_arrival const& arrival, time_point now) -> void;
    auto add_caller(
        internal::open_call& call, call_arrival const& arrival, time_point now)
        -> void;
    auto refuse_before_claim(call_arrival const& arrival, time_point now)
        -> bool;
    auto log_timed_out(time_point now) const -> bool;

    auto resolve_claim(digest const& name, time_point now) -> void;
    auto resolve_own_claim(
        internal::open_call& call, claim_state const& state, time_point now)
        -> void;
    auto log_complete_for(internal::open_call const& call) const -> bool;
    auto within_window(internal::open_call const& call, time_point now) const
        -> bool;
    auto dispatch(internal::open_call& call) -> void;
    auto withdraw(internal::open_call& call, refusal reason) -> void;

    auto finish_not_run(internal::open_call& call, claim_state const& state)
        -> void;

    auto store(
        internal::open_call& call, call_answer const& answer, time_point now)
        -> void;
    auto finish_with_own_answer(
        digest const& name, call_answer const& answer, time_point now) -> void;
    auto start_query(internal::open_call& call, time_point now) -> void;
    auto query_targets(digest const& name) const -> std::vector<daemon_id>;
    auto query_peers(internal::open_call& call, time_point now) -> void;

    auto receive(daemon_id const& from, keep_answer const&, time_point) -> void;
    auto receive(daemon_id const& from, answer_kept const&, time_point) -> void;
    auto receive(daemon_id const& from, answer_query const&, time_point)
        -> void;
    auto receive(daemon_id const& from, answer_report const&, time_point)
        -> void;

    auto reply(call_attachment attachment, call_answer const& answer) -> void;
    auto refuse(call_attachment attachment, refusal reason) -> void;
    auto finish_with_answer(digest const& name, call_answer const& answer)
        -> void;
    auto finish_with_cached_answer(
        internal::open_call const& call,
        digest const& body,
        call_answer const& answer) -> void;
    auto finish_with_refusal(digest const& name, refusal const& reason) -> void;
    auto finish_without_answer(digest const& name, bool done) -> void;
    auto tick_call(internal::open_call& call, time_point now) -> void;
    auto tick_claiming(internal::open_call& call, time_point now) -> void;
    auto refuse_expired_callers(internal::open_call& call, time_point now)
        -> void;
    auto unknown_outcome(refusal_cause cause) const -> refusal;
    auto not_run(refusal reason) const -> refusal;
    auto name_reused() const -> refusal;

    auto live_daemons_except(daemon_id const& left_out) const
        -> std::vector<daemon_id>;
    auto flush(time_point now) -> claim_outputs;
    auto record_submission(append_claims const& append, time_point now) -> void;

    daemon_id self_;
    at_most_once_settings settings_;
    claim_table table_;
    claim_queue queue_;
    answer_cache answer_cache_;
    calls calls_;
    std::vector<daemon_id> live_;
    std::optional<time_point> last_page_;
    at_most_once_counts counts_;
    claim_outputs outputs_;
};

/// The variant with every mechanism enabled, which programs use.
using at_most_once = basic_at_most_once<all_mechanisms>;

extern template class basic_at_most_once<all_mechanisms>;

} // namespace sapphirereel

#endif
