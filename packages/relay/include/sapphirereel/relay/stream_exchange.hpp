/// \file
/// Defines the exchange of a stream: complete events are forwarded as they
/// arrive, and the run resumes on another replica when its replica drains or is
/// lost. Where its route permits that, it is sent again from the last event.
#ifndef SAPPHIREREEL_RELAY_STREAM_EXCHANGE_HPP
#define SAPPHIREREEL_RELAY_STREAM_EXCHANGE_HPP

#include "sapphirereel/relay/event_splitter.hpp"
#include "sapphirereel/relay/exchange.hpp"
#include "sapphirereel/relay/forwarded_exchange.hpp"
#include "sapphirereel/relay/room_wait.hpp"
#include "sapphirereel/relay/stream_demand.hpp"
#include "sapphirereel/relay/stream_load.hpp"
#include "sapphirereel/relay/stream_pace.hpp"
#include "sapphirereel/relay/stream_position.hpp"
#include "sapphirereel/relay/stream_resumption.hpp"

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

/// Serves one stream. Kept alive by the handlers of its pending operations.
template <message_format Format>
class stream_exchange final
    : public leaving_listener,
      private resuming_stream,
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
        return resumption_.replica_leaves(now, tokens_ahead);
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
        , events_(exchange_.request.last_event)
        , demand_(exchange_, events_)
        , pace_(exchange_, demand_)
        , resumption_(exchange_, *this)
        , capacity_timer_(state.loop)
        , room_(exchange_, {demand_.counted_tokens(), demand_.prompt_tokens()})
    {}

    auto begin() -> void
    {
        auto const self = this->shared_from_this();
        resumption_.set_owner(self);
        exchange_.set_handlers(
            self, [self] { self->caller_disconnected(); },
            [weak = this->weak_from_this()](interruption why) {
                if (auto const held = weak.lock())
                {
                    held->interrupted(why);
                }
            });
        record_position();
        room_.record_arrival(exchange_.started_at);
        attempt();
    }

    [[nodiscard]] auto may_resume() const -> bool
    {
        return exchange_.granted.route->may_resume;
    }

    /// Records that the caller resumes a stream.
    auto record_position() -> void
    {
        if (!exchange_.request.last_event)
        {
            return;
        }
        exchange_.state.metrics.add(relay_counter::positions_received);
        exchange_.state.log.request(
            exchange_.request.id, "the caller resumes a stream",
            {{"last_event", *exchange_.request.last_event}});
    }

    [[nodiscard]] auto unlimited_need() const -> placement_need override
    {
        auto requirement = demand_.placement();
        requirement.excluded.merge(
            exchange_.state.gate.limits().limited_replicas());
        return requirement;
    }

    [[nodiscard]] auto held_tokens() const -> double override
    {
        return demand_.held_tokens();
    }

    auto attempt() -> void
    {
        // The attempt takes the place of one that a timer has scheduled.
        ++capacity_wait_;
        if (exchange_.is_poisoned())
        {
            auto const outcome = exchange_.outcome_of(interruption::poison);
            give_up(outcome.refusal, outcome.status, outcome.detail);
            return;
        }
        auto const now = telemetry::monotonic_now();
        if (exchange_.remaining(now) < min_attempt_time)
        {
            give_up(refusal_reason::deadline, 504, "no time is left");
            return;
        }
        if (exchange_.is_too_late_to_begin(now))
        {
            interrupted(interruption::stop);
            return;
        }
        if (exchange_.refuse_if_evacuated())
        {
            room_.release();
            return;
        }
        if (!exchange_.may_have_run() && exchange_.must_forward(now))
        {
            forward(now);
            return;
        }
        // A caller that has received events leaves at the first long pause.
        if (!events_.has_begun() && room_.must_wait(now))
        {
            hold(now);
            return;
        }
        auto const chosen =
            exchange_.choose(demand_.placement(), exchange_.engine(), now);
        auto const to = chosen ? address_of(chosen->target) : std::nullopt;
        auto const waited = now - exchange_.waiting_since;
        if (!to)
        {
            // New connections may fail although older ones still carry
            // responses.
            if (exchange_.may_wait_for_open_replica(now))
            {
                room_.release();
                wait_for_capacity(waited);
            }
            else if (exchange_.is_out_of_reach(now))
            {
                forward(now);
            }
            else if (exchange_.refuse_if_none_takes_it(now))
            {
                room_.release();
            }
            else
            {
                give_up(refusal_reason::no_replica, 502, "no replica is left");
            }
            return;
        }
        auto& pace = exchange_.state.prefill_pace_of(exchange_.service);
        auto const tokens_ahead =
            chosen->pending_prefill_tokens + demand_.prompt_tokens();
        auto const estimate = dispatch_estimate{
            waited, exchange_.granted.route->target_latency,
            pace.time_for(tokens_ahead), chosen->memory_share,
            room_.reserved_share(now)};
        // A caller that has received events leaves at the first long pause.
        if (!events_.has_begun() &&
            pace_.waits_for_pace(chosen->target, estimate, now))
        {
            room_.release();
            wait_for_capacity(waited);
            return;
        }
        if (!should_dispatch(estimate))
        {
            room_.record_no_room(now);
            hold(now);
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
            room_.release();
            wait_for_capacity(waited);
            return;
        }
        log_sent(*chosen, estimate);
        room_.record_sent(now);
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
        room_.release();
        unregister_stream();
        load_.release();
        resumption_.release();
        forwarded_exchange<Format>::start(exchange_);
    }

    /// Queues the stream for a replica with room; refuses it if it can't start
    /// while its caller waits.
    auto hold(time_point now) -> void
    {
        room_.hold([weak = this->weak_from_this()] {
            auto const self = weak.lock();
            if (self && !self->exchange_.finished)
            {
                self->attempt();
            }
        });
        if (auto const wait = room_.futile_wait(now))
        {
            exchange_.state.metrics.add(relay_counter::streams_without_room);
            give_up(
                refusal_reason::overload, 502, "no replica has room in time",
                wait);
            return;
        }
        wait_for_capacity(now - exchange_.waiting_since);
    }

    /// Tries again after a short random delay; gives up after
    /// `max_wait_for_capacity`, or later if streams of several priorities wait.
    auto wait_for_capacity(duration waited) -> void
    {
        auto const now = exchange_.waiting_since + waited;
        if (waited >= room_.longest_wait(max_wait_for_capacity, now))
        {
            give_up(
                refusal_reason::overload, 502, "no replica has room",
                room_.expected_wait(now));
            return;
        }
        auto spread = std::uniform_real_distribution<double>{0.6, 1.4};
        auto const number = ++capacity_wait_;
        capacity_timer_.expires_after(std::chrono::duration_cast<duration>(
            capacity_poll_interval * spread(exchange_.state.random)));
        capacity_timer_.async_wait(
            [self = this->shared_from_this(), number](std::error_code error) {
                // An attempt in another stream's turn may have sent the request
                // while this handler was queued; it must not be sent twice.
                if (!error && !self->exchange_.finished &&
                    number == self->capacity_wait_ &&
                    !self->room_.attempt_in_order(telemetry::monotonic_now()))
                {
                    self->attempt();
                }
            });
    }

    auto log_sent(placement const& chosen, dispatch_estimate const& estimate)
        -> void
    {
        exchange_.log_step(
            "sent", {{"replica", chosen.target.id},
                     {"service", exchange_.service},
                     {"route", exchange_.granted.route->name},
                     {"configuration",
                      exchange_.granted.table->configuration().version},
                     {"score", chosen.score},
                     {"memory_share", chosen.memory_share},
                     {"candidates", chosen.candidates},
                     {"unseen", chosen.unseen_requests},
                     {"prompt_tokens", demand_.prompt_tokens()},
                     {"expected_tokens", demand_.expected_output()},
                     {"attempt", exchange_.sends + 1},
                     {"unread_tokens", chosen.pending_prefill_tokens},
                     {"expected_start", estimate.expected_start},
                     {"waited", estimate.waited},
                     {"left", exchange_.remaining(
                                  exchange_.waiting_since + estimate.waited)}});
    }

    /// Sends the request, or its continuation, to a replica.
    auto send(
        replica const& target,
        asio::ip::tcp::endpoint const& to,
        std::optional<continuation> resumed) -> void
    {
        auto const now = telemetry::monotonic_now();
        unregister_stream();
        pace_.end_run(target_);
        pace_.record_sent(target);
        target_ = target;
        sent_at_ = now;
        exchange_.record_path_attempt(now);
        register_stream();
        auto const memory = demand_.counted_tokens();
        splitter_ = {};
        head_.reset();
        proof_ = response_proof::nothing;
        has_replica_responded_ = false;
        failure_body_.clear();
        auto const position = resumed ? std::nullopt : events_.last_number();
        if (may_resume())
        {
            events_.begin_run();
        }
        resumption_.begin_run(target_, demand_.expected_output(), now);
        auto const& backup = resumption_.backup_holder();
        load_.place(
            target.id, {1, memory, resumed ? 0 : demand_.prompt_tokens(),
                        backup ? 0 : held_tokens()});
        exchange_.state.work_placed();
        auto const backup_address =
            backup ? std::optional{host_and_port(*backup)} : std::nullopt;
        auto const self = this->shared_from_this();
        call_ = exchange_.state.pool.start(
            to,
            Format::write_call(
                exchange_.request,
                {target.id, exchange_.remaining(now),
                 exchange_.granted.customer, std::move(resumed), backup_address,
                 position}),
            stream_call_options(),
            {[self](http::response_head const& head) {
                 self->handle_head(head);
             },
             [self](std::string const& body) { self->receive(body); },
             [self] { self->source_completed(); },
             [self](call_failure const& why) { self->source_failed(why); },
             [self](http::response_head const& head) {
                 return self->examine(head);
             },
             [self] {
                 return self->is_success() && !self->splitter_.has_partial();
             }});
    }

    [[nodiscard]] auto stream_call_options() const -> call_options
    {
        auto options = call_options{};
        options.request_id = exchange_.request.id;
        options.max_body_bytes = unlimited_body;
        return options;
    }

    [[nodiscard]] auto source() const -> replica const& override
    {
        return target_;
    }

    [[nodiscard]] auto sent_at() const -> time_point override
    {
        return sent_at_;
    }

    [[nodiscard]] auto events() const -> event_sequence const& override
    {
        return events_;
    }

    auto end_call() -> void override
    {
        if (auto const ended = std::exchange(call_, nullptr))
        {
            ended->cancel();
        }
    }

    auto send_continuation(replica const& to, continuation const& resumed)
        -> void override
    {
        send(to, *address_of(to), resumed);
    }

    auto run_lost(std::string_view why) -> void override
    {
        if (!send_again(why))
        {
            abort_stream(why);
        }
    }

    auto run_undecided(std::string_view why) -> void override
    {
        abort_stream(fmt::format("{}; its replica may still work on it", why));
    }

    /// Where the request is sent again from; none if it may not be.
    [[nodiscard]] auto position_to_send_again() const
        -> tl::expected<std::optional<std::uint64_t>, resume_obstacle>
    {
        return next_position(
            {may_resume(), exchange_.runs, exchange_.granted.max_attempts,
             events_.has_begun(), events_.last_number()});
    }

    [[nodiscard]] auto may_be_sent_again() const -> bool override
    {
        return position_to_send_again().has_value();
    }

    /// Sends the request again, to continue after the last event, where its
    /// route permits that; returns false if it does not.
    auto send_again(std::string_view why) -> bool
    {
        auto const position = position_to_send_again();
        if (!position)
        {
            return false;
        }
        exchange_.state.log.request(
            exchange_.request.id, "sent again",
            {{"replica", target_.id},
             {"why", std::string{why}},
             {"last_event", position->value_or(0)},
             {"events", events_.count()},
             {"runs", exchange_.runs}});
        exchange_.state.metrics.add(relay_counter::streams_sent_again);
        end_call();
        resumption_.reset();
        unregister_stream();
        load_.release();
        exchange_.state.load_changed();
        exchange_.excluded.insert(target_.id);
        stray_bytes_ = 0;
        is_sent_again_ = events_.has_begun();
        if (is_sent_again_)
        {
            exchange_.waiting_since = telemetry::monotonic_now();
        }
        attempt();
        return true;
    }

    auto register_stream() -> void
    {
        is_registered_ = true;
        exchange_.state.streams[target_.id].insert(this);
    }

    auto unregister_stream() -> void
    {
        // The event loop may hold an ended stream longer than the state exists.
        if (!std::exchange(is_registered_, false))
        {
            return;
        }
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

    auto examine(http::response_head const& head) -> response_use
    {
        has_replica_responded_ = true;
        proof_ = exchange_.examine(
            target_, head, Format::read_response(head), *call_);
        return use_of(proof_);
    }

    [[nodiscard]] auto is_success() const -> bool
    {
        return proof_ == response_proof::succeeded;
    }

    auto handle_head(http::response_head const& head) -> void
    {
        head_ = head;
        auto const answer = Format::read_response(head);
        auto const now = telemetry::monotonic_now();
        // Last, because a replica that leaves starts this run's migration.
        record_replica_state(
            exchange_.state, replica{target_}, answer, sent_at_, now);
    }

    auto receive(std::string const& body) -> void
    {
        if (!is_success())
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
        resumption_.resume_if_stopped();
    }

    /// Closes the connection to a replica that sends bytes without end, and
    /// treats the replica as lost.
    auto fail_call(std::string_view why) -> void
    {
        // Kept until the handler that runs now has returned.
        auto const ended = call_;
        end_call();
        source_failed({call_stage::answering, std::string{why}, false, true});
    }

    auto forward(raw_event const& event, time_point now) -> void
    {
        switch (action_for(events_, event, may_resume()))
        {
        case block_action::forward:
            forward_event(event, now);
            return;
        case block_action::pass_on:
            exchange_.caller->stream(event.bytes);
            apply_backpressure();
            return;
        case block_action::drop:
            stray_bytes_ += event.bytes.size();
            if (stray_bytes_ > max_stray_bytes)
            {
                abort_stream("the replica repeats events without end");
            }
            return;
        case block_action::abort_after_gap:
            abort_stream("an event is missing");
            return;
        case block_action::abort_unnumbered:
            abort_stream("an event after a position has no number");
            return;
        }
    }

    auto forward_event(raw_event const& event, time_point now) -> void
    {
        if (!events_.has_begun())
        {
            begin_response(now);
        }
        else
        {
            exchange_.state.metrics.observe(
                relay_timing::pause, time_since_last_event(now));
            if (!resumption_.is_resuming() && !is_sent_again_)
            {
                pace_.add_pause(time_since_last_event(now));
            }
        }
        record_continuation(now);
        resumption_.record_event(now);
        events_.record_forwarded(event.number, now - exchange_.started_at);
        exchange_.state.metrics.add(relay_counter::stream_events);
        load_.update(demand_.counted_tokens(), held_tokens());
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
        // Events that were sent again took time besides the prompt.
        if (stray_bytes_ == 0)
        {
            exchange_.state.prefill_pace_of(exchange_.service)
                .add_sample(tokens_ahead_, now - sent_at_);
        }
        load_.prefill_completed();
        exchange_.state.load_changed();
    }

    /// Records the first event of a run that continues after the last event of
    /// a lost one.
    auto record_continuation(time_point now) -> void
    {
        if (!std::exchange(is_sent_again_, false))
        {
            return;
        }
        exchange_.record_output(now);
        exchange_.state.metrics.add(relay_counter::streams_resumed);
        exchange_.state.metrics.observe(
            relay_timing::move_pause, time_since_last_event(now));
        exchange_.state.log.request(
            exchange_.request.id, "continues on another replica",
            {{"replica", target_.id},
             {"pause", time_since_last_event(now)},
             {"events", events_.count()}});
        load_.prefill_completed();
        exchange_.state.load_changed();
    }

    /// Time since the last event was forwarded.
    [[nodiscard]] auto time_since_last_event(time_point now) const -> duration
    {
        return now - exchange_.started_at - events_.time_to_last();
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
        pace_.exclude_run();
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
        if (!is_success())
        {
            handle_other_response(now);
            return;
        }
        auto const is_unframed = head_->ends_with_connection;
        if (is_unframed &&
            resumption_.take_source_end(!splitter_.has_partial()))
        {
            return;
        }
        auto const has_events =
            events_.has_run_begun() && !resumption_.is_resuming();
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

    auto complete(time_point now) -> void override
    {
        exchange_.state.replicas.succeeded(target_.id);
        exchange_.record_answer(now);
        finish(now);
    }

    /// Handles a response that is not a stream.
    auto handle_other_response(time_point now) -> void
    {
        load_.release();
        if (proof_ == response_proof::not_executed)
        {
            exchange_.state.metrics.add(relay_counter::replica_rejections);
            retry_not_run(now);
            return;
        }
        auto const is_replica_failure = proof_ == response_proof::failed;
        auto const is_final = is_replica_failure && head_->status < 500 &&
                              !resumption_.is_resuming();
        if (is_replica_failure && !is_final && !events_.has_begun())
        {
            fallback_ = http::response{*head_, failure_body_};
        }
        if (!is_replica_failure && may_be_sent_again())
        {
            // The request itself may still run.
            resumption_.continue_lost_run("the answer is no stream");
            return;
        }
        if (!is_final && send_again("the answer is no stream"))
        {
            return;
        }
        if (events_.has_begun())
        {
            abort_stream("the run was not continued");
            return;
        }
        if (!is_replica_failure)
        {
            give_up(
                refusal_reason::no_replica, 502,
                "the answer is not the replica's answer to this request");
            return;
        }
        respond({*head_, failure_body_}, now);
    }

    /// Passes a replica's failure on.
    auto respond(http::response const& failure, time_point now) -> void
    {
        end(now);
        exchange_.state.metrics.add(relay_counter::answers);
        exchange_.log_step(
            "answered", {{"replica", target_.id},
                         {"status", failure.head.status},
                         {"after", now - exchange_.started_at}});
        exchange_.caller->respond(
            failure.head.status, Format::response_fields(failure.head),
            failure.body);
    }

    auto retry_not_run(time_point now) -> void
    {
        if (resumption_.is_resuming())
        {
            resumption_.resume_failed();
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
        if (resumption_.take_source_end(false))
        {
            return;
        }
        exchange_.state.replicas.failed(target_.id, now);
        if (why.shows_path)
        {
            exchange_.record_path_response();
        }
        else
        {
            exchange_.record_path_failure(target_.id, now);
        }
        auto const has_output =
            events_.has_begun() &&
            (events_.has_run_begun() || resumption_.is_resuming());
        exchange_.attribute_crash(target_, why, has_output, now);
        exchange_.state.log.request(
            exchange_.request.id, "replica lost",
            {{"replica", target_.id},
             {"why", why.detail},
             {"stage", static_cast<int>(why.stage)},
             {"events", events_.count()}});
        if (why.stage == call_stage::connecting)
        {
            exchange_.state.metrics.add(relay_counter::connections_failed);
            if (resumption_.is_resuming())
            {
                resumption_.resume_failed();
                return;
            }
            --exchange_.sends;
            exchange_.has_failed_to_connect = true;
            retry_not_run(now);
            return;
        }
        resumption_.continue_lost_run(why.detail);
    }

    // Completion and failure.

    auto end(time_point now) -> void
    {
        exchange_.finished = true;
        exchange_.deadline_timer.cancel();
        capacity_timer_.cancel();
        room_.release();
        resumption_.release();
        pace_.end_run(target_);
        unregister_stream();
        load_.release();
        exchange_.state.load_changed();
        if (call_)
        {
            call_->cancel();
        }
        if (events_.has_begun())
        {
            exchange_.state.output_lengths.record(
                demand_.length_key(),
                {0, demand_.output_tokens(), is_complete_}, now);
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
        exchange_.log_step(
            "answered", {{"replica", target_.id},
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
             {"continuing", resumption_.is_resuming() || is_sent_again_},
             {"events", events_.count()},
             {"after", now - exchange_.started_at}});
        exchange_.caller->abort();
    }

    /// Ends a request that no replica completes: with the last failure that a
    /// replica answered, else with an error, if the caller has received
    /// nothing.
    auto give_up(
        refusal_reason why,
        int status,
        std::string_view detail,
        std::optional<duration> retry_after = std::nullopt) -> void
    {
        if (events_.has_begun())
        {
            abort_stream(detail);
            return;
        }
        if (fallback_)
        {
            respond(*fallback_, telemetry::monotonic_now());
            return;
        }
        auto const may_have_run = exchange_.may_have_run();
        end(telemetry::monotonic_now());
        exchange_.finished = false;
        if (may_have_run)
        {
            exchange_.fail(status, detail);
        }
        else
        {
            exchange_.refuse(
                why,
                retry_after
                    ? std::optional{exchange_.retry_after_for(*retry_after)}
                    : std::nullopt);
        }
    }

    /// Records that the replica has not responded to a request that ends now
    /// for another reason.
    auto record_silence() -> void
    {
        auto const now = telemetry::monotonic_now();
        auto const is_silent = call_ && !has_replica_responded_ &&
                               now - sent_at_ >= min_silence_of_stream;
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
        auto const outcome = exchange_.outcome_of(why);
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
    event_sequence events_;
    stream_demand demand_;
    stream_pace pace_;
    stream_resumption<Format> resumption_;
    asio::steady_timer capacity_timer_;
    room_wait room_;
    /// Number of the attempt that the capacity timer has scheduled last.
    std::uint64_t capacity_wait_ = 0;
    std::shared_ptr<upstream_call> call_;
    replica target_;
    std::optional<http::response_head> head_;
    /// What the response proves.
    response_proof proof_ = response_proof::nothing;
    event_splitter splitter_;
    std::string failure_body_;
    /// A replica's failure of a request that was sent again.
    std::optional<http::response> fallback_;
    /// Bytes of events that the caller had received already.
    std::size_t stray_bytes_ = 0;
    time_point sent_at_{};
    /// Prompt tokens that the replica had to process before the first event.
    double tokens_ahead_ = 0;
    /// Whether the run was sent to continue after the last event, without a
    /// copy, and has produced no event yet.
    bool is_sent_again_ = false;
    bool is_complete_ = false;
    /// Whether the replica has written a response since the run was sent to it.
    bool has_replica_responded_ = false;
    /// Whether this is notified when its replica leaves.
    bool is_registered_ = false;
};

} // namespace sapphirereel::relay

#endif
