/// \file
/// Defines the relay of one daemon: its listeners, what it knows of replicas,
/// configuration and peers, and its planned stop.
#ifndef SAPPHIREREEL_RELAY_RELAY_NODE_HPP
#define SAPPHIREREEL_RELAY_RELAY_NODE_HPP

#include "sapphirereel/relay/leaving_news.hpp"
#include "sapphirereel/relay/listener.hpp"
#include "sapphirereel/relay/log_follower.hpp"
#include "sapphirereel/relay/peer_socket.hpp"
#include "sapphirereel/relay/peer_table.hpp"
#include "sapphirereel/relay/plain_exchange.hpp"
#include "sapphirereel/relay/reader_rank.hpp"
#include "sapphirereel/relay/record_exchange.hpp"
#include "sapphirereel/relay/report_pace.hpp"
#include "sapphirereel/relay/stream_exchange.hpp"

#include <list>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace sapphirereel::relay {

/// An address to listen on.
struct listen_address
{
    std::string ip;
    std::uint16_t port = 0;
    auto operator<=>(listen_address const&) const = default;
};

/// What a relay is told at its start.
struct relay_settings
{
    std::string name;
    zone_name zone;
    listen_address callers;
    /// Datagrams and calls between daemons, and metrics.
    listen_address peers;
    std::vector<std::string> seeds;
    retry_budget_terms retry_budget;
    /// Longest time from the order to stop to the process' end.
    duration stop_limit{std::chrono::seconds{8}};
    auto operator<=>(relay_settings const&) const = default;
};

/// Time between two looks at what is due.
inline constexpr auto tick_interval = duration{std::chrono::milliseconds{50}};

