/// \file
/// Defines how a run is taken off a replica that leaves: its memory is copied
/// to another replica while it goes on, then it is stopped and the rest copied.
#ifndef SAPPHIREREEL_RELAY_RUN_MIGRATOR_HPP
#define SAPPHIREREEL_RELAY_RUN_MIGRATOR_HPP

#include "sapphirereel/relay/buffered_call.hpp"
#include "sapphirereel/relay/exchange.hpp"
#include "sapphirereel/relay/stream_load.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace sapphirereel::relay {

/// Longest time for one order to copy a run's memory.
inline constexpr auto migration_request_timeout =
    duration{std::chrono::seconds{3}};

/// Time until an order to copy is repeated where the replica does not know the
/// run yet or is still copying.
inline constexpr auto migration_retry_delay =
    duration{std::chrono::milliseconds{60}};

/// Most orders to copy for one run.
inline constexpr auto max_migration_requests = 24;

/// Time on a leaving replica's link for a run's memory, as a multiple of what
/// its size takes: the last part and the orders need some of it.
inline constexpr auto migration_time_margin = 1.2;

/// Longest time of a copy after which the run is stopped: the rest is copied as
/// fast only if no other copies wait for the links.
inline constexpr auto max_last_copy_time =
    duration{std::chrono::milliseconds{90}};

/// Time from the notice from which a run is stopped however busy the links are,
/// since its replica may end soon.
inline constexpr auto latest_stop_after_notice =
    duration{std::chrono::milliseconds{1'150}};

/// Time that memory of a size takes on a replica's link.
auto migration_time(engine_traits const& traits, double tokens) -> duration;

/// IP:PORT of a replica.
auto host_and_port(replica const& at) -> std::string;

/// Where a run can go, and the memory that it counts for there.
struct migration_destination
{
    replica target;
    double memory_tokens = 0;
    auto operator<=>(migration_destination const&) const = default;
};

/// A run that was stopped so that it can go on.
struct stopped_run
{
    /// Names the copy at the source.
    std::string handle;
    /// Events that the run has made.
    std::uint64_t events_made = 0;
    /// Where it goes on: the destination, or the source where the last part
    /// could not be copied.
    replica next;
    auto operator<=>(stopped_run const&) const = default;
};

/// Moves one run. Owned by the run's exchange.
template <message_format Format>
class run_migrator
{
public:
    struct callbacks
    {
        /// Picks a destination, if there is one.
        std::function<std::optional<migration_destination>()> choose;
        /// The run has been stopped.
        std::function<void(stopped_run const&)> stopped;
        /// The run could not be moved and goes on where it is, unless it was
        /// about to be stopped.
        std::function<void(bool was_stopping)> given_up;
        /// A destination has no room for the run.
        std::function<void(replica const&)> refused;
    };

    run_migrator(relay_state& state, std::string request_id, callbacks told)
        : state_(state)
        , request_id_(std::move(request_id))
        , told_(std::move(told))
        , load_(state.replicas)
        , timer_(state.loop)
    {}

    /// Begins after a delay. Nothing is done once `owner` has gone.
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
        if (auto const order = std::exchange(order_, nullptr))
        {
            order->cancel();
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
                // Held until the action has returned.
                auto const held = owner.lock();
                if (!error && held && is_active())
                {
                    action();
                }
            });
    }

    auto begin() -> void
    {
        auto const chosen = told_.choose();
        if (!chosen || orders_ >= max_migration_requests)
        {
            state_.log.request(
                request_id_, "not moved: no replica takes it",
                {{"replica", source_.id}, {"orders", orders_}});
            give_up();
            return;
        }
        step_ = step::copying;
        destination_ = chosen->target;
        load_.place(destination_.id, {1, chosen->memory_tokens, 0, 0});
        state_.work_placed();
        order(false);
    }

    auto order(bool stop) -> void
    {
        ++orders_;
        ordered_at_ = telemetry::monotonic_now();
        state_.log.request(
            request_id_, stop ? "stopped to move" : "copied to move",
            {{"replica", source_.id},
             {"to", destination_.id},
             {"noticed", ordered_at_ - noticed_at_}});
        order_ = buffered_call::start(
            state_.loop, state_.pool, *address_of(source_),
            Format::write_migration_request(
                {request_id_, host_and_port(destination_), stop}),
            migration_request_timeout,
            [this, owner = owner_, stop](buffered_response const& answer) {
                auto const held = owner.lock();
                if (held && is_active())
                {
                    answered(stop, answer);
                }
            });
    }

    auto answered(bool stop, buffered_response const& answer) -> void
    {
        order_.reset();
        auto const read = answer ? Format::read_migration_response(*answer)
                                 : migration_response{};
        if (read.outcome != migration_outcome::copied)
        {
            state_.log.request(
                request_id_, "copy not made",
                {{"replica", source_.id},
                 {"to", destination_.id},
                 {"outcome", static_cast<int>(read.outcome)},
                 {"stop", stop},
                 {"why", answer ? std::string{} : answer.error().detail}});
        }
        if (stop)
        {
            stop_answered(read);
        }
        else
        {
            copy_answered(read);
        }
    }

    auto copy_answered(migration_response const& read) -> void
    {
        switch (read.outcome)
        {
        case migration_outcome::copied:
            step_ = should_stop() ? step::stopping : step::copying;
            order(step_ == step::stopping);
            return;
        case migration_outcome::no_room:
            told_.refused(destination_);
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

    /// Whether the rest of the memory would be copied at once, or time is
    /// short.
    [[nodiscard]] auto should_stop() const -> bool
    {
        auto const now = telemetry::monotonic_now();
        return now - ordered_at_ <= max_last_copy_time ||
               now - noticed_at_ >= latest_stop_after_notice ||
               orders_ >= max_migration_requests;
    }

    auto retry() -> void
    {
        if (orders_ >= max_migration_requests)
        {
            give_up();
            return;
        }
        order(false);
    }

    auto stop_answered(migration_response const& read) -> void
    {
        if (read.handle.empty())
        {
            // The run may have ended by itself; its own stream tells.
            give_up();
            return;
        }
        auto const goes_on = read.outcome == migration_outcome::copied;
        auto const run = stopped_run{
            read.handle, read.events_made, goes_on ? destination_ : source_};
        cancel();
        told_.stopped(run);
    }

    auto give_up() -> void
    {
        auto const was_stopping = is_stopping();
        cancel();
        state_.metrics.add(relay_counter::stream_moves_failed);
        told_.given_up(was_stopping);
    }

    relay_state& state_;
    std::string request_id_;
    callbacks told_;
    stream_load load_;
    asio::steady_timer timer_;
    std::weak_ptr<void> owner_;
    std::shared_ptr<buffered_call> order_;
    replica source_;
    replica destination_;
    time_point noticed_at_{};
    time_point ordered_at_{};
    int orders_ = 0;
    step step_ = step::idle;
};

} // namespace sapphirereel::relay

#endif
