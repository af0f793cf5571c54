/// \file
/// Defines the live migration of a run off a draining replica: its KV cache is
/// copied to another replica while it runs, then the run is stopped and the
/// rest copied.
#ifndef SAPPHIREREEL_RELAY_RUN_MIGRATOR_HPP
#define SAPPHIREREEL_RELAY_RUN_MIGRATOR_HPP

#include "sapphirereel/relay/exchange.hpp"
#include "sapphirereel/relay/migration_call.hpp"
#include "sapphirereel/relay/stream_load.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace sapphirereel::relay {

/// Timeout of one migration request.
inline constexpr auto migration_request_timeout =
    duration{std::chrono::seconds{3}};

/// Delay before a migration request is repeated if the replica does not know
/// the run yet or is still copying it.
inline constexpr auto migration_retry_delay =
    duration{std::chrono::milliseconds{60}};

/// Maximum number of migration requests for one run.
inline constexpr auto max_migration_requests = 24;

/// Time reserved on a draining replica's link for a run, as a multiple of the
/// transfer time of its KV cache. The margin covers the final copy and the
/// requests.
inline constexpr auto migration_time_margin = 1.2;

/// A run is stopped for its final copy once a copy took at most this time. A
/// longer copy suggests that other copies are queued on the links, which would
/// delay the final copy while the run is stopped.
inline constexpr auto max_last_copy_time =
    duration{std::chrono::milliseconds{90}};

