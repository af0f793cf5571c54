/// \file
/// Defines the settings of at-most-once calls.
#ifndef SAPPHIREREEL_CORE_AT_MOST_ONCE_SETTINGS_HPP
#define SAPPHIREREEL_CORE_AT_MOST_ONCE_SETTINGS_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/finding.hpp"

#include <chrono>
#include <cstddef>

namespace sapphirereel {

/// Timeouts and limits of at-most-once calls.
struct at_most_once_settings
{
    /// Minimum time for which the log retains a record.
    duration retention = std::chrono::hours{1};
    /// Time for which a name may be used, counted from its creation time or, if
    /// the name encodes none, from its first use.
    duration name_lifetime = std::chrono::minutes{30};
    /// Maximum difference between the clocks of callers, daemons and the log
    /// service.
    duration clock_skew = std::chrono::minutes{2};
    /// Time after the claim was submitted to the log during which the call may
    /// be sent.
    duration dispatch_window = std::chrono::seconds{10};
    /// Time without a response after which the log counts as unavailable.
    duration log_timeout = std::chrono::seconds{3};
    /// Time a caller waits before it is told that the outcome is unknown.
    duration call_wait = std::chrono::seconds{60};
    /// Time to wait for a peer to acknowledge its copy of an answer.
    duration keep_wait = std::chrono::milliseconds{500};
    /// Time between two queries for an answer held by another daemon.
    duration query_interval = std::chrono::milliseconds{250};
    /// Backoff before a rejected append is retried.
    duration append_backoff = std::chrono::milliseconds{100};
    /// Time before an append without a response is retried if it was not read
    /// back.
    duration append_retry = std::chrono::seconds{1};
    /// Time a done entry may wait to be batched with a run entry.
    duration done_delay = std::chrono::seconds{2};
    /// Retry-after time in refusals.
    duration retry_after = std::chrono::seconds{2};
    /// Maximum number of entries in one append.
    std::size_t batch_entries = 500;
    /// Size limit of the answer cache in bytes.
    std::size_t kept_bytes = 8'388'608;
    auto operator<=>(at_most_once_settings const&) const = default;
};

/// Reports settings that cannot guarantee at-most-once execution; empty if they
/// can.
auto check_at_most_once_settings(at_most_once_settings const& settings)
    -> findings;

} // namespace sapphirereel

#endif
