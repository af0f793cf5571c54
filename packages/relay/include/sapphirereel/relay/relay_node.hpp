/// \file
/// Defines the relay daemon: its listeners, the admission of requests, the
/// synchronization with log and peers, and the planned stop.
#ifndef SAPPHIREREEL_RELAY_RELAY_NODE_HPP
#define SAPPHIREREEL_RELAY_RELAY_NODE_HPP

#include "sapphirereel/core/containment.hpp"
#include "sapphirereel/relay/address_selection.hpp"
#include "sapphirereel/relay/buffered_exchange.hpp"
#include "sapphirereel/relay/caller_intake.hpp"
#include "sapphirereel/relay/cluster_sync.hpp"
#include "sapphirereel/relay/copy_server.hpp"
#include "sapphirereel/relay/forward_target.hpp"
#include "sapphirereel/relay/listener.hpp"
#include "sapphirereel/relay/peer_gossip.hpp"
#include "sapphirereel/relay/report_content.hpp"
#include "sapphirereel/relay/service_paths.hpp"
#include "sapphirereel/relay/stop_policy.hpp"
#include "sapphirereel/relay/stream_exchange.hpp"

#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace sapphirereel::relay {

/// Interval of the periodic work: reports, expirations, cleanup.
inline constexpr auto tick_interval = duration{std::chrono::milliseconds{50}};

