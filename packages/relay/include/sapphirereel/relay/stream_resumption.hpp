/// \file
/// Defines the resumption of a stream's run from a copy of its KV cache: by
/// migration when its replica drains, from its backup when it is lost.
#ifndef SAPPHIREREEL_RELAY_STREAM_RESUMPTION_HPP
#define SAPPHIREREEL_RELAY_STREAM_RESUMPTION_HPP

#include "sapphirereel/relay/event_sequence.hpp"
#include "sapphirereel/relay/exchange.hpp"
#include "sapphirereel/relay/lost_run_stopper.hpp"
#include "sapphirereel/relay/run_backup.hpp"
#include "sapphirereel/relay/run_migrator.hpp"

namespace sapphirereel::relay {

/// Longest time for which a run that is to resume at a replica waits until the
/// replica's limit permits it.
inline constexpr auto max_wait_for_resume_permit =
    duration{std::chrono::milliseconds{1'000}};

/// The stream whose run is resumed.
class resuming_stream
{
public:
    virtual ~resuming_stream() = default;

    /// The replica that runs the request.
    [[nodiscard]] virtual auto source() const -> replica const& = 0;

    /// When the request was sent to it.
    [[nodiscard]] virtual auto sent_at() const -> time_point = 0;

    /// The events that the caller has received.
    [[nodiscard]] virtual auto events() const -> event_sequence const& = 0;

    /// KV cache memory that the run holds, in tokens.
    [[nodiscard]] virtual auto held_tokens() const -> double = 0;

    /// What the run needs of another replica. Replicas that state limits are
    /// excluded: a run can't be resumed there at any time.
    [[nodiscard]] virtual auto unlimited_need() const -> placement_need = 0;

    /// Ends the call to the source.
    virtual auto end_call() -> void = 0;

    /// Sends the continuation to a replica.
    virtual auto send_continuation(
        replica const& to, continuation const& resumed) -> void = 0;

    /// Completes the stream.
    virtual auto complete(time_point now) -> void = 0;

    /// Whether the request may be sent again, as a new run.
    [[nodiscard]] virtual auto may_be_sent_again() const -> bool = 0;

    /// Called when the run is lost and no copy of it can be resumed.
    virtual auto run_lost(std::string_view why) -> void = 0;

    /// Called when the stream of the run is lost and its replica may still work
    /// on it, so that it may not go on elsewhere.
    virtual auto run_undecided(std::string_view why) -> void = 0;

protected:
    resuming_stream() = default;
    resuming_stream(resuming_stream const&) = default;
    auto operator=(resuming_stream const&) -> resuming_stream& = default;
};

/// Resumes the run of one stream. Owned by the stream's exchange.
template <message_format Format>
class stream_resumption
{
public:
    stream_resumption(exchange& of, resuming_stream& stream)
        : exchange_(of)
        , stream_(stream)
        , backup_(of.state.replicas)
        , migrator_(of.state, of.request.id, migrator_callbacks())
        , stopper_(of.state, of.request.id)
        , permit_timer_(of.state.loop)
    {}

    /// Sets the exchange that the handlers of pending operations keep alive.
    auto set_owner(std::weak_ptr<void> owner) -> void
    {
        owner_ = std::move(owner);
    }

    /// Whether the run was sent to another replica and has produced no event
    /// there yet.
    [[nodiscard]] auto is_resuming() const -> bool
    {
        return is_resuming_;
    }

    /// The replica that is to hold the run's backup, if any.
    [[nodiscard]] auto backup_holder() const -> std::optional<replica> const&
    {
        return backup_.holder();
    }

    /// Prepares for a run that is sent to a replica; chooses its backup.
    auto begin_run(replica const& at, double expected_output, time_point now)
        -> void
    {
        source_ended_ = false;
        ended_between_events_ = false;
        may_be_stopped_ = false;
        backup_.choose(
            {stream_.unlimited_need(), at, expected_output}, exchange_.engine(),
            now);
    }

    /// Called when the run's replica leaves. Returns the memory that is
    /// migrated, in tokens; see `leaving_listener::replica_leaves`.
    auto replica_leaves(time_point now, double tokens_ahead) -> double
    {
        if (exchange_.finished || is_resuming_ || migrator_.is_active() ||
            stopper_.is_active() || stopped_)
        {
            drained_while_resuming_ = is_resuming_;
            return 0;
        }
        auto const& source = stream_.source();
        if (backup_.is_usable())
        {
            // The run resumes from its backup when the replica terminates it.
            // That uses no bandwidth of the draining replica's link.
            exchange_.state.log.request(
                exchange_.request.id, "not migrated: has a backup",
                {{"replica", source.id}, {"copy_at", backup_.holder()->id}});
            return 0;
        }
        auto const traits = exchange_.engine();
        if (!traits || !traits->supports_migration)
        {
            return 0;
        }
        // Runs are migrated one after the other. If all were copied at once,
        // the final part of each would queue behind the copies of the others.
        migrator_.start(
            owner_, source, now, migration_time(*traits, tokens_ahead));
        return stream_.held_tokens();
    }

    /// Records the pause before the first event from the replica that resumed
    /// the run. Called for each event before it is recorded.
    auto record_event(time_point now) -> void
    {
        if (!std::exchange(is_resuming_, false))
        {
            return;
        }
        kept_at_source_.reset();
        exchange_.state.metrics.add(relay_counter::streams_moved);
        exchange_.state.metrics.observe(
            relay_timing::move_pause, time_since_last_event(now));
        exchange_.state.log.request(
            exchange_.request.id, "resumed on another replica",
            {{"replica", stream_.source().id},
             {"pause", time_since_last_event(now)},
             {"events", stream_.events().count()}});
        if (std::exchange(drained_while_resuming_, false))
        {
            replica_leaves(now, 0);
        }
    }

    /// Called when the stream of the run has ended. Returns whether that was
    /// due to a migration, which then decides how the stream goes on.
    auto take_source_end(bool ended_between_events) -> bool
    {
        if (!migrator_.is_stopping() && !stopped_)
        {
            return ended_between_events && take_end_of_stopped_run();
        }
        // A replica that stops a run ends its connection as one that completes
        // or loses it.
        source_ended_ = true;
        ended_between_events_ = ended_between_events;
        resume_if_stopped();
        return true;
    }

    /// Resumes a stopped run elsewhere once all its events have been received
    /// or its stream has ended.
    auto resume_if_stopped() -> void
    {
        if (!stopped_)
        {
            return;
        }
        auto const has_all_events =
            stream_.events().last_number() >= stopped_->events_made;
        if (!source_ended_ && !has_all_events)
        {
            return;
        }
        stream_.end_call();
        auto const run = *std::exchange(stopped_, std::nullopt);
        auto const& source = stream_.source();
        is_resuming_ = true;
        auto const memory =
            fmt::format("{}/{}", host_and_port(source), run.handle);
        if (run.next.id != source.id)
        {
            kept_at_source_ = kept_run{source, memory, run.noticed_at};
        }
        resume_at(run.next, memory);
    }

    /// Lets a run whose stream was lost go on elsewhere: from its backup, or as
    /// a new run after the last event. Before that its replica is ordered to
    /// stop it, as the end of a connection need not end a run.
    auto continue_lost_run(std::string const& why) -> void
    {
        auto const destination = destination_of_lost_run();
        if (!destination)
        {
            resume_lost_run(why);
            return;
        }
        migrator_.cancel();
        stopped_.reset();
        stopper_.start(
            owner_, stream_.source(), *destination, stream_.sent_at(),
            telemetry::monotonic_now(),
            [this,
             why](lost_run_end what, std::optional<stopped_run> const& run) {
                lost_run_ended(what, run, why);
            });
    }

    /// Resumes a run that its destination has not taken at the source that
    /// stopped it, while that still accepts requests.
    auto resume_failed() -> void
    {
        auto const now = telemetry::monotonic_now();
        auto const may_return = may_resume_at_source(now);
        auto const kept = std::exchange(kept_at_source_, std::nullopt);
        if (may_return)
        {
            exchange_.state.log.request(
                exchange_.request.id, "resumes at its source",
                {{"replica", stream_.source().id},
                 {"source", kept->source.id}});
            exchange_.excluded.insert(stream_.source().id);
            // The source still leaves, so that the run migrates again.
            drained_while_resuming_ = true;
            resume_at(kept->source, kept->memory);
            return;
        }
        stream_.run_lost("the run was not taken where it moved to");
    }

    /// Forgets a run that is sent again.
    auto reset() -> void
    {
        release();
        stopped_.reset();
        kept_at_source_.reset();
        is_resuming_ = false;
        drained_while_resuming_ = false;
    }

    /// Ends what is pending and releases the backup.
    auto release() -> void
    {
        permit_timer_.cancel();
        migrator_.cancel();
        stopper_.cancel();
        backup_.release();
    }

private:
    /// A run that a replica stopped and still holds.
    struct kept_run
    {
        replica source;
        /// Location of its memory, as in `continuation::memory`.
        std::string memory;
        /// When the source was found to leave.
        time_point noticed_at;
    };

    /// Whether the run can go on from a copy after the last event that the
    /// caller has.
    [[nodiscard]] auto has_position() const -> bool
    {
        return stream_.events().has_begun() &&
               stream_.events().last_number().has_value();
    }

    /// Where a run whose stream was lost may go on; none if it can't, or if its
    /// replica takes no order that stops it.
    auto destination_of_lost_run() -> std::optional<replica>
    {
        auto const traits = exchange_.engine();
        if (!traits || !traits->supports_migration)
        {
            return std::nullopt;
        }
        auto const* const held = backup_.listed_holder();
        if (held != nullptr && has_position())
        {
            return *held;
        }
        if (!stream_.may_be_sent_again())
        {
            return std::nullopt;
        }
        auto const chosen = choose_destination();
        return chosen ? std::optional{chosen->target} : std::nullopt;
    }

    auto lost_run_ended(
        lost_run_end what,
        std::optional<stopped_run> const& run,
        std::string const& why) -> void
    {
        if (what == lost_run_end::unknown)
        {
            stream_.run_undecided(why);
            return;
        }
        if (!run)
        {
            resume_lost_run(why);
            return;
        }
        if (!has_position())
        {
            stream_.run_lost(why);
            return;
        }
        stopped_ = run;
        source_ended_ = true;
        resume_if_stopped();
    }

    /// Resumes a run that has ended at its replica.
    auto resume_lost_run(std::string_view why) -> void
    {
        if (!resume_from_backup(telemetry::monotonic_now()))
        {
            stream_.run_lost(why);
        }
    }

    /// Resumes a run that its replica has lost or stopped from its backup;
    /// returns false if that is not possible.
    auto resume_from_backup(time_point now) -> bool
    {
        auto const* const held = backup_.listed_holder();
        auto const to = held ? address_of(*held) : std::nullopt;
        if (!to || !has_position())
        {
            return false;
        }
        auto const next = replica{*held};
        exchange_.state.log.request(
            exchange_.request.id, "resumes from its backup",
            {{"replica", stream_.source().id},
             {"copy_at", next.id},
             {"events", stream_.events().count()},
             {"silent", time_since_last_event(now)}});
        exchange_.excluded.insert(stream_.source().id);
        migrator_.cancel();
        stopped_.reset();
        kept_at_source_.reset();
        is_resuming_ = true;
        resume_at(
            next,
            fmt::format("{}/{}", host_and_port(next), exchange_.request.id));
        return true;
    }

    [[nodiscard]] auto time_since_last_event(time_point now) const -> duration
    {
        return now - exchange_.started_at - stream_.events().time_to_last();
    }

    auto migrator_callbacks() -> typename run_migrator<Format>::callbacks
    {
        return {
            [this] { return choose_destination(); },
            [this](stopped_run const& run) {
                stopped_ = run;
                resume_if_stopped();
            },
            [this](migration_failure how) { migration_failed(how); },
            [this](replica const& which) {
                exchange_.excluded.insert(which.id);
            }};
    }

    auto choose_destination() -> std::optional<migration_destination>
    {
        exchange_.excluded.insert(stream_.source().id);
        auto requirement = stream_.unlimited_need();
        requirement.memory_zone = stream_.source().zone;
        auto const chosen = exchange_.state.replicas.choose(
            requirement, exchange_.engine(), telemetry::monotonic_now());
        if (!chosen || !address_of(chosen->target))
        {
            return std::nullopt;
        }
        return migration_destination{chosen->target, requirement.memory_tokens};
    }

    /// Handles the end of a run that an order may have stopped whose response
    /// was lost: whether the run has completed is not known. Returns false if
    /// there was no such order.
    auto take_end_of_stopped_run() -> bool
    {
        if (!std::exchange(may_be_stopped_, false))
        {
            return false;
        }
        continue_lost_run("the run may have been stopped");
        return true;
    }

    auto migration_failed(migration_failure how) -> void
    {
        if (!source_ended_)
        {
            may_be_stopped_ = how == migration_failure::while_stopping;
            return;
        }
        constexpr auto why = "the run was not stopped in good order";
        if (how != migration_failure::run_ended)
        {
            continue_lost_run(why);
            return;
        }
        if (ended_between_events_)
        {
            stream_.complete(telemetry::monotonic_now());
            return;
        }
        resume_lost_run(why);
    }

    /// Whether a stopped run may resume at its source.
    [[nodiscard]] auto may_resume_at_source(time_point now) const -> bool
    {
        return kept_at_source_ &&
               may_return_to_source(
                   now - kept_at_source_->noticed_at,
                   exchange_.state.drain_limit) &&
               !exchange_.state.replicas.is_evacuated(kept_at_source_->source);
    }

    /// Resumes a run that was to resume at a replica of an evacuated zone: at
    /// its source or from its backup.
    auto resume_outside_evacuated_zones(replica const& next, time_point now)
        -> void
    {
        exchange_.state.log.request(
            exchange_.request.id, "not resumed in an evacuated zone",
            {{"replica", next.id}, {"zone", next.zone.str()}});
        if (!may_resume_at_source(now) && resume_from_backup(now))
        {
            return;
        }
        resume_failed();
    }

    /// Sends the continuation once the replica's limit permits it. The zone is
    /// checked each time, as it may have been evacuated since the choice.
    auto resume_at(replica const& next, std::string const& memory) -> void
    {
        resume_at(next, memory, telemetry::monotonic_now());
    }

    auto resume_at(
        replica const& next, std::string const& memory, time_point since)
        -> void
    {
        auto const now = telemetry::monotonic_now();
        if (exchange_.state.replicas.is_evacuated(next))
        {
            resume_outside_evacuated_zones(next, now);
            return;
        }
        auto const permitted =
            exchange_.state.gate.take(next.id, permit_use::running, now);
        if (permitted == permission::granted)
        {
            stream_.send_continuation(
                next, {memory, stream_.events().last_number().value_or(0)});
            return;
        }
        if (now - since >= max_wait_for_resume_permit)
        {
            resume_failed();
            return;
        }
        permit_timer_.expires_after(open_replica_poll_interval);
        permit_timer_.async_wait([this, owner = owner_.lock(), next, memory,
                                  since](std::error_code error) {
            if (!error && !exchange_.finished)
            {
                resume_at(next, memory, since);
            }
        });
    }

    exchange& exchange_;
    resuming_stream& stream_;
    run_backup backup_;
    run_migrator<Format> migrator_;
    lost_run_stopper<Format> stopper_;
    asio::steady_timer permit_timer_;
    std::weak_ptr<void> owner_;
    /// Set while the last events of a stopped run are awaited.
    std::optional<stopped_run> stopped_;
    /// The stopped run at its source, until another replica has resumed it.
    std::optional<kept_run> kept_at_source_;
    bool is_resuming_ = false;
    bool source_ended_ = false;
    /// Whether a stream without framing ended where it may be complete.
    bool ended_between_events_ = false;
    /// Whether the run may have been stopped by an order without a response.
    bool may_be_stopped_ = false;
    bool drained_while_resuming_ = false;
};

} // namespace sapphirereel::relay

#endif
