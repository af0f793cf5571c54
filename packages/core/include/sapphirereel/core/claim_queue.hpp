/// \file
/// Defines claim_queue: the claim entries waiting to be appended to the log,
/// batched so that each daemon has at most one append in flight.
#ifndef SAPPHIREREEL_CORE_CLAIM_QUEUE_HPP
#define SAPPHIREREEL_CORE_CLAIM_QUEUE_HPP

#include "sapphirereel/core/at_most_once_event.hpp"
#include "sapphirereel/core/at_most_once_settings.hpp"
#include "sapphirereel/core/claim_record.hpp"
#include "sapphirereel/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace sapphirereel {

/// Batches entries for the stream `claims`. An append without a response may
/// still have been written, so its entries are appended again until one copy is
/// read back; duplicates are harmless because only the first entry for a name
/// counts.
class claim_queue
{
public:
    claim_queue(daemon_id writer, at_most_once_settings const& settings);

    /// Adds an entry that a caller is waiting for.
    auto push(claim_entry entry) -> void;

    /// Adds an entry that no caller is waiting for; it may be delayed to share
    /// an append with others.
    auto push_deferred(claim_entry entry, time_point now) -> void;

    /// The next append, if one is due and none is in flight.
    auto next_append(time_point now) -> std::optional<append_claims>;

    /// Processes the log service's response; returns the entries that are now
    /// certain to be in the log.
    auto on(append_result const& answer, time_point now)
        -> std::vector<claim_entry>;

    /// Discards entries of this kind for the name because one was read back or
    /// is no longer needed. An append in flight may still write them.
    auto discard(claim_kind kind, digest const& name) -> void;

    /// Whether entries have waited longer than `limit` for an append that is in
    /// flight or got no response.
    [[nodiscard]] auto stalled(time_point now, duration limit) const -> bool;

private:
    struct append_in_flight
    {
        append_token token;
        time_point since;
        std::vector<claim_entry> entries;
    };

    auto take_entries(time_point now) -> std::vector<claim_entry>;
    auto deferred_due(time_point now) const -> bool;
    auto requeue(std::vector<claim_entry> entries) -> void;

    daemon_id writer_;
    std::size_t batch_entries_;
    duration backoff_;
    duration retry_;
    duration deferred_delay_;
    std::deque<claim_entry> waiting_;
    std::deque<claim_entry> deferred_;
    std::optional<time_point> deferred_since_;
    std::optional<append_in_flight> in_flight_;
    time_point not_before_{};
    std::optional<time_point> unanswered_since_;
    std::uint64_t last_token_ = 0;
};

} // namespace sapphirereel

#endif
