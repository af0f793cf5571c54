/// \file
/// Defines the wait of one stream for a replica with room: whether it yields to
/// others, how long it may be held, and whether it can still start in time for
/// its caller. Where only one priority occurs it changes nothing.
#ifndef SAPPHIREREEL_RELAY_ROOM_WAIT_HPP
#define SAPPHIREREEL_RELAY_ROOM_WAIT_HPP

#include "sapphirereel/relay/exchange.hpp"

#include <functional>
#include <optional>

namespace sapphirereel::relay {

/// What a stream needs of its replica.
struct room_need
{
    /// Memory in tokens, prompt included.
    double tokens = 0;
    double prompt_tokens = 0;
    auto operator<=>(room_need const&) const = default;
};

/// The part of one stream in the queue of its service. The exchange outlives
/// it.
class room_wait
{
public:
    room_wait(exchange& of, room_need need);

    /// Records the stream's demand.
    auto record_arrival(time_point now) -> void;

    /// Whether the stream must not look for a replica now, because others come
    /// first.
    [[nodiscard]] auto must_wait(time_point now) -> bool;

    /// Share of a replica's memory that the stream leaves free for more urgent
    /// ones.
    [[nodiscard]] auto reserved_share(time_point now) const -> double;

    /// Records that no replica has room for the stream now.
    auto record_no_room(time_point now) -> void;

    /// Adds the stream to the queue, if it is not there. `attempt` is called
    /// when it is the stream's turn.
    auto hold(std::function<void()> attempt) -> void;

    /// Removes the stream from the queue: it was sent, waits for something else
    /// than room, or has ended.
    auto release() -> void;

    /// Records that the stream was sent, and removes it from the queue.
    auto record_sent(time_point now) -> void;

    /// Attempts the held streams of the service in their order. Returns false
    /// if there is no order to keep and the stream is attempted by itself.
    auto attempt_in_order(time_point now) -> bool;

    /// Longest time for which the stream is held, from its arrival.
    [[nodiscard]] auto longest_wait(duration usual_limit, time_point now) const
        -> duration;

    /// Expected wait for room; none if it is not known, or if streams of one
    /// priority only occur.
    [[nodiscard]] auto expected_wait(time_point now) const
        -> std::optional<duration>;

    /// The expected wait, if the stream can't start while its caller still
    /// waits and has not run anywhere. Logs the stream if so.
    [[nodiscard]] auto futile_wait(time_point now) const
        -> std::optional<duration>;

private:
    [[nodiscard]] auto has_competition(time_point now) const -> bool;
    [[nodiscard]] auto stream() const -> held_stream;
    [[nodiscard]] auto terms() const -> caller_terms;
    [[nodiscard]] auto prefill_time() const -> duration;
    auto record_yield() -> void;

    exchange* exchange_;
    room_need need_;
    std::optional<held_streams::hold_id> hold_;
    bool was_held_ = false;
    bool has_yielded_ = false;
};

} // namespace sapphirereel::relay

#endif
