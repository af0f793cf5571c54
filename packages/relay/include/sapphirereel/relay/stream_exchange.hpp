/// \file
/// Defines the exchange of a stream: events are passed on whole as they come,
/// and a run goes on at another replica when its own one leaves.
#ifndef SAPPHIREREEL_RELAY_STREAM_EXCHANGE_HPP
#define SAPPHIREREEL_RELAY_STREAM_EXCHANGE_HPP

#include "sapphirereel/relay/event_sequence.hpp"
#include "sapphirereel/relay/event_splitter.hpp"
#include "sapphirereel/relay/exchange.hpp"
#include "sapphirereel/relay/run_backup.hpp"
#include "sapphirereel/relay/run_migrator.hpp"
#include "sapphirereel/relay/stream_load.hpp"

namespace sapphirereel::relay {

/// Bytes that wait for a slow caller before its replica is no longer read.
inline constexpr auto max_unsent_bytes = std::size_t{262'144};

/// Time between two looks for a replica with room, and the longest wait.
inline constexpr auto room_interval = duration{std::chrono::milliseconds{40}};
inline constexpr auto longest_wait_for_room =
    duration{std::chrono::milliseconds{5'000}};

/// Serves one stream. Owned by the handlers of what it waits for.
template <message_format Format>
class stream_exchange final
    : public leaving_listener,
      public std::enable_shared_from_this<stream_exchange<Format>>
{
public:
    static auto start(
        relay_state& state,
        std::shared_ptr<caller_session> caller,
        caller_request request,
        grant granted) -> void
    {
        auto const self = std::shared_ptr<stream_exchange>{new stream_exchange{
            state, std::move(caller), std::move(request), std::move(granted)}};
        self->begin();
    }

    ~stream_exchange() override
    {
        unregister_stream();
    }
    stream_exchange(stream_exchange const&) = delete;
    auto operator=(stream_exchange const&) -> stream_exchange& = delete;

    auto replica_leaves(time_point now, double tokens_ahead) -> double override
    {
        if (exchange_.finished || is_continuing_ || migrator_.is_active() ||
            stopped_)
        {
            target_left_ = is_continuing_;
            return 0;
        }
        if (backup_.is_usable())
        {
            // The run goes on from its copy when the replica ends it. That
            // needs nothing of the leaving replica's link.
            exchange_.state.log.request(
                exchange_.request.id, "stays until its replica ends it",
                {{"replica", target_.id}, {"copy_at", backup_.holder()->id}});
            return 0;
        }
        auto const traits = exchange_.engine();
        if (!traits || !traits->supports_migration)
        {
            return 0;
        }
        // One after the other: were all copied at once, the last part of each
        // would queue behind the copies of the others.
        migrator_.start(
            this->weak_from_this(), target_, now,
            migration_time(*traits, tokens_ahead));
        return held_tokens();
    }

private:
    stream_exchange(
        relay_state& state,
        std::shared_ptr<caller_session> caller,
        caller_request request,
        grant granted)
        : exchange_(
              state, std::move(caller), std::move(request), std::move(granted))
        , load_(state.replicas)
        , backup_(state.replicas)
        , migrator_(state, exchange_.request.id, migrator_callbacks())
        , room_timer_(state.loop)
        , size_(exchange_.request.generation.value_or(generation_size{}))
        , expected_output_(
              relay::expected_output(state.output_lengths.curve(kind()), size_))
    {}

    /// Streams of one route are taken to be alike in length.
    [[nodiscard]] auto kind() const -> stream_kind
    {
        return {service_name{exchange_.granted.route->name}, customer_id{}};
    }

    auto begin() -> void
    {
        auto const self = this->shared_from_this();
        exchange_.watch(
            [self] { self->caller_disconnected(); },
            [self] { self->deadline_passed(); });
        attempt();
    }

    [[nodiscard]] auto need() const -> placement_need
    {
        return {
            exchange_.service,
            counted_memory_tokens(size_, expected_output_, output_tokens()),
            size_.prompt,
            exchange_.excluded,
            {}};
    }

    /// Memory that the run holds, in tokens.
    [[nodiscard]] auto held_tokens() const -> double
    {
        return size_.prompt + output_tokens();
    }

    [[nodiscard]] auto output_tokens() const -> double
    {
        auto const traits = exchange_.engine();
        return static_cast<double>(events_.count()) *
               (traits ? traits->tokens_per_event : 1);
    }

    auto attempt() -> void
    {
        auto const now = telemetry::monotonic_now();
        if (exchange_.remaining(now) < min_attempt_time)
        {
            give_up(refusal_reason::deadline, 504, "no time is left");
            return;
        }
        auto const chosen =
            exchange_.state.replicas.choose(need(), exchange_.engine(), now);
        auto const to = chosen ? address_of(chosen->target) : std::nullopt;
        if (!to)
        {
            give_up(refusal_reason::no_replica, 502, "no replica is left");
            return;
        }
        auto const waited = now - exchange_.started_at;
        auto& pace = exchange_.state.prefill_pace_of(exchange_.service);
        auto const tokens_ahead = chosen->pending_prefill_tokens + size_.prompt;
        auto const prospect = dispatch_estimate{
            waited, exchange_.granted.route->target_latency,
            pace.time_for(tokens_ahead), chosen->memory_share};
        if (!should_dispatch(prospect))
        {
            wait_for_room(waited);
            return;
        }
        if (!exchange_.may_send(now))
        {
            give_up(refusal_reason::retry_budget, 502, "no retry is left");
            return;
        }
        log_sent(*chosen, prospect);
        sent_at_ = now;
        tokens_ahead_ = tokens_ahead;
        ++exchange_.sends;
        ++exchange_.runs;
        send(chosen->target, *to, std::nullopt);
    }

    /// Looks again soon; gives up where that would take too long.
    auto wait_for_room(duration waited) -> void
    {
        if (waited >= longest_wait_for_room)
        {
            give_up(refusal_reason::overload, 502, "no replica has room");
            return;
        }
        auto spread = std::uniform_real_distribution<double>{0.6, 1.4};
        room_timer_.expires_after(std::chrono::duration_cast<duration>(
            room_interval * spread(exchange_.state.random)));
        room_timer_.async_wait(
            [self = this->shared_from_this()](std::error_code error) {
                if (!error && !self->exchange_.finished)
                {
                    self->attempt();
                }
            });
    }

    auto log_sent(placement const& chosen, dispatch_estimate const& prospect)
        -> void
    {
        exchange_.state.log.request(
            exchange_.request.id, "sent",
            {{"replica", chosen.target.id},
             {"service", exchange_.service},
             {"route", exchange_.granted.route->name},
             {"configuration",
              exchange_.granted.table->configuration().version},
             {"score", chosen.score},
             {"memory_share", chosen.memory_share},
             {"candidates", chosen.candidates},
             {"prompt_tokens", size_.prompt},
             {"expected_tokens", expected_output_},
             {"attempt", exchange_.sends + 1},
             {"unread_tokens", chosen.pending_prefill_tokens},
             {"expected_start", prospect.expected_start},
             {"waited", prospect.waited},
             {"left",
              exchange_.remaining(exchange_.started_at + prospect.waited)}});
    }

    /// Sends the request, or its continuation, to a replica.
    auto send(
        replica const& target,
        asio::ip::tcp::endpoint const& to,
        std::optional<continuation> resumed) -> void
    {
        auto const now = telemetry::monotonic_now();
        unregister_stream();
        target_ = target;
        watch();
        auto const memory = need().memory_tokens;
        splitter_ = {};
        head_.reset();
        source_ended_ = false;
        backup_.choose(
            {need(), target_, expected_output_}, exchange_.engine(), now);
        load_.place(
            target.id, {1, memory, resumed ? 0 : size_.prompt,
                        backup_.holder() ? 0 : held_tokens()});
        exchange_.state.work_placed();
        auto const backup_address =
            backup_.holder() ? std::optional{host_and_port(*backup_.holder())}
                             : std::nullopt;
        auto const self = this->shared_from_this();
        call_ = exchange_.state.pool.start(
            to,
            Format::write_call(
                exchange_.request, {target.id, exchange_.remaining(now),
                                    exchange_.granted.customer,
                                    std::move(resumed), backup_address}),
            {},
            {[self](http::response_head const& head) { self->answered(head); },
             [self](std::string const& body) { self->receive(body); },
             [self] { self->source_completed(); },
             [self](call_failure const& why) {
                 self->source_failed(why);
             }});
    }

    /// Goes on from the copy of a run whose replica is lost.
    auto continue_from_backup(time_point now) -> bool
    {
        auto const* const held = backup_.listed_holder();
        auto const to = held ? address_of(*held) : std::nullopt;
        if (!to || !events_.last_number())
        {
            return false;
        }
        auto const next = replica{*held};
        exchange_.state.log.request(
            exchange_.request.id, "goes on from its copy",
            {{"replica", target_.id},
             {"copy_at", next.id},
             {"events", events_.count()},
             {"silent", silence(now)}});
        exchange_.excluded.insert(target_.id);
        migrator_.cancel();
        stopped_.reset();
        is_continuing_ = true;
        send(
            next, *to,
            continuation{
                fmt::format("{}/{}", host_and_port(next), exchange_.request.id),
                *events_.last_number()});
        return true;
    }

    auto watch() -> void
    {
        exchange_.state.streams[target_.id].insert(this);
    }

    auto unregister_stream() -> void
    {
        auto const found = exchange_.state.streams.find(target_.id);
        if (found == exchange_.state.streams.end())
        {
            return;
        }
        found->second.erase(this);
        if (found->second.empty())
        {
            exchange_.state.streams.erase(found);
        }
    }

    auto answered(http::response_head const& head) -> void
    {
        head_ = head;
        auto const answer = Format::read_response(head);
        auto const now = telemetry::monotonic_now();
        if (answer.load)
        {
            exchange_.state.replicas.set_reported_load(
                target_.id, *answer.load, now);
        }
        is_success_ = head.status / 100 == 2 && answer.is_signed &&
                      answer.request_id == exchange_.request.id;
        not_run_ = answer.not_run;
        is_signed_ = answer.is_signed;
    }

    auto receive(std::string const& body) -> void
    {
        if (!is_success_)
        {
            failure_body_ += body;
            return;
        }
        auto const now = telemetry::monotonic_now();
        for (auto const& event : splitter_.feed(body))
        {
            pass_on(event, now);
            if (exchange_.finished)
            {
                return;
            }
        }
        check_stopped();
    }

    auto pass_on(raw_event const& event, time_point now) -> void
    {
        auto const place = events_.classify(event.number);
        if (place == event_order::duplicate)
        {
            return;
        }
        if (place == event_order::after_gap)
        {
            abort_stream("an event is missing");
            return;
        }
        if (place == event_order::first)
        {
            begin_answer(now);
        }
        else
        {
            exchange_.state.metrics.observe(relay_timing::pause, silence(now));
        }
        note_resumed(now);
        events_.record_forwarded(event.number, now - exchange_.started_at);
        exchange_.state.metrics.add(relay_counter::stream_events);
        load_.update(
            counted_memory_tokens(size_, expected_output_, output_tokens()),
            held_tokens());
        exchange_.caller->stream(event.bytes);
        limit_backlog();
    }

    /// Passes the head of the answer on, and notes how long the prompt took.
    auto begin_answer(time_point now) -> void
    {
        exchange_.caller->begin_stream(
            head_->status, head_->reason, Format::response_fields(*head_));
        exchange_.state.metrics.observe(
            relay_timing::first_event, now - exchange_.started_at);
        exchange_.state.prefill_pace_of(exchange_.service)
            .add_sample(tokens_ahead_, now - sent_at_);
        load_.prefill_completed();
        exchange_.state.load_changed();
    }

    /// Time since the last event that the caller has got.
    [[nodiscard]] auto silence(time_point now) const -> duration
    {
        return now - exchange_.started_at - events_.time_to_last();
    }

    /// Notes the pause that a move made, at the first event after it.
    auto note_resumed(time_point now) -> void
    {
        if (!std::exchange(is_continuing_, false))
        {
            return;
        }
        exchange_.state.metrics.add(relay_counter::streams_moved);
        exchange_.state.metrics.observe(relay_timing::move_pause, silence(now));
        exchange_.state.log.request(
            exchange_.request.id, "went on after a move",
            {{"replica", target_.id},
             {"pause", silence(now)},
             {"events", events_.count()}});
        if (target_left_)
        {
            target_left_ = false;
            replica_leaves(now, 0);
        }
    }

    /// Stops reading from the replica while the caller is behind.
    auto limit_backlog() -> void
    {
        if (exchange_.caller->unsent_bytes() <= max_unsent_bytes || !call_)
        {
            return;
        }
        call_->pause();
        exchange_.caller->on_drained([self = this->shared_from_this()] {
            if (self->call_)
            {
                self->call_->resume();
            }
        });
    }

    auto source_completed() -> void
    {
        call_.reset();
        if (exchange_.finished)
        {
            return;
        }
        auto const now = telemetry::monotonic_now();
        if (!is_success_)
        {
            not_served(now);
            return;
        }
        if (splitter_.has_partial())
        {
            abort_stream("the stream ended within an event");
            return;
        }
        exchange_.state.replicas.succeeded(target_.id);
        exchange_.record_answer(now);
        finish(now);
    }

    /// The replica answered with something else than a stream.
    auto not_served(time_point now) -> void
    {
        load_.release();
        if (not_run_)
        {
            exchange_.state.metrics.add(relay_counter::replica_rejections);
            exchange_.state.log.request(
                exchange_.request.id, "rejected by the replica",
                {{"replica", target_.id}, {"status", head_->status}});
            retry_not_run(now);
            return;
        }
        if (events_.has_begun())
        {
            abort_stream("the run was not continued");
            return;
        }
        auto const is_its_failure = is_signed_ && head_->status >= 300;
        if (!is_its_failure)
        {
            give_up(
                refusal_reason::no_replica, 502,
                "the answer is not the replica's answer to this request");
            return;
        }
        end(now);
        exchange_.state.metrics.add(relay_counter::answers);
        exchange_.caller->respond(
            head_->status, Format::response_fields(*head_), failure_body_);
    }

    auto retry_not_run(time_point now) -> void
    {
        if (is_continuing_)
        {
            continue_failed();
            return;
        }
        --exchange_.runs;
        if (head_ && head_->status == 421)
        {
            exchange_.state.replicas.failed(target_.id, now);
        }
        exchange_.excluded.insert(target_.id);
        failure_body_.clear();
        attempt();
    }

    auto source_failed(call_failure const& why) -> void
    {
        call_.reset();
        if (exchange_.finished)
        {
            return;
        }
        auto const now = telemetry::monotonic_now();
        if (migrator_.is_stopping() || stopped_)
        {
            source_ended_ = true;
            check_stopped();
            return;
        }
        exchange_.state.replicas.failed(target_.id, now);
        exchange_.attribute_crash(target_, why, now);
        exchange_.state.log.request(
            exchange_.request.id, "replica lost",
            {{"replica", target_.id},
             {"why", why.detail},
             {"stage", static_cast<int>(why.stage)},
             {"events", events_.count()}});
        if (why.stage == call_stage::connecting)
        {
            exchange_.state.metrics.add(relay_counter::connections_failed);
            if (is_continuing_)
            {
                continue_failed();
                return;
            }
            --exchange_.sends;
            retry_not_run(now);
            return;
        }
        if (!continue_from_backup(now))
        {
            abort_stream(why.detail);
        }
    }

    // Moving to another replica.

    auto migrator_callbacks() -> typename run_migrator<Format>::callbacks
    {
        return {
            [this] { return choose_destination(); },
            [this](stopped_run const& run) {
                stopped_ = run;
                check_stopped();
            },
            [this](bool was_stopping) { not_moved(was_stopping); },
            [this](replica const& which) {
                exchange_.excluded.insert(which.id);
            }};
    }

    auto choose_destination() -> std::optional<migration_destination>
    {
        exchange_.excluded.insert(target_.id);
        auto wanted = need();
        wanted.memory_zone = target_.zone;
        auto const chosen = exchange_.state.replicas.choose(
            wanted, exchange_.engine(), telemetry::monotonic_now());
        if (!chosen || !address_of(chosen->target))
        {
            return std::nullopt;
        }
        return migration_destination{chosen->target, wanted.memory_tokens};
    }

    auto not_moved(bool was_stopping) -> void
    {
        auto const is_lost = was_stopping && source_ended_ &&
                             !continue_from_backup(telemetry::monotonic_now());
        if (is_lost)
        {
            abort_stream("the run was not stopped in good order");
        }
    }

    /// Goes on elsewhere once the run has stopped and its events are here.
    auto check_stopped() -> void
    {
        if (!stopped_)
        {
            return;
        }
        auto const has_all = events_.last_number() >= stopped_->events_made;
        if (!source_ended_ && !has_all)
        {
            return;
        }
        if (auto const ended = std::exchange(call_, nullptr))
        {
            ended->cancel();
        }
        auto const run = *std::exchange(stopped_, std::nullopt);
        is_continuing_ = true;
        send(
            run.next, *address_of(run.next),
            continuation{
                fmt::format("{}/{}", host_and_port(target_), run.handle),
                events_.last_number().value_or(0)});
    }

    /// The destination did not take the run. It has no other copy.
    auto continue_failed() -> void
    {
        abort_stream("the run was not taken where it moved to");
    }

    // Ends.

    auto end(time_point now) -> void
    {
        exchange_.finished = true;
        exchange_.deadline_timer.cancel();
        room_timer_.cancel();
        migrator_.cancel();
        unregister_stream();
        load_.release();
        backup_.release();
        exchange_.state.load_changed();
        if (call_)
        {
            call_->cancel();
        }
        if (events_.has_begun())
        {
            exchange_.state.output_lengths.record(
                kind(), {0, output_tokens(), is_complete_}, now);
        }
    }

    auto finish(time_point now) -> void
    {
        is_complete_ = true;
        end(now);
        exchange_.state.metrics.add(relay_counter::answers);
        exchange_.state.metrics.observe(
            relay_timing::answer, now - exchange_.started_at);
        exchange_.state.log.request(
            exchange_.request.id, "answered",
            {{"replica", target_.id},
             {"status", head_->status},
             {"events", events_.count()},
             {"first_event_after", events_.time_to_first()},
             {"longest_pause", events_.longest_pause()},
             {"after", now - exchange_.started_at}});
        if (!events_.has_begun())
        {
            exchange_.caller->begin_stream(
                head_->status, head_->reason, Format::response_fields(*head_));
        }
        exchange_.caller->finish_stream();
    }

    /// Ends a stream that cannot go on, so that it does not look complete.
    auto abort_stream(std::string_view why) -> void
    {
        if (!events_.has_begun())
        {
            give_up(refusal_reason::no_replica, 502, why);
            return;
        }
        auto const now = telemetry::monotonic_now();
        end(now);
        exchange_.state.metrics.add(relay_counter::streams_lost);
        exchange_.state.log.request(
            exchange_.request.id, "stream lost",
            {{"replica", target_.id},
             {"why", std::string{why}},
             {"continuing", is_continuing_},
             {"events", events_.count()},
             {"after", now - exchange_.started_at}});
        exchange_.caller->abort();
    }

    /// Ends a request of which the caller has got nothing.
    auto give_up(refusal_reason why, int status, std::string_view detail)
        -> void
    {
        auto const may_have_run = exchange_.may_have_run();
        end(telemetry::monotonic_now());
        exchange_.finished = false;
        if (may_have_run)
        {
            exchange_.fail(status, detail);
        }
        else
        {
            exchange_.refuse(why);
        }
    }

    auto deadline_passed() -> void
    {
        if (exchange_.finished)
        {
            return;
        }
        if (events_.has_begun())
        {
            abort_stream("the deadline has passed");
            return;
        }
        give_up(refusal_reason::deadline, 504, "no answer in time");
    }

    auto caller_disconnected() -> void
    {
        if (exchange_.finished)
        {
            return;
        }
        auto const now = telemetry::monotonic_now();
        end(now);
        exchange_.state.metrics.add(relay_counter::callers_gone);
        exchange_.state.log.request(
            exchange_.request.id, "caller left",
            {{"replica", target_.id},
             {"events", events_.count()},
             {"after", now - exchange_.started_at}});
    }

    exchange exchange_;
    stream_load load_;
    run_backup backup_;
    event_sequence events_;
    run_migrator<Format> migrator_;
    asio::steady_timer room_timer_;
    generation_size size_;
    double expected_output_;
    std::shared_ptr<upstream_call> call_;
    replica target_;
    std::optional<http::response_head> head_;
    event_splitter splitter_;
    std::string failure_body_;
    time_point sent_at_{};
    /// Prompt tokens that the replica had to read before the first event.
    double tokens_ahead_ = 0;
    /// Set while a stopped run waits for its last events.
    std::optional<stopped_run> stopped_;
    /// Whether the run was sent elsewhere and has made no event there yet.
    bool is_continuing_ = false;
    bool is_success_ = false;
    bool is_signed_ = false;
    bool not_run_ = false;
    bool source_ended_ = false;
    bool target_left_ = false;
    bool is_complete_ = false;
};

} // namespace sapphirereel::relay

#endif