/// Time from the stop request until idle callers' connections are closed.
inline constexpr auto close_idle_after =
    duration{std::chrono::milliseconds{2'500}};

/// Least time from the stop request to the exit. Callers that cache the list of
/// daemons still send requests here during this time.
inline constexpr auto min_stop_time =
    duration{std::chrono::milliseconds{4'000}};

/// Time before the stop limit at which requests in progress are cut off.
inline constexpr auto stop_margin = duration{std::chrono::milliseconds{400}};

/// Time before the stop limit at which the process exits, also if callers have
/// not received all that was sent to them.
inline constexpr auto exit_margin = duration{std::chrono::milliseconds{200}};

/// Interval at which a planned stop is advanced.
inline constexpr auto stop_check_interval =
    duration{std::chrono::milliseconds{50}};

/// Most requests served at once.
inline constexpr auto max_active_requests = std::size_t{1'500};

/// One relay daemon. `Format` parses callers' requests; `Reader` decodes
/// records of the log into the configuration and the replicas.
template <message_format Format, keyed_log Log, class Reader>
class relay_node
{
public:
    relay_node(
        asio::io_context& loop,
        relay_settings settings,
        Log& log,
        length_estimator lengths,
        std::uint64_t seed)
        : settings_(std::move(settings))
        , state_(
              loop,
              daemon_id{settings_.peers.ip},
              settings_.zone,
              settings_.retry_budget,
              std::move(lengths),
              seed)
        , peers_(
              loop,
              settings_,
              seed,
              state_.log,
              state_.metrics,
              [this] { return describe(); },
              [this] { return state_.replicas.load_of_own_zone(); },
              [this](peer_report const& report, time_point now) {
                  apply_report(report, now);
              })
        , cluster_sync_(
              state_,
              settings_,
              log,
              pieces_,
              seed,
              [this] { peers_.schedule_report(report_scope::all); })
        , copies_(state_, pieces_, settings_.link_bytes_per_second)
        , reports_(
              state_,
              peers_,
              settings_.zone,
              [this] { interrupt_requests(interruption::poison); })
        , paths_(state_, peers_, settings_.peers.port)
        , intake_(
              {settings_.memory_bytes, settings_.max_descriptors},
              state_.log,
              state_.metrics)
        , tick_(loop)
        , stop_timer_(loop)
    {
        state_.drain_limit = settings_.drain_limit;
        if (settings_.memory_bytes > 0)
        {
            state_.pool.set_buffer_limit(static_cast<std::size_t>(
                settings_.memory_bytes * buffered_share_of_memory));
        }
        state_.gate.set_cold_bounds(settings_.cold, settings_.peers.ip);
        state_.load_changed = [this] {
            peers_.schedule_report(report_scope::zone);
        };
        state_.crash_recorded = [this] {
            peers_.schedule_report(report_scope::all);
        };
        state_.work_placed = [this] {
            peers_.send_report(report_scope::mesh);
        };
        peers_.set_memory_handlers(
            [this](time_point at) { return state_.crashes.memory(at); },
            [this](crash_memory const& told, time_point at) {
                learn_crashes(told, at);
            });
        state_.limits_changed = [this] {
            peers_.schedule_report(report_scope::all);
        };
        state_.choose_peer = [this](
                                 service_name const& service,
                                 std::set<std::string> const& excluded,
                                 time_point now) {
            return paths_.choose_peer(
                {service, settings_.zone,
                 cluster_sync_.configuration_position(), excluded},
                now);
        };
        state_.path_lost = [this](service_name const& service) {
            paths_.close(service);
        };
        set_permit_handlers();
    }

    /// Ends the requests in progress, because they refer to this node's state.
    ~relay_node()
    {
        interrupt_requests(interruption::stop);
    }
    relay_node(relay_node const&) = delete;
    auto operator=(relay_node const&) -> relay_node& = delete;

    /// Opens the sockets and starts the synchronization with log and peers.
    auto start() -> tl::expected<void, std::string>
    {
        auto callers = listener::open(
            state_.loop, settings_.callers.endpoint(),
            [this](asio::ip::tcp::socket socket) {
                serve_caller(std::move(socket));
            });
        if (!callers)
        {
            return tl::unexpected(callers.error());
        }
        callers_ = std::move(*callers);
        auto control = listener::open(
            state_.loop, settings_.peers.endpoint(),
            [this](asio::ip::tcp::socket socket) {
                serve_peer(std::move(socket));
            });
        if (!control)
        {
            return tl::unexpected(control.error());
        }
        control_ = std::move(*control);
        auto datagrams = peers_.open();
        if (!datagrams)
        {
            return datagrams;
        }
        started_at_ = telemetry::monotonic_now();
        cluster_sync_.start(*started_at_);
        tick();
        return {};
    }

    /// Whether this daemon accepts callers.
    [[nodiscard]] auto is_ready() const -> bool
    {
        return state_.table != nullptr && !state_.is_stopping();
    }

    /// Whether the last calls to the platform's log succeeded.
    [[nodiscard]] auto is_log_reachable() const -> bool
    {
        return cluster_sync_.is_log_reachable();
    }

    /// Whether several calls in a row for the replicas' stream have failed.
    [[nodiscard]] auto is_log_lost() const -> bool
    {
        return cluster_sync_.is_log_lost();
    }

    /// Addresses for callers of this daemon's zone; this daemon's own if no
    /// daemon accepts callers.
    [[nodiscard]] auto caller_addresses() const -> std::vector<std::string>
    {
        auto ready = std::vector<ready_daemon>{};
        auto pathless = std::vector<ready_daemon>{};
        auto const now = telemetry::monotonic_now();
        if (is_ready())
        {
            auto const has_path = state_.paths.lost_services(now).empty();
            (has_path ? ready : pathless)
                .push_back({settings_.callers.text(), settings_.zone});
        }
        for (auto const& peer : peers_.alive(now))
        {
            if (peer.accepts_callers)
            {
                (peer.lost_services.empty() ? ready : pathless)
                    .push_back({peer.caller_address, peer.zone});
            }
        }
        // Daemons without a path serve through the others, if there are any.
        if (ready.empty())
        {
            ready = std::move(pathless);
        }
        if (ready.empty())
        {
            ready.push_back({settings_.callers.text(), settings_.zone});
        }
        return select_addresses(
            std::move(ready), settings_.zone,
            peers_.is_zoned() ? fleet_view::own_zone : fleet_view::whole);
    }

    /// Begins a planned stop; `done` is called when the process may exit.
    auto stop(std::function<void()> done) -> void
    {
        if (state_.is_stopping())
        {
            return;
        }
        on_stopped_ = std::move(done);
        auto const now = telemetry::monotonic_now();
        state_.stop = {now, now + settings_.stop_limit - stop_margin};
        state_.log.info(
            "stop", "planned stop began",
            {{"active", state_.open_exchanges->size()}});
        peers_.send_report(report_scope::unresponsive);
        check_stop();
    }

    /// Applies the settings that may change at run time: the seed addresses.
    auto reload(relay_settings const& settings) -> void
    {
        reloaded_at_ = telemetry::monotonic_now();
        settings_.seeds = settings.seeds;
        peers_.set_seeds(settings.seeds);
        state_.log.info(
            "reload", "applied the reloaded settings",
            {{"seeds", settings.seeds.size()}});
    }

    /// The connections that others have opened, on all ports of the daemon.
    [[nodiscard]] auto intake() -> caller_intake&
    {
        return intake_;
    }

    [[nodiscard]] auto state() -> relay_state&
    {
        return state_;
    }

    /// Records an exception that a handler threw and that the loop went on
    /// after.
    auto record_handler_error(std::string_view why) -> void
    {
        state_.metrics.add(relay_counter::handler_errors);
        state_.log.warning(
            "process", "a handler failed, its connection was ended",
            {{"why", std::string{why}}});
    }

private:
    // Callers.

    auto serve_caller(asio::ip::tcp::socket socket) -> void
    {
        auto const session = intake_.accept(
            std::move(socket), [this] { return limits(); },
            [this](
                std::shared_ptr<caller_session> from, http::request request) {
                serve(std::move(from), std::move(request));
            });
        session->on_incomplete([this](incomplete_session const& which) {
            record_incomplete(which, telemetry::monotonic_now());
        });
        if (state_.is_stopping() && stop_closes_idle_)
        {
            // A connection accepted this late is closed after one request.
            session->close_after_next();
        }
    }

    /// Records a connection that ended before its response was complete, with
    /// the planned work beside which that happened.
    auto record_incomplete(incomplete_session const& which, time_point now)
        -> void
    {
        state_.metrics.incomplete(which);
        state_.log.info(
            "callers", "a connection ended before its answer was complete",
            {{"by", std::string{name_of(which.ended_by)}},
             {"stage", std::string{name_of(which.stage)}},
             {"unsent_bytes", which.unsent_bytes},
             {"stopping", state_.is_stopping()},
             {"since_stop", stopping_for(now)},
             {"since_reload", since(reloaded_at_, now)},
             {"since_configuration", since(configured_at_, now)},
             {"process_age", since(started_at_, now)}});
    }

    /// Time since an event; 0 if it has not happened.
    static auto since(std::optional<time_point> event, time_point now)
        -> duration
    {
        return event ? now - *event : duration{0};
    }

    [[nodiscard]] auto limits() const -> caller_limits
    {
        return state_.table ? state_.table->configuration().limits
                            : caller_limits{};
    }

    auto serve(
        std::shared_ptr<caller_session> from,
        http::request request,
        std::optional<forward_terms> forwarded = std::nullopt) -> void
    {
        auto const is_forwarded = forwarded.has_value();
        if (state_.is_stopping())
        {
            from->close_after_next();
        }
        auto read = Format::read_request(request);
        if (!read)
        {
            from->respond(
                read.error().status, {{"Content-Type", "text/plain"}},
                read.error().detail);
            return;
        }
        auto granted = admit(state_.table, *read, telemetry::monotonic_now());
        if (!granted)
        {
            send_refusal(
                *from, granted.error(), {read->id, is_forwarded}, state_);
            return;
        }
        if (auto const invalid = check_position(*granted->route, *read))
        {
            refuse_position(*from, read->id, *invalid);
            return;
        }
        granted->is_forwarded = is_forwarded;
        if (forwarded)
        {
            granted->max_attempts = std::min(
                granted->max_attempts,
                forwarded->max_attempts.value_or(granted->max_attempts));
        }
        auto const now = telemetry::monotonic_now();
        state_.parts.record_request(read->prompt_parts, now);
        if (crashes_replicas(*read, *granted))
        {
            refuse_poison(*from, {read->id, is_forwarded});
            return;
        }
        if (state_.stop &&
            !accepts_while_stopping(
                *state_.stop, granted->route->kind, granted->deadline, now))
        {
            send_refusal(
                *from, {refusal_reason::stopping, 503, retry_elsewhere_after},
                {read->id, is_forwarded}, state_);
            return;
        }
        if (state_.open_exchanges->size() >= max_active_requests)
        {
            send_refusal(
                *from, {refusal_reason::overload, 503, std::chrono::seconds{1}},
                {read->id, is_forwarded}, state_);
            return;
        }
        // Last, so that a request that is a trial runs.
        if (has_poison_part(*read, *granted, now))
        {
            refuse_poison(*from, {read->id, is_forwarded});
            return;
        }
        if (granted->route->kind == request_kind::stream)
        {
            stream_exchange<Format>::start(
                state_, std::move(from), std::move(*read), std::move(*granted));
            return;
        }
        buffered_exchange<Format>::start(
            state_, std::move(from), std::move(*read), std::move(*granted));
    }

    /// Refuses a request whose position can't be read.
    auto refuse_position(
        caller_session& from,
        std::string const& id,
        http::request_error const& error) -> void
    {
        state_.metrics.add(relay_counter::positions_refused);
        state_.log.request(
            id, "refused, not executed",
            {{"status", error.status}, {"reason", error.detail}});
        from.respond(
            error.status, {{"Content-Type", "text/plain"}}, error.detail);
    }

    [[nodiscard]] auto crashes_replicas(
        caller_request const& request, grant const& terms) const -> bool
    {
        return state_.crashes.has_suspects() &&
               state_.crashes.is_poison(
                   request_fingerprint(request, terms.customer));
    }

    auto refuse_poison(caller_session& from, refused_request const& request)
        -> void
    {
        send_refusal(
            from, {refusal_reason::crashes_replicas, 503, poison_retry_after},
            request, state_);
    }

    /// Whether a part of the request's prompt crashes replicas; marks the
    /// request if it runs as a trial of its only such part.
    auto has_poison_part(
        caller_request const& request, grant& terms, time_point now) -> bool
    {
        auto const part = state_.parts.find_poison(request.prompt_parts);
        if (!part)
        {
            return false;
        }
        auto const is_trial =
            !state_.parts.find_poison(request.prompt_parts, part) &&
            state_.parts.take_trial(*part, state_.daemons, now);
        if (is_trial)
        {
            terms.trial_part = part;
        }
        state_.log.request(
            request.id,
            is_trial ? "trial of a part that crashed replicas"
                     : "a part of the prompt crashes replicas",
            {{"part", *part}});
        return !is_trial;
    }

    // Peers.

    auto set_permit_handlers() -> void
    {
        state_.gate.set_asker([this](permit_request const& asked) {
            peers_.request_permit(asked);
        });
        peers_.set_permit_handlers(
            [this](permit_request const& asked, permit_shares const& shares) {
                auto response = state_.gate.issue(
                    asked, shares, telemetry::monotonic_now());
                state_.metrics.add(
                    response.wait > duration{0}
                        ? relay_counter::permits_denied
                        : relay_counter::permits_issued);
                return response;
            },
            [this](permit_response const& response) {
                state_.gate.apply_response(
                    response, telemetry::monotonic_now());
            });
    }

    auto describe() -> peer_report
    {
        auto const now = telemetry::monotonic_now();
        auto report = peer_report{};
        report.caller_address = settings_.callers.text();
        report.zone = settings_.zone;
        report.accepts_callers = is_ready();
        reports_.fill(report, now);
        cluster_sync_.fill_report(report, now);
        return report;
    }

    auto apply_report(peer_report const& report, time_point now) -> void
    {
        state_.daemons = peers_.max_daemons();
        reports_.apply(report, now);
        if (cluster_sync_.apply_report(report, now))
        {
            cluster_sync_.update_reader_role(peers_.alive(now), now);
        }
    }

    /// Serves a request that a peer forwarded.
    auto serve_forwarded(
        std::shared_ptr<caller_session> const& from, http::request request)
        -> void
    {
        state_.metrics.add(relay_counter::forwards_received);
        auto const peer = std::string{
            http::find(request.fields, forwarded_by_name).value_or("")};
        auto const terms = take_forward_terms(request.fields);
        auto const read = Format::read_request(request);
        state_.log.request(
            read ? read->id : std::string{}, "received from a peer",
            {{"peer", peer}});
        serve(from, std::move(request), terms);
    }

    /// Serves forwarded requests, the metrics page and copies of the log
    /// streams.
    auto serve_peer(asio::ip::tcp::socket socket) -> void
    {
        intake_.accept(
            std::move(socket), [this] { return limits(); },
            [this](
                std::shared_ptr<caller_session> const& from,
                http::request const& request) {
                if (http::find(request.fields, forwarded_by_name))
                {
                    serve_forwarded(from, request);
                    return;
                }
                if (request.target == "/metrics")
                {
                    state_.metrics.set_load_spreads(
                        state_.replicas.load_spreads());
                    from->respond(
                        200, {{"Content-Type", "text/plain"}},
                        state_.metrics.page());
                    return;
                }
                serve_copies(*from, request);
            });
    }

    /// Serves copies of the log's streams, and pieces of them.
    auto serve_copies(caller_session& from, http::request const& request)
        -> void
    {
        auto const now = telemetry::monotonic_now();
        if (auto const asked = read_piece_path(request.target))
        {
            copies_.send_pieces(from, *asked, now);
            return;
        }
        auto const asked = read_copy_path(request.target);
        if (!asked)
        {
            from.respond(404, {}, {});
            return;
        }
        copies_.send_copy(
            from, cluster_sync_.requested_copy(*asked),
            http::find(request.fields, reads_outlines_field).has_value(), now);
    }

    /// Records crashes that happened before this daemon started.
    auto learn_crashes(crash_memory const& told, time_point now) -> void
    {
        if (!state_.crashes.learn(told, now))
        {
            return;
        }
        state_.log.info(
            "crashes", "learned of earlier crashes",
            {{"crashes", told.crashes.size()},
             {"clearances", told.clearances.size()}});
    }

    // Periodic work.

    auto tick() -> void
    {
        run_then(
            [this] { work_periodically(telemetry::monotonic_now()); },
            [this] {
                tick_.expires_after(tick_interval);
                tick_.async_wait([this](std::error_code error) {
                    if (!error)
                    {
                        tick();
                    }
                });
            });
    }

    auto work_periodically(time_point now) -> void
    {
        if (peers_.report_if_due(now))
        {
            cluster_sync_.update_reader_role(peers_.alive(now), now);
        }
        state_.pool.expire(now);
        intake_.remove_closed();
        note_configuration(now);
        state_.crashes.expire(now);
        state_.gate.expire(now);
        state_.gate.set_reachable_share(peers_.reachable_share(now));
        state_.paths.expire(now);
        paths_.try_lost(now);
        reports_.update_parts(now);
        cluster_sync_.tick(now);
    }

    /// Records when the configuration in force last changed.
    auto note_configuration(time_point now) -> void
    {
        if (state_.table != noted_table_)
        {
            noted_table_ = state_.table;
            configured_at_ = now;
        }
    }

    // Planned stop.

    /// Time since the stop request; 0 if there was none.
    [[nodiscard]] auto stopping_for(time_point now) const -> duration
    {
        return state_.stop ? now - state_.stop->began : duration{0};
    }

    auto check_stop() -> void
    {
        auto is_done = false;
        run_then(
            [&] { is_done = advance_stop(telemetry::monotonic_now()); },
            [&] {
                if (!is_done)
                {
                    schedule_stop_check();
                }
            });
    }

    auto schedule_stop_check() -> void
    {
        stop_timer_.expires_after(stop_check_interval);
        stop_timer_.async_wait([this](std::error_code error) {
            if (!error)
            {
                check_stop();
            }
        });
    }

    /// Does what is due in a planned stop; returns whether it has ended.
    auto advance_stop(time_point now) -> bool
    {
        auto const elapsed = stopping_for(now);
        if (elapsed >= close_idle_after &&
            !std::exchange(stop_closes_idle_, true))
        {
            for (auto const& each : intake_.open_sessions())
            {
                each->stop();
            }
        }
        auto const is_cut_due = now >= state_.stop->cut_at;
        if (is_cut_due && !std::exchange(requests_interrupted_, true))
        {
            state_.log.info(
                "stop", "interrupting the requests in progress",
                {{"active", state_.open_exchanges->size()}});
            interrupt_requests(interruption::stop);
        }
        auto const may_exit = elapsed >= min_stop_time || is_cut_due;
        auto const is_done = may_exit && !is_in_use();
        if (is_done || elapsed >= settings_.stop_limit - exit_margin)
        {
            auto const cut = record_cut_sessions(now);
            state_.log.info(
                "stop", "stopped", {{"broken_off", cut}, {"after", elapsed}});
            on_stopped_();
            return true;
        }
        return false;
    }

    /// Ends the requests that an interruption concerns: with an answer where
    /// none has begun.
    auto interrupt_requests(interruption why) -> void
    {
        auto const open = *state_.open_exchanges;
        for (auto* const each : open)
        {
            // The end of one request may end another.
            auto const is_concerned =
                state_.open_exchanges->contains(each) &&
                (why != interruption::poison || each->is_poisoned());
            if (is_concerned)
            {
                each->interrupt(why);
            }
        }
    }

    /// Whether a caller waits for an answer or has not received all of it.
    [[nodiscard]] auto is_in_use() const -> bool
    {
        return !state_.open_exchanges->empty() || !sessions_in_use().empty();
    }

    [[nodiscard]] auto sessions_in_use() const
        -> std::vector<std::shared_ptr<caller_session>>
    {
        auto in_use = intake_.open_sessions();
        std::erase_if(
            in_use, [](auto const& each) { return !each->is_in_use(); });
        return in_use;
    }

    /// Records the connections that the exit cuts; returns their number.
    auto record_cut_sessions(time_point now) -> std::size_t
    {
        auto const cut = sessions_in_use();
        for (auto const& each : cut)
        {
            record_incomplete(
                {session_end::exit, each->stage(), each->unsent_bytes()}, now);
        }
        return cut.size();
    }

    relay_settings settings_;
    relay_state state_;
    peer_gossip peers_;
    piece_library pieces_;
    cluster_sync<Log, Reader> cluster_sync_;
    copy_server copies_;
    report_content reports_;
    service_paths paths_;
    std::unique_ptr<listener> callers_;
    std::unique_ptr<listener> control_;
    caller_intake intake_;
    asio::steady_timer tick_;
    asio::steady_timer stop_timer_;
    std::function<void()> on_stopped_;
    std::optional<time_point> started_at_;
    std::optional<time_point> reloaded_at_;
    std::optional<time_point> configured_at_;
    /// The configuration that was in force at the last tick.
    std::shared_ptr<routing_table const> noted_table_;
    bool stop_closes_idle_ = false;
    bool requests_interrupted_ = false;
};

} // namespace sapphirereel::relay

#endif