/// Time after the drain notice from which a run is stopped however busy the
/// links are, because its replica may terminate soon.
inline constexpr auto latest_stop_after_notice =
    duration{std::chrono::milliseconds{1'150}};

/// Time reserved on a replica's link for a KV cache of `tokens` tokens; 0 if
/// the bandwidth of the link is not known.
auto migration_time(engine_traits const& traits, double tokens) -> duration;

/// Time before a draining replica accepts no more requests from which a run is
/// not sent back to it.
inline constexpr auto return_margin = duration{std::chrono::milliseconds{800}};

/// Whether a stopped run may be sent back to its source, `since_notice` after
/// that was found to leave; it accepts requests for `drain_limit`.
auto may_return_to_source(duration since_notice, duration drain_limit) -> bool;

/// The destination of a migration and the memory that the run takes there.
struct migration_destination
{
    replica target;
    double memory_tokens = 0;
    auto operator<=>(migration_destination const&) const = default;
};

/// How a migration failed.
enum class migration_failure
{
    /// The run continues on its replica.
    while_running,
    /// The run was being stopped and had ended by itself.
    run_ended,
    /// The run was being stopped, and may have been.
    while_stopping
};

/// A run that was stopped to resume elsewhere.
struct stopped_run
{
    /// Identifies the copy at the source.
    std::string handle;
    /// Number of events that the run has produced.
    std::uint64_t events_made = 0;
    /// The replica that resumes the run: the destination, or the source if the
    /// rest could not be copied.
    replica next;
    /// When the source was found to leave.
    time_point noticed_at{};
    auto operator<=>(stopped_run const&) const = default;
};

/// Migrates one run. Owned by the run's exchange.
template <message_format Format>
class run_migrator
{
public:
    struct callbacks
    {
        /// Chooses a destination, if there is one.
        std::function<std::optional<migration_destination>()> choose;
        /// Called when the run has been stopped.
        std::function<void(stopped_run const&)> stopped;
        /// Called when the migration has failed.
        std::function<void(migration_failure how)> not_migrated;
        /// Called when a destination has not enough memory for the run.
        std::function<void(replica const&)> refused;
    };

    run_migrator(relay_state& state, std::string request_id, callbacks handlers)
        : state_(state)
        , request_id_(std::move(request_id))
        , callbacks_(std::move(handlers))
        , load_(state.replicas)
        , timer_(state.loop)
    {}

    /// Starts after a delay. Does nothing once `owner` is destroyed.
    auto start(
        std::weak_ptr<void> owner,
        replica const& source,
        time_point noticed_at,
        duration delay) -> void
    {
        owner_ = std::move(owner);
        source_ = source;
        noticed_at_ = noticed_at;
        step_ = step::waiting;
        after(delay, [this] { begin(); });
    }

    auto cancel() -> void
    {
        step_ = step::idle;
        timer_.cancel();
        load_.release();
        if (auto const pending = std::exchange(request_, nullptr))
        {
            pending->cancel();
        }
    }

    [[nodiscard]] auto is_active() const -> bool
    {
        return step_ != step::idle;
    }

    /// Whether the run is being stopped, so that its stream may end.
    [[nodiscard]] auto is_stopping() const -> bool
    {
        return step_ == step::stopping;
    }

private:
    enum class step
    {
        idle,
        waiting,
        copying,
        stopping
    };

    template <class Action>
    auto after(duration delay, Action action) -> void
    {
        timer_.expires_after(delay);
        timer_.async_wait(
            [this, owner = owner_, action](std::error_code error) {
                // Keeps the owner alive until the action has returned.
                auto const held = owner.lock();
                if (!error && held && is_active())
                {
                    action();
                }
            });
    }

    auto begin() -> void
    {
        auto const chosen = callbacks_.choose();
        if (!chosen || requests_sent_ >= max_migration_requests)
        {
            state_.log.request(
                request_id_, "not migrated: no replica has capacity",
                {{"replica", source_.id}, {"orders", requests_sent_}});
            give_up();
            return;
        }
        step_ = step::copying;
        destination_ = chosen->target;
        load_.place(destination_.id, {1, chosen->memory_tokens, 0, 0});
        state_.work_placed();
        send_request(false);
    }

    auto send_request(bool stop) -> void
    {
        requested_at_ = telemetry::monotonic_now();
        if (state_.replicas.is_evacuated(destination_))
        {
            // The zone was evacuated after the choice; nothing is stopped yet.
            load_.release();
            begin();
            return;
        }
        auto const permitted =
            state_.gate.take(source_.id, permit_use::running, requested_at_);
        if (permitted != permission::granted)
        {
            wait_for_permit(stop);
            return;
        }
        auto const is_allowed =
            state_.replicas.take_backoff_allowance(source_.id, requested_at_);
        if (!is_allowed)
        {
            state_.log.request(
                request_id_, "not migrated: its replica asked for a backoff",
                {{"replica", source_.id}, {"orders", requests_sent_}});
            give_up();
            return;
        }
        ++requests_sent_;
        state_.log.request(
            request_id_,
            stop ? "stop requested for migration"
                 : "copy requested for migration",
            {{"replica", source_.id},
             {"to", destination_.id},
             {"noticed", requested_at_ - noticed_at_}});
        request_ = send_migration_request<Format>(
            state_, source_, {request_id_, host_and_port(destination_), stop},
            migration_request_timeout,
            [this, owner = owner_, stop](migration_result const& result) {
                auto const held = owner.lock();
                if (held && is_active())
                {
                    handle_result(stop, result);
                }
            });
    }

    /// Tries again until the replica's limit permits the request or the replica
    /// accepts none any more.
    auto wait_for_permit(bool stop) -> void
    {
        if (requested_at_ - noticed_at_ >= state_.drain_limit)
        {
            state_.log.request(
                request_id_, "not migrated: its replica takes no more requests",
                {{"replica", source_.id}, {"orders", requests_sent_}});
            give_up();
            return;
        }
        after(migration_retry_delay, [this, stop] { send_request(stop); });
    }

    auto handle_result(bool stop, migration_result const& result) -> void
    {
        request_.reset();
        if (stop)
        {
            handle_stop_response(result.response);
        }
        else
        {
            handle_copy_response(result.response);
        }
    }

    auto handle_copy_response(migration_response const& read) -> void
    {
        switch (read.outcome)
        {
        case migration_outcome::copied:
            step_ = should_stop() ? step::stopping : step::copying;
            send_request(step_ == step::stopping);
            return;
        case migration_outcome::no_room:
            callbacks_.refused(destination_);
            load_.release();
            after(migration_retry_delay, [this] { begin(); });
            return;
        case migration_outcome::unknown_run:
        case migration_outcome::in_progress:
            after(migration_retry_delay, [this] { retry(); });
            return;
        case migration_outcome::failed:
            give_up();
            return;
        }
    }

    /// Whether the next request stops the run: the rest of the KV cache can be
    /// copied quickly, its replica may terminate soon, or the maximum number of
    /// requests has been sent.
    [[nodiscard]] auto should_stop() const -> bool
    {
        auto const now = telemetry::monotonic_now();
        return now - requested_at_ <= max_last_copy_time ||
               now - noticed_at_ >= latest_stop_after_notice ||
               requests_sent_ >= max_migration_requests;
    }

    auto retry() -> void
    {
        if (requests_sent_ >= max_migration_requests)
        {
            give_up();
            return;
        }
        send_request(false);
    }

    auto handle_stop_response(migration_response const& read) -> void
    {
        if (read.handle.empty())
        {
            // The run may have completed in the meantime; its stream shows
            // that.
            give_up(
                read.outcome == migration_outcome::unknown_run
                    ? migration_failure::run_ended
                    : migration_failure::while_stopping);
            return;
        }
        auto const is_copied = read.outcome == migration_outcome::copied;
        auto const run = stopped_run{
            read.handle, read.events_made, is_copied ? destination_ : source_,
            noticed_at_};
        cancel();
        callbacks_.stopped(run);
    }

    auto give_up() -> void
    {
        give_up(
            is_stopping() ? migration_failure::while_stopping
                          : migration_failure::while_running);
    }

    auto give_up(migration_failure how) -> void
    {
        cancel();
        state_.metrics.add(relay_counter::stream_moves_failed);
        callbacks_.not_migrated(how);
    }

    relay_state& state_;
    std::string request_id_;
    callbacks callbacks_;
    stream_load load_;
    asio::steady_timer timer_;
    std::weak_ptr<void> owner_;
    std::shared_ptr<buffered_call> request_;
    replica source_;
    replica destination_;
    time_point noticed_at_{};
    time_point requested_at_{};
    int requests_sent_ = 0;
    step step_ = step::idle;
};

} // namespace sapphirereel::relay

#endif
