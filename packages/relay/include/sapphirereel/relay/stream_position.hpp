/// \file
/// Defines the decisions on positions in resumable streams: how a position is
/// read, which routes accept one, and whether and from where a stream that was
/// cut off is sent again.
#ifndef SAPPHIREREEL_RELAY_STREAM_POSITION_HPP
#define SAPPHIREREEL_RELAY_STREAM_POSITION_HPP

#include "sapphirereel/relay/event_sequence.hpp"
#include "sapphirereel/relay/event_splitter.hpp"
#include "sapphirereel/relay/request_admission.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <tl/expected.hpp>

namespace sapphirereel::relay {

/// Reads the number of an event: decimal digits alone, 64 bits at most.
auto read_position(std::string_view text) -> std::optional<std::uint64_t>;

/// Removes the position from a request whose route accepts none. Returns why
/// the request is invalid if its route accepts a position and the one that the
/// caller sent can't be read.
auto check_position(route const& of, caller_request& request)
    -> std::optional<http::request_error>;

/// A stream whose run has ended before its completion.
struct cut_stream
{
    /// Whether the stream's route permits it to run more than once.
    bool may_resume = false;
    /// Runs that were sent so far, and the most that the route permits.
    std::uint32_t runs = 0;
    std::uint32_t max_attempts = 1;
    /// Whether the caller has received an event.
    bool has_begun = false;
    /// Number of the last event that the caller has; its own position before
    /// the first event. None if that event had no number.
    std::optional<std::uint64_t> last_event;
    auto operator<=>(cut_stream const&) const = default;
};

/// Why a stream is not sent again.
enum class resume_obstacle
{
    /// The stream may run only once.
    runs_once,
    /// The last event has no number to continue after.
    no_position,
    /// The route permits no further attempt.
    no_attempt
};

/// Decides whether a stream is sent again. The result holds the event after
/// which the next run continues; none if it begins with the first event.
auto next_position(cut_stream const& cut)
    -> tl::expected<std::optional<std::uint64_t>, resume_obstacle>;

/// Tokens of the output that precede the caller's position: at most the
/// request's own limit, as a caller may state any position; 0 without a limit.
auto preceding_tokens(caller_request const& request, double tokens_per_event)
    -> double;

/// What is done with a block of a stream, as it was split at empty lines.
enum class block_action
{
    /// Forwarded and recorded as an event.
    forward,
    /// Forwarded, but no event: a comment that keeps the connection alive.
    pass_on,
    /// Dropped: an event that the caller has, or a comment before the first
    /// event of a run.
    drop,
    /// An event before this one is missing: the stream is aborted.
    abort_after_gap,
    /// The event has no number that shows that it follows the position at which
    /// its run was to continue: the stream is aborted.
    abort_unnumbered
};

/// Decides on a block of a run's stream.
auto action_for(
    event_sequence const& events, raw_event const& block, bool may_resume)
    -> block_action;

} // namespace sapphirereel::relay

#endif
