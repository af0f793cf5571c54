/// \file
/// Defines the exchange of a stream: complete events are forwarded as they
/// arrive, and the run resumes on another replica when its replica drains or is
/// lost.
#ifndef SAPPHIREREEL_RELAY_STREAM_EXCHANGE_HPP
#define SAPPHIREREEL_RELAY_STREAM_EXCHANGE_HPP

#include "sapphirereel/relay/event_sequence.hpp"
#include "sapphirereel/relay/event_splitter.hpp"
#include "sapphirereel/relay/exchange.hpp"
#include "sapphirereel/relay/forwarded_exchange.hpp"
#include "sapphirereel/relay/run_backup.hpp"
#include "sapphirereel/relay/run_migrator.hpp"
#include "sapphirereel/relay/stream_load.hpp"

namespace sapphirereel::relay {

/// Bytes buffered for a slow caller above which reading from its replica
/// pauses.
inline constexpr auto max_unsent_bytes = std::size_t{262'144};

/// Most bytes that a replica may send beside the events of its stream: as the
/// body of an answer that is no stream, or as events that were sent before.
inline constexpr auto max_stray_bytes = std::size_t{1} << 20U;

/// Mean interval between attempts to find a replica with enough capacity, and
/// the maximum wait.
inline constexpr auto capacity_poll_interval =
    duration{std::chrono::milliseconds{40}};
inline constexpr auto max_wait_for_capacity =
    duration{std::chrono::milliseconds{5'000}};

/// Time without a response from which a request counts as one that its replica
/// did not respond to: prompts of others may be read first.
inline constexpr auto min_silence_of_stream =
    duration{std::chrono::milliseconds{2'000}};

/// Longest time for which a run that is to resume at a replica waits until the
/// replica's limit permits it.
inline constexpr auto max_wait_for_resume_permit =
    duration{std::chrono::milliseconds{1'000}};

/// Serves one stream. Kept alive by the handlers of its pending operations.
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
        if (exchange_.finished || is_resuming_ || migrator_.is_active() ||
            stopped_)
        {
            drained_while_resuming_ = is_resuming_;
            return 0;
        }
        if (backup_.is_usable())
        {
            // The run resumes from its backup when the replica terminates it.
            // That uses no bandwidth of the draining replica's link.
            exchange_.state.log.request(
                exchange_.request.id, "not migrated: has a backup",
                {{"replica", target_.id}, {"copy_at", backup_.holder()->id}});
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
            this->weak_from_this(), target_, now,
            migration_time(*traits, tokens_ahead));
        return held_tokens();
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
        , capacity_timer_(state.loop)
        , size_(exchange_.request.generation.value_or(generation_size{}))
        , expected_output_(relay::expected_output(
              state.output_lengths.curve(length_key()), size_))
    {}

    /// Key of the learned output lengths: streams of one route are assumed to
    /// be alike in length.
    [[nodiscard]] auto length_key() const -> stream_kind
    {
        return {service_name{exchange_.granted.route->name}, customer_id{}};
    }

    auto begin() -> void
    {
        auto const self = this->shared_from_this();
        exchange_.set_handlers(
            self, [self] { self->caller_disconnected(); },
            [weak = this->weak_from_this()](interruption why) {
                if (auto const held = weak.lock())
                {
                    held->interrupted(why);
                }
            });
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

    /// The same, without the replicas that state limits: a run can't be resumed
    /// there at any time.
    [[nodiscard]] auto unlimited_need() const -> placement_need
    {
        auto requirement = need();
        requirement.excluded.merge(
            exchange_.state.gate.limits().limited_replicas());
        return requirement;
    }

    /// KV cache memory that the run holds, in tokens.
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
        if (exchange_.is_poisoned())
        {
            interrupted(interruption::poison);
            return;
        }
        auto const now = telemetry::monotonic_now();
        if (exchange_.remaining(now) < min_attempt_time)
        {
            give_up(refusal_reason::deadline, 504, "no time is left");
            return;
        }
        if (!exchange_.may_have_run() && exchange_.must_forward(now))
        {
            forward(now);
            return;
        }
        auto const chosen = exchange_.choose(need(), exchange_.engine(), now);
        auto const to = chosen ? address_of(chosen->target) : std::nullopt;
        auto const waited = now - exchange_.started_at;
        if (!to)
        {
            // New connections may fail although older ones still carry
            // responses.
            if (exchange_.may_wait_for_open_replica(now))
            {
                wait_for_capacity(waited);
            }
            else if (exchange_.is_out_of_reach(now))
            {
                forward(now);
            }
            else if (!exchange_.refuse_if_none_takes_it(now))
            {
                give_up(refusal_reason::no_replica, 502, "no replica is left");
            }
            return;
        }
        auto& pace = exchange_.state.prefill_pace_of(exchange_.service);
        auto const tokens_ahead = chosen->pending_prefill_tokens + size_.prompt;
        auto const estimate = dispatch_estimate{
            waited, exchange_.granted.route->target_latency,
            pace.time_for(tokens_ahead), chosen->memory_share};
        if (!should_dispatch(estimate))
        {
            wait_for_capacity(waited);
            return;
        }
        if (!exchange_.may_send(now))
        {
            give_up(refusal_reason::retry_budget, 502, "no retry is left");
            return;
        }
        auto const permitted = exchange_.state.gate.take(
            chosen->target.id, permit_use::request, now);
        if (permitted != permission::granted)
        {
            wait_for_capacity(waited);
            return;
        }
        log_sent(*chosen, estimate);
        tokens_ahead_ = tokens_ahead;
        ++exchange_.sends;
        ++exchange_.runs;
        send(chosen->target, *to, std::nullopt);
    }

    /// Has a peer serve the request; a retry if a replica had it already.
    auto forward(time_point now) -> void
    {
        if (!exchange_.may_send(now))
        {
            give_up(refusal_reason::retry_budget, 502, "no retry is left");
            return;
        }
        capacity_timer_.cancel();
        unregister_stream();
        load_.release();
        backup_.release();
        forwarded_exchange<Format>::start(exchange_);
    }

    /// Tries again after a short random delay; gives up after
    /// `max_wait_for_capacity`.
    auto wait_for_capacity(duration waited) -> void
    {
        if (waited >= max_wait_for_capacity)
        {
            give_up(refusal_reason::overload, 502, "no replica has room");
            return;
        }
        auto spread = std::uniform_real_distribution<double>{0.6, 1.4};
        capacity_timer_.expires_after(std::chrono::duration_cast<duration>(
            capacity_poll_interval * spread(exchange_.state.random)));
        capacity_timer_.async_wait(
            [self = this->shared_from_this()](std::error_code error) {
                if (!error && !self->exchange_.finished)
                {
                    self->attempt();
                }
            });
    }

    auto log_sent(placement const& chosen, dispatch_estimate const& estimate)
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
             {"unseen", chosen.unseen_requests},
             {"prompt_tokens", size_.prompt},
             {"expected_tokens", expected_output_},
             {"attempt", exchange_.sends + 1},
             {"unread_tokens", chosen.pending_prefill_tokens},
             {"expected_start", estimate.expected_start},
             {"waited", estimate.waited},
             {"left",
              exchange_.remaining(exchange_.started_at + estimate.waited)}});
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
        sent_at_ = now;
        register_stream();
        auto const memory = need().memory_tokens;
        splitter_ = {};
        head_.reset();
        source_ended_ = false;
        ended_between_events_ = false;
        backup_.choose(
            {unlimited_need(), target_, expected_output_}, exchange_.engine(),
            now);
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
            stream_call_options(),
            {[self](http::response_head const& head) {
                 self->handle_head(head);
             },
             [self](std::string const& body) { self->receive(body); },
             [self] { self->source_completed(); },
             [self](call_failure const& why) {
                 self->source_failed(why);
             }});
    }

    static auto stream_call_options() -> call_options
    {
        auto options = call_options{};
        options.max_body_bytes = unlimited_body;
        return options;
    }

    /// Resumes a run whose replica is lost from its backup; returns false if
    /// that is not possible.
    auto resume_from_backup(time_point now) -> bool
    {
        auto const* const held = backup_.listed_holder();
        auto const to = held ? address_of(*held) : std::nullopt;
        if (!to || !events_.last_number())
        {
            return false;
        }
        auto const next = replica{*held};
        exchange_.state.log.request(
            exchange_.request.id, "resumes from its backup",
            {{"replica", target_.id},
             {"copy_at", next.id},
             {"events", events_.count()},
             {"silent", time_since_last_event(now)}});
        exchange_.excluded.insert(target_.id);
        migrator_.cancel();
        stopped_.reset();
        kept_at_source_.reset();
        is_resuming_ = true;
        resume_at(
            next,
            fmt::format("{}/{}", host_and_port(next), exchange_.request.id));
        return true;
    }

    auto register_stream() -> void
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

    auto handle_head(http::response_head const& head) -> void
    {
        head_ = head;
        exchange_.record_path_response();
        auto const answer = Format::read_response(head);
        auto const now = telemetry::monotonic_now();
        is_success_ = head.status / 100 == 2 && answer.is_signed &&
                      answer.request_id == exchange_.request.id;
        not_run_ = answer.not_run;
        is_signed_ = answer.is_signed;
        // Last, because a replica that leaves starts this run's migration.
        record_replica_state(
            exchange_.state, replica{target_}, answer, sent_at_, now);
    }

    auto receive(std::string const& body) -> void
    {
        if (!is_success_)
        {
            failure_body_ += body;
            if (failure_body_.size() > max_stray_bytes)
            {
                fail_call("the answer is no stream and does not end");
            }
            return;
        }
        auto const now = telemetry::monotonic_now();
        exchange_.record_path_response();
        for (auto const& event : splitter_.feed(body))
        {
            forward(event, now);
            if (exchange_.finished)
            {
                return;
            }
        }
        if (splitter_.is_too_long())
        {
            fail_call("an event does not end");
            return;
        }
        resume_if_stopped();
    }

    /// Closes the connection to a replica that sends bytes without end, and
    /// treats the replica as lost.
    auto fail_call(std::string_view why) -> void
    {
        // Kept until the handler that runs now has returned.
        auto const ended = std::exchange(call_, nullptr);
        if (ended)
        {
            ended->cancel();
        }
        source_failed({call_stage::answering, std::string{why}});
    }

    auto forward(raw_event const& event, time_point now) -> void
    {
        auto const place = events_.classify(event.number);
        if (place == event_order::duplicate)
        {
            stray_bytes_ += event.bytes.size();
            if (stray_bytes_ > max_stray_bytes)
            {
                abort_stream("the replica repeats events without end");
            }
            return;
        }
        if (place == event_order::after_gap)
        {
            abort_stream("an event is missing");
            return;
        }
        if (place == event_order::first)
        {
            begin_response(now);
        }
        else
        {
            exchange_.state.metrics.observe(
                relay_timing::pause, time_since_last_event(now));
        }
        record_resumption(now);
        events_.record_forwarded(event.number, now - exchange_.started_at);
        exchange_.state.metrics.add(relay_counter::stream_events);
        load_.update(
            counted_memory_tokens(size_, expected_output_, output_tokens()),
            held_tokens());
        exchange_.caller->stream(event.bytes);
        apply_backpressure();
    }

    /// Forwards the head of the response and records the time to the first
    /// event, also as a sample of the prefill rate.
    auto begin_response(time_point now) -> void
    {
        exchange_.record_output(now);
        exchange_.caller->begin_stream(
            head_->status, head_->reason, Format::response_fields(*head_));
        exchange_.state.metrics.observe(
            relay_timing::first_event, now - exchange_.started_at);
        exchange_.state.prefill_pace_of(exchange_.service)
            .add_sample(tokens_ahead_, now - sent_at_);
        load_.prefill_completed();
        exchange_.state.load_changed();
    }

    /// Time since the last event was forwarded.
    [[nodiscard]] auto time_since_last_event(time_point now) const -> duration
    {
        return now - exchange_.started_at - events_.time_to_last();
    }

    /// Records the pause before the first event from the replica that resumed
    /// the run.
    auto record_resumption(time_point now) -> void
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
            {{"replica", target_.id},
             {"pause", time_since_last_event(now)},
             {"events", events_.count()}});
        if (drained_while_resuming_)
        {
            drained_while_resuming_ = false;
            replica_leaves(now, 0);
        }
    }

    /// Pauses reading from the replica until the caller has received the
    /// buffered bytes.
    auto apply_backpressure() -> void
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
            handle_other_response(now);
            return;
        }
        auto const is_unframed = head_->ends_with_connection;
        if (is_unframed && (migrator_.is_stopping() || stopped_))
        {
            // A replica that stops a run ends its connection in the same way.
            source_ended_ = true;
            ended_between_events_ = !splitter_.has_partial();
            resume_if_stopped();
            return;
        }
        auto const has_events = events_.has_begun() && !is_resuming_;
        if (splitter_.has_partial() || (is_unframed && !has_events))
        {
            source_failed(
                {call_stage::answering,
                 has_events ? "the stream ended within an event"
                            : "the stream ended before its first event",
                 is_unframed});
            return;
        }
        complete(now);
    }

    auto complete(time_point now) -> void
    {
        exchange_.state.replicas.succeeded(target_.id);
        exchange_.record_answer(now);
        finish(now);
    }

    /// Handles a response that is not a stream.
    auto handle_other_response(time_point now) -> void
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
        auto const is_replica_failure = is_signed_ && head_->status >= 300;
        if (!is_replica_failure)
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
        if (is_resuming_)
        {
            resume_failed();
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
            resume_if_stopped();
            return;
        }
        exchange_.state.replicas.failed(target_.id, now);
        exchange_.record_path_failure(target_.id, now);
        exchange_.attribute_crash(target_, why, events_.has_begun(), now);
        exchange_.state.log.request(
            exchange_.request.id, "replica lost",
            {{"replica", target_.id},
             {"why", why.detail},
             {"stage", static_cast<int>(why.stage)},
             {"events", events_.count()}});
        if (why.stage == call_stage::connecting)
        {
            exchange_.state.metrics.add(relay_counter::connections_failed);
            if (is_resuming_)
            {
                resume_failed();
                return;
            }
            --exchange_.sends;
            exchange_.has_failed_to_connect = true;
            retry_not_run(now);
            return;
        }
        if (!resume_from_backup(now))
        {
            abort_stream(why.detail);
        }
    }

    // Migration to another replica.

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
        exchange_.excluded.insert(target_.id);
        auto requirement = unlimited_need();
        requirement.memory_zone = target_.zone;
        auto const chosen = exchange_.state.replicas.choose(
            requirement, exchange_.engine(), telemetry::monotonic_now());
        if (!chosen || !address_of(chosen->target))
        {
            return std::nullopt;
        }
        return migration_destination{chosen->target, requirement.memory_tokens};
    }

    auto migration_failed(migration_failure how) -> void
    {
        if (how == migration_failure::while_running || !source_ended_)
        {
            return;
        }
        auto const now = telemetry::monotonic_now();
        if (how == migration_failure::run_ended && ended_between_events_)
        {
            complete(now);
            return;
        }
        if (!resume_from_backup(now))
        {
            abort_stream("the run was not stopped in good order");
        }
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
            events_.last_number() >= stopped_->events_made;
        if (!source_ended_ && !has_all_events)
        {
            return;
        }
        if (auto const ended = std::exchange(call_, nullptr))
        {
            ended->cancel();
        }
        auto const run = *std::exchange(stopped_, std::nullopt);
        is_resuming_ = true;
        auto const memory =
            fmt::format("{}/{}", host_and_port(target_), run.handle);
        if (run.next.id != target_.id)
        {
            kept_at_source_ = kept_run{target_, memory, run.noticed_at};
        }
        resume_at(run.next, memory);
    }

    /// Sends the continuation once the replica's limit permits it.
    auto resume_at(replica const& next, std::string const& memory) -> void
    {
        resume_at(next, memory, telemetry::monotonic_now());
    }

    auto resume_at(
        replica const& next, std::string const& memory, time_point since)
        -> void
    {
        auto const now = telemetry::monotonic_now();
        auto const permitted =
            exchange_.state.gate.take(next.id, permit_use::running, now);
        if (permitted == permission::granted)
        {
            send(
                next, *address_of(next),
                continuation{memory, events_.last_number().value_or(0)});
            return;
        }
        if (now - since >= max_wait_for_resume_permit)
        {
            resume_failed();
            return;
        }
        capacity_timer_.expires_after(open_replica_poll_interval);
        capacity_timer_.async_wait([self = this->shared_from_this(), next,
                                    memory, since](std::error_code error) {
            if (!error && !self->exchange_.finished)
            {
                self->resume_at(next, memory, since);
            }
        });
    }

    /// Resumes a run that its destination has not taken at the source that
    /// stopped it, while that still accepts requests.
    auto resume_failed() -> void
    {
        auto const now = telemetry::monotonic_now();
        auto const kept = std::exchange(kept_at_source_, std::nullopt);
        if (kept && may_return_to_source(
                        now - kept->noticed_at, exchange_.state.drain_limit))
        {
            exchange_.state.log.request(
                exchange_.request.id, "resumes at its source",
                {{"replica", target_.id}, {"source", kept->source.id}});
            failure_body_.clear();
            exchange_.excluded.insert(target_.id);
            // The source still leaves, so that the run migrates again.
            drained_while_resuming_ = true;
            resume_at(kept->source, kept->memory);
            return;
        }
        abort_stream("the run was not taken where it moved to");
    }

    // Completion and failure.

    auto end(time_point now) -> void
    {
        exchange_.finished = true;
        exchange_.deadline_timer.cancel();
        capacity_timer_.cancel();
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
                length_key(), {0, output_tokens(), is_complete_}, now);
        }
    }

    auto finish(time_point now) -> void
    {
        is_complete_ = true;
        end(now);
        exchange_.state.replicas.record_service_time(
            target_.service, now - sent_at_);
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

    /// Ends a stream that can't be resumed: with an error status if the caller
    /// has received nothing, else by aborting the connection, so that the
    /// stream does not look complete.
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
             {"continuing", is_resuming_},
             {"events", events_.count()},
             {"after", now - exchange_.started_at}});
        exchange_.caller->abort();
    }

    /// Ends a request for which the caller has received nothing.
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

    /// Records that the replica has not responded to a request that ends now
    /// for another reason.
    auto record_silence() -> void
    {
        auto const now = telemetry::monotonic_now();
        auto const is_silent =
            call_ && !head_ && now - sent_at_ >= min_silence_of_stream;
        if (is_silent)
        {
            exchange_.record_path_failure(target_.id, now);
        }
    }

    auto interrupted(interruption why) -> void
    {
        if (exchange_.finished)
        {
            return;
        }
        record_silence();
        auto const outcome = outcome_of(why);
        if (events_.has_begun())
        {
            // A run that has produced output is not the one that crashes.
            if (why != interruption::poison)
            {
                abort_stream(outcome.detail);
            }
            return;
        }
        give_up(outcome.refusal, outcome.status, outcome.detail);
    }

    auto caller_disconnected() -> void
    {
        if (exchange_.finished)
        {
            return;
        }
        record_silence();
        auto const now = telemetry::monotonic_now();
        end(now);
        exchange_.state.metrics.add(relay_counter::callers_gone);
        exchange_.state.log.request(
            exchange_.request.id, "caller disconnected",
            {{"replica", target_.id},
             {"events", events_.count()},
             {"after", now - exchange_.started_at}});
    }

    exchange exchange_;
    stream_load load_;
    run_backup backup_;
    event_sequence events_;
    run_migrator<Format> migrator_;
    asio::steady_timer capacity_timer_;
    generation_size size_;
    double expected_output_;
    std::shared_ptr<upstream_call> call_;
    replica target_;
    std::optional<http::response_head> head_;
    event_splitter splitter_;
    std::string failure_body_;
    /// Bytes of events that the caller had received already.
    std::size_t stray_bytes_ = 0;
    time_point sent_at_{};
    /// Prompt tokens that the replica had to process before the first event.
    double tokens_ahead_ = 0;
    /// Set while the last events of a stopped run are awaited.
    std::optional<stopped_run> stopped_;
    /// The stopped run at its source, until another replica has resumed it.
    std::optional<kept_run> kept_at_source_;
    /// Whether the run was sent to another replica and has produced no event
    /// there yet.
    bool is_resuming_ = false;
    bool is_success_ = false;
    bool is_signed_ = false;
    bool not_run_ = false;
    bool source_ended_ = false;
    /// Whether a stream without framing ended where it may be complete.
    bool ended_between_events_ = false;
    bool drained_while_resuming_ = false;
    bool is_complete_ = false;
};

} // namespace sapphirereel::relay

#endif