/// Time from the start in which a daemon hears of its peers, and how it follows
/// the log until then: were all to wait for news, each start would cost a read
/// a daemon and record.
inline constexpr auto hearing_time = duration{std::chrono::milliseconds{2'000}};
inline constexpr auto follow_settings_at_start =
    follow_settings{duration{0}, duration{std::chrono::milliseconds{1'500}}};

/// Every which report goes to silent daemons as well.
inline constexpr auto reports_to_silent = 4;

/// Time for fetching a copy from a peer, and between two fetches.
inline constexpr auto copy_limit = duration{std::chrono::milliseconds{800}};
inline constexpr auto copy_interval = duration{std::chrono::milliseconds{50}};

/// Time from the order to stop until idle callers' connections are closed.
inline constexpr auto stop_idle_after =
    duration{std::chrono::milliseconds{2'500}};

/// Shortest time from the order to stop to the end of the process: callers
/// that keep an old answer still come.
inline constexpr auto least_stop_time =
    duration{std::chrono::milliseconds{4'000}};

/// Time before the limit of a stop at which what still runs is broken off.
inline constexpr auto stop_margin = duration{std::chrono::milliseconds{400}};

/// Time for which a replica that vanished without leaving stays in the list
/// after the log has come back: entries that lapsed meanwhile come again.
inline constexpr auto lapse_grace = duration{std::chrono::milliseconds{2'200}};

/// Most requests served at once.
inline constexpr auto most_active = std::size_t{1'500};

/// One daemon's relay. `Reader` turns records of the log into configuration
/// and replicas.
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
        , peers_(settings_.peers.ip, settings_.seeds)
        , incarnation_(seed)
        , configuration_(
              loop,
              log,
              keyed_stream::configuration,
              follow_settings_at_start,
              seed,
              [this] { configuration_changed(); },
              [this](bool is_lost) {
                  log_touch(keyed_stream::configuration, is_lost);
              })
        , replicas_(
              loop,
              log,
              keyed_stream::replicas,
              follow_settings_at_start,
              seed + 1,
              [this] { replicas_changed(); },
              [this](bool is_lost) {
                  log_touch(keyed_stream::replicas, is_lost);
              })
        , tick_(loop)
        , report_soon_(loop)
        , stop_timer_(loop)
    {
        state_.load_changed = [this] {
            report_shortly(report_scope::zone);
        };
    }

    /// Opens the sockets and begins to learn.
    auto start() -> tl::expected<void, std::string>
    {
        auto callers = listener::open(
            state_.loop, endpoint_of(settings_.callers),
            [this](asio::ip::tcp::socket socket) {
                serve_caller(std::move(socket));
            });
        if (!callers)
        {
            return tl::unexpected(callers.error());
        }
        callers_ = std::move(*callers);
        auto control = listener::open(
            state_.loop, endpoint_of(settings_.peers),
            [this](asio::ip::tcp::socket socket) {
                serve_peer(std::move(socket));
            });
        if (!control)
        {
            return tl::unexpected(control.error());
        }
        control_ = std::move(*control);
        auto datagrams = peer_socket::open(
            state_.loop, settings_.peers.ip, settings_.peers.port,
            [this](std::string_view bytes) { heard(bytes); });
        if (!datagrams)
        {
            return tl::unexpected(datagrams.error());
        }
        datagrams_ = std::move(*datagrams);
        started_at_ = telemetry::monotonic_now();
        configuration_.start();
        replicas_.start();
        tick();
        return {};
    }

    /// Whether callers should be sent here.
    [[nodiscard]] auto is_ready() const -> bool
    {
        return state_.table != nullptr && !state_.stopping;
    }

    /// Whether the platform's log answers.
    [[nodiscard]] auto is_in_touch() const -> bool
    {
        return configuration_.is_in_touch() && replicas_.is_in_touch();
    }

    /// Whether the log of the replicas has not answered for several calls.
    [[nodiscard]] auto has_lost_log() const -> bool
    {
        return replicas_.is_lost();
    }

    /// Addresses for callers: of all daemons that take them.
    [[nodiscard]] auto caller_addresses() const -> std::vector<std::string>
    {
        auto addresses = std::vector<std::string>{};
        if (is_ready())
        {
            addresses.push_back(own_caller_address());
        }
        for (auto const& peer : peers_.alive(telemetry::monotonic_now()))
        {
            if (peer.takes_callers)
            {
                addresses.push_back(peer.caller_address);
            }
        }
        if (addresses.empty())
        {
            addresses.push_back(own_caller_address());
        }
        return addresses;
    }

    /// Begins a planned stop; `done` is told when the process may end.
    auto stop(std::function<void()> done) -> void
    {
        if (std::exchange(state_.stopping, true))
        {
            return;
        }
        stopped_ = std::move(done);
        stop_began_ = telemetry::monotonic_now();
        state_.log.info(
            "stop", "stopping as planned", {{"active", state_.active}});
        send_report(report_scope::silent);
        watch_stop();
    }

    /// Takes up what may change while the process runs: where daemons may be
    /// found.
    auto reload(relay_settings const& settings) -> void
    {
        settings_.seeds = settings.seeds;
        peers_.add(settings.seeds);
        state_.log.info(
            "reload", "took up the settings",
            {{"seeds", settings.seeds.size()}});
    }

    [[nodiscard]] auto state() -> relay_state&
    {
        return state_;
    }

private:
    static auto endpoint_of(listen_address const& at) -> asio::ip::tcp::endpoint
    {
        return {asio::ip::make_address(at.ip), at.port};
    }

    [[nodiscard]] auto own_caller_address() const -> std::string
    {
        return fmt::format(
            "{}:{}", settings_.callers.ip, settings_.callers.port);
    }

    // Callers.

    auto serve_caller(asio::ip::tcp::socket socket) -> void
    {
        auto const session = caller_session::start(
            std::move(socket), [this] { return limits(); },
            [this](
                std::shared_ptr<caller_session> from, http::request request) {
                serve(std::move(from), std::move(request));
            });
        sessions_.push_back(session);
        if (state_.stopping && stop_closes_idle_)
        {
            // Serves one request, then closes.
            session->close_after_next();
        }
    }

    [[nodiscard]] auto limits() const -> caller_limits
    {
        return state_.table ? state_.table->configuration().limits
                            : caller_limits{};
    }

    auto serve(std::shared_ptr<caller_session> from, http::request request)
        -> void
    {
        if (state_.stopping)
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
            send_refusal(*from, granted.error(), read->id, state_);
            return;
        }
        if (state_.active >= most_active)
        {
            send_refusal(
                *from, {refusal_reason::overload, 503, std::chrono::seconds{1}},
                read->id, state_);
            return;
        }
        if (granted->route->kind == request_kind::stream)
        {
            stream_exchange<Format>::start(
                state_, std::move(from), std::move(*read), std::move(*granted));
            return;
        }
        plain_exchange<Format>::start(
            state_, std::move(from), std::move(*read), std::move(*granted));
    }

    // What is known.

    auto log_touch(keyed_stream stream, bool is_lost) -> void
    {
        state_.log.warning(
            "log", is_lost ? "lost" : "regained",
            {{"stream", std::string{name_of(stream)}},
             {"next", follower_of(stream).cache().next()}});
    }

    auto configuration_changed() -> void
    {
        auto const version_before =
            state_.table ? state_.table->configuration().version : 0;
        for (auto const& record : configuration_.cache().newest())
        {
            auto read = Reader::read_configuration(record);
            if (!read)
            {
                state_.log.warning(
                    "configuration", "a record is no configuration",
                    {{"key", record.key},
                     {"offset", record.offset},
                     {"why", read.error()}});
                continue;
            }
            if (!*read || (state_.table && (**read).version <= version_before))
            {
                continue;
            }
            state_.table =
                std::make_shared<routing_table const>(std::move(**read));
            state_.log.info(
                "configuration", "in force",
                {{"version", state_.table->configuration().version},
                 {"before", version_before},
                 {"offset", record.offset},
                 {"routes", state_.table->configuration().routes.size()}});
            report_shortly(report_scope::all);
        }
    }

    auto replicas_changed() -> void
    {
        auto const now = telemetry::monotonic_now();
        auto listed = std::vector<replica>{};
        for (auto const& record : replicas_.cache().newest())
        {
            auto read = Reader::read_replica(record);
            if (!read)
            {
                state_.log.warning(
                    "replicas", "an entry names no replica to use",
                    {{"key", record.key},
                     {"offset", record.offset},
                     {"why", read.error()}});
                continue;
            }
            if (leaving_.covers(read->id, record.offset))
            {
                read->leaving = true;
            }
            listed.push_back(std::move(*read));
        }
        keep_lapsed(listed, now);
        auto const leaving = state_.replicas.set_replicas(listed);
        for (auto const& each : leaving)
        {
            replica_leaves(each, now);
        }
    }

    /// Keeps replicas that vanished without leaving while the log was away or
    /// has just come back, unless a peer that has followed the log all the
    /// while tells that they are gone.
    auto keep_lapsed(std::vector<replica>& listed, time_point now) -> void
    {
        auto const is_recovering =
            replicas_.is_lost() ||
            (replicas_.regained_at() != time_point{} &&
             now - replicas_.regained_at() < lapse_grace);
        if (!is_recovering)
        {
            return;
        }
        auto present = std::set<endpoint_id>{};
        for (auto const& each : listed)
        {
            present.insert(each.id);
        }
        for (auto const& [id, each] : state_.replicas.replicas())
        {
            auto const is_known_gone = leaving_.covers(
                id, replicas_.cache().offset_of(id.str()).value_or(0));
            if (!present.contains(id) && !each.leaving && !is_known_gone)
            {
                listed.push_back(each);
                recheck_lapsed_at_ = now + lapse_grace;
            }
        }
    }

    auto replica_leaves(replica const& which, time_point now) -> void
    {
        auto const found = state_.streams.find(which.id);
        auto const streams =
            found == state_.streams.end()
                ? std::vector<leaving_listener*>{}
                : std::vector<leaving_listener*>{
                      found->second.begin(), found->second.end()};
        auto const offset = replicas_.cache().offset_of(which.id.str());
        state_.log.info(
            "replicas", "a replica leaves",
            {{"replica", which.id},
             {"service", which.service},
             {"streams", streams.size()},
             {"offset", offset.value_or(0)}});
        if (offset)
        {
            leaving_.note({which.id, *offset}, now);
            report_shortly(report_scope::all);
        }
        auto ahead = state_.replicas.movable_ahead(which.id, state_.self);
        for (auto* const each : streams)
        {
            ahead += each->replica_leaves(now, ahead);
        }
        if (auto const to = address_of(which))
        {
            state_.pool.forget(*to);
        }
    }

    // Peers.

    auto make_report() -> peer_report
    {
        auto report = peer_report{};
        report.ip = settings_.peers.ip;
        report.incarnation = incarnation_;
        report.sequence = ++sequence_;
        report.caller_address = own_caller_address();
        report.zone = settings_.zone;
        report.takes_callers = is_ready();
        report.is_in_touch = is_in_touch() && !state_.stopping;
        report.configuration_next = configuration_.cache().next();
        report.replicas_next = replicas_.cache().next();
        report.leaving = leaving_.to_tell(telemetry::monotonic_now());
        report.load = state_.replicas.own_load();
        return report;
    }

    /// Who is told.
    enum class report_scope
    {
        /// Daemons of this zone, which place work on the same replicas first.
        zone,
        /// All daemons that are alive.
        all,
        /// Also those that were heard of and don't answer.
        silent
    };

    auto send_report(report_scope scope) -> void
    {
        auto const now = telemetry::monotonic_now();
        auto report = make_report();
        if (scope == report_scope::silent)
        {
            report.known = peers_.known();
        }
        auto const bytes = write_peer_report(report);
        auto const targets =
            scope == report_scope::zone
                ? peers_.targets_in(settings_.zone, now)
                : peers_.targets(now, scope == report_scope::silent);
        for (auto const& ip : targets)
        {
            state_.metrics.add(relay_counter::peer_reports_sent);
            datagrams_->send(ip, bytes);
        }
    }

    /// Whether new daemons are told to begin with this one.
    [[nodiscard]] auto is_seed() const -> bool
    {
        return std::find(
                   settings_.seeds.begin(), settings_.seeds.end(),
                   settings_.peers.ip) != settings_.seeds.end();
    }

    /// Tells a daemon that has just been heard of for the first time of all
    /// others, so that it need not wait until they tell each other.
    auto introduce_others_to(std::string const& ip) -> void
    {
        auto report = make_report();
        report.known = peers_.all_known();
        state_.metrics.add(relay_counter::peer_reports_sent);
        datagrams_->send(ip, write_peer_report(report));
    }

    /// Reports a change soon, with others that come until then.
    auto report_shortly(report_scope scope) -> void
    {
        due_scope_ = std::max(due_scope_, scope);
        if (std::exchange(report_due_, true))
        {
            return;
        }
        report_soon_.expires_after(report_delay(state_.daemons));
        report_soon_.async_wait([this](std::error_code error) {
            report_due_ = false;
            if (!error)
            {
                send_report(std::exchange(due_scope_, report_scope::zone));
            }
        });
    }

    auto heard(std::string_view bytes) -> void
    {
        auto const report = read_peer_report(bytes);
        auto const now = telemetry::monotonic_now();
        if (!report)
        {
            return;
        }
        auto const is_newcomer = !peers_.has_heard(report->ip);
        if (!peers_.heard(*report, now))
        {
            return;
        }
        if (is_newcomer && is_seed())
        {
            introduce_others_to(report->ip);
        }
        state_.metrics.add(relay_counter::peer_reports_received);
        state_.daemons = peers_.most_daemons();
        state_.replicas.set_peer_load(daemon_id{report->ip}, report->load, now);
        learn_leaving(*report, now);
        fetch_if_behind(*report, now);
    }

    auto learn_leaving(peer_report const& report, time_point now) -> void
    {
        auto news = false;
        for (auto const& each : report.leaving)
        {
            news = leaving_.note(each, now) || news;
        }
        if (news)
        {
            replicas_changed();
        }
    }

    /// Fetches a peer's copies where they are newer.
    auto fetch_if_behind(peer_report const& report, time_point now) -> void
    {
        if (now < next_fetch_at_)
        {
            return;
        }
        auto const misses_configuration =
            report.configuration_next > configuration_.cache().next();
        auto const misses_replicas =
            report.replicas_next > replicas_.cache().next();
        if (misses_configuration)
        {
            fetch(report, keyed_stream::configuration);
        }
        if (misses_replicas)
        {
            fetch(report, keyed_stream::replicas);
        }
        if (misses_configuration || misses_replicas)
        {
            next_fetch_at_ = now + copy_interval;
        }
    }

    auto fetch(peer_report const& from, keyed_stream stream) -> void
    {
        state_.metrics.add(relay_counter::peer_fetches);
        auto const to = endpoint_of({from.ip, settings_.peers.port});
        whole_call::start(
            state_.loop, state_.pool, to,
            http::write_request(
                "GET", copy_path(stream), {{"Host", from.ip}}, {}),
            copy_limit,
            [this, stream, ip = from.ip](whole_answer const& answer) {
                auto const page = answer && answer->head.status == 200
                                      ? read_copy(answer->body)
                                      : std::nullopt;
                state_.log.info(
                    "peers", page ? "took a copy" : "got no copy",
                    {{"stream", std::string{name_of(stream)}},
                     {"peer", ip},
                     {"next", page ? page->next : 0}});
                if (page)
                {
                    follower_of(stream).take_copy(page->records, page->next);
                }
            });
    }

    auto follower_of(keyed_stream stream) -> log_follower<Log>&
    {
        return stream == keyed_stream::configuration ? configuration_
                                                     : replicas_;
    }

    /// Serves copies and metrics.
    auto serve_peer(asio::ip::tcp::socket socket) -> void
    {
        sessions_.push_back(caller_session::start(
            std::move(socket), [] { return caller_limits{}; },
            [this](
                std::shared_ptr<caller_session> const& from,
                http::request const& request) {
                if (request.target == "/metrics")
                {
                    from->respond(
                        200, {{"Content-Type", "text/plain"}},
                        state_.metrics.page());
                    return;
                }
                auto const stream = stream_of_path(request.target);
                if (!stream)
                {
                    from->respond(404, {}, {});
                    return;
                }
                from->respond(
                    200, {{"Content-Type", "application/msgpack"}},
                    write_copy(follower_of(*stream).cache()));
            }));
    }

    // Time.

    auto tick() -> void
    {
        auto const now = telemetry::monotonic_now();
        report_regularly(now);
        state_.pool.expire(now);
        sessions_.remove_if([](std::weak_ptr<caller_session> const& each) {
            auto const held = each.lock();
            return !held || !held->is_open();
        });
        if (recheck_lapsed_at_ != time_point{} && now >= recheck_lapsed_at_)
        {
            recheck_lapsed_at_ = {};
            replicas_changed();
        }
        leaving_.expire(now);
        tick_.expires_after(tick_interval);
        tick_.async_wait([this](std::error_code error) {
            if (!error)
            {
                tick();
            }
        });
    }

    /// Reads the log closely, or leaves that to others.
    auto share_reading(time_point now) -> void
    {
        if (now - started_at_ < hearing_time)
        {
            return;
        }
        auto const closely =
            reads_closely(settings_.peers.ip, peers_.alive(now));
        auto const settings = follow_settings_of(closely, state_.daemons);
        configuration_.follow(settings);
        replicas_.follow(settings);
        if (std::exchange(reads_closely_, closely) != closely)
        {
            state_.log.info(
                "log",
                closely ? "reads closely" : "leaves close reading to others",
                {{"daemons", state_.daemons}});
        }
    }

    /// Logs who has fallen silent and who is heard again.
    auto log_peers(time_point now) -> void
    {
        auto heard = std::set<std::string>{};
        for (auto const& ip : peers_.targets(now, false))
        {
            heard.insert(ip);
            if (!alive_peers_.contains(ip))
            {
                state_.log.info("peers", "heard", {{"peer", ip}});
            }
        }
        for (auto const& ip : alive_peers_)
        {
            if (!heard.contains(ip))
            {
                state_.log.warning(
                    "peers", "silent",
                    {{"peer", ip},
                     {"limit", alive_limit(peers_.most_daemons())}});
            }
        }
        alive_peers_ = std::move(heard);
    }

    auto report_regularly(time_point now) -> void
    {
        if (now < next_report_at_)
        {
            return;
        }
        next_report_at_ = now + report_interval(state_.daemons);
        share_reading(now);
        log_peers(now);
        send_report(
            reports_++ % reports_to_silent == 0 ? report_scope::silent
                                                : report_scope::all);
    }

    // The planned stop.

    auto watch_stop() -> void
    {
        auto const since = telemetry::monotonic_now() - stop_began_;
        if (since >= stop_idle_after && !std::exchange(stop_closes_idle_, true))
        {
            for (auto const& each : sessions_)
            {
                if (auto const session = each.lock())
                {
                    session->stop();
                }
            }
        }
        auto const is_done = since >= least_stop_time && state_.active == 0;
        if (is_done || since >= settings_.stop_limit - stop_margin)
        {
            state_.log.info(
                "stop", "stopped",
                {{"broken_off", state_.active}, {"after", since}});
            stopped_();
            return;
        }
        stop_timer_.expires_after(std::chrono::milliseconds{50});
        stop_timer_.async_wait([this](std::error_code error) {
            if (!error)
            {
                watch_stop();
            }
        });
    }

    relay_settings settings_;
    relay_state state_;
    peer_table peers_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    log_follower<Log> configuration_;
    log_follower<Log> replicas_;
    std::unique_ptr<listener> callers_;
    std::unique_ptr<listener> control_;
    std::unique_ptr<peer_socket> datagrams_;
    std::list<std::weak_ptr<caller_session>> sessions_;
    leaving_news leaving_;
    std::set<std::string> alive_peers_;
    asio::steady_timer tick_;
    asio::steady_timer report_soon_;
    asio::steady_timer stop_timer_;
    std::function<void()> stopped_;
    time_point stop_began_{};
    time_point next_fetch_at_{};
    time_point recheck_lapsed_at_{};
    time_point started_at_{};
    time_point next_report_at_{};
    std::uint64_t reports_ = 0;
    report_scope due_scope_ = report_scope::zone;
    bool reads_closely_ = false;
    bool report_due_ = false;
    bool stop_closes_idle_ = false;
};

} // namespace sapphirereel::relay

#endif
