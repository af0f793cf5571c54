/// \file
/// Defines what a daemon knows from the platform's log and from its peers: the
/// configuration in force and the replicas, and how it keeps both up to date.
#ifndef SAPPHIREREEL_RELAY_CLUSTER_SYNC_HPP
#define SAPPHIREREEL_RELAY_CLUSTER_SYNC_HPP

#include "sapphirereel/relay/buffered_call.hpp"
#include "sapphirereel/relay/exchange.hpp"
#include "sapphirereel/relay/leaving_replica_set.hpp"
#include "sapphirereel/relay/log_follower.hpp"
#include "sapphirereel/relay/log_reader_selection.hpp"
#include "sapphirereel/relay/record_transfer.hpp"
#include "sapphirereel/relay/relay_settings.hpp"
#include "sapphirereel/relay/relay_state.hpp"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace sapphirereel::relay {

/// Time from the start in which a daemon hears of its peers, and how it follows
/// the log until then: were all to wait for news, each start would cost a read
/// a daemon and record.
inline constexpr auto discovery_time =
    duration{std::chrono::milliseconds{2'000}};
inline constexpr auto startup_follow_settings =
    follow_settings{duration{0}, duration{std::chrono::milliseconds{1'500}}};

/// Time for fetching a copy from a peer, and between two fetches.
inline constexpr auto fetch_timeout = duration{std::chrono::milliseconds{800}};
inline constexpr auto fetch_interval = duration{std::chrono::milliseconds{50}};

/// Time for which a replica that vanished without leaving stays in the list
/// after the log has come back: entries that lapsed meanwhile come again.
inline constexpr auto lapse_grace = duration{std::chrono::milliseconds{2'200}};

/// Keeps the shared state's configuration and replicas. `Reader` turns records
/// of the log into both. Must outlive the loop's run.
template <keyed_log Log, class Reader>
class cluster_sync
{
public:
    /// `news` is told when peers should hear of something at once.
    cluster_sync(
        relay_state& state,
        relay_settings const& settings,
        Log& log,
        std::uint64_t seed,
        std::function<void()> news)
        : state_(state)
        , own_(settings.peers)
        , zone_(settings.zone)
        , news_(std::move(news))
        , configuration_(
              state.loop,
              log,
              keyed_stream::configuration,
              startup_follow_settings,
              seed,
              [this] { configuration_changed(); },
              [this](bool is_lost) {
                  report_log_loss(keyed_stream::configuration, is_lost);
              })
        , replicas_(
              state.loop,
              log,
              keyed_stream::replicas,
              startup_follow_settings,
              seed + 1,
              [this] { replicas_changed(); },
              [this](bool is_lost) {
                  report_log_loss(keyed_stream::replicas, is_lost);
              })
    {}

    auto start(time_point now) -> void
    {
        started_at_ = now;
        configuration_.start();
        replicas_.start();
    }

    /// Whether the platform's log answers.
    [[nodiscard]] auto is_log_reachable() const -> bool
    {
        return configuration_.is_log_reachable() &&
               replicas_.is_log_reachable();
    }

    /// Whether the log of the replicas has not answered for several calls.
    [[nodiscard]] auto is_log_lost() const -> bool
    {
        return replicas_.is_lost();
    }

    /// Puts what this daemon knows into its report.
    auto describe(peer_report& report, time_point now) const -> void
    {
        report.is_log_reachable = is_log_reachable() && !state_.stopping;
        report.configuration_next = configuration_.cache().next();
        report.replicas_next = replicas_.cache().next();
        report.leaving = leaving_.entries_to_report(now);
    }

    /// Takes in what a peer knows. True if the peer has lost the log or is in
    /// touch with it again, so that others may have to read in its place.
    auto apply_report(peer_report const& report, time_point now) -> bool
    {
        apply_leaving(report, now);
        fetch_if_behind(report, now);
        auto const [known, is_new] =
            peer_reaches_log_.try_emplace(report.ip, report.is_log_reachable);
        auto const before =
            std::exchange(known->second, report.is_log_reachable);
        return before != report.is_log_reachable;
    }

    /// The bytes of this daemon's copy of a stream, or of what changed in it,
    /// for a peer.
    [[nodiscard]] auto encoded_copy(copy_request const& asked) -> std::string
    {
        return write_copy(follower_of(asked.stream).cache(), asked.from);
    }

    /// Looks at what is due with time.
    auto tick(time_point now) -> void
    {
        if (recheck_lapsed_at_ != time_point{} && now >= recheck_lapsed_at_)
        {
            recheck_lapsed_at_ = {};
            replicas_changed();
        }
        leaving_.expire(now);
        if (std::exchange(was_log_reachable_, is_log_reachable()) !=
            is_log_reachable())
        {
            news_();
        }
    }

    /// Reads the log closely, or leaves that to others.
    auto update_reader_role(
        std::vector<peer_report> const& alive, time_point now) -> void
    {
        if (now - started_at_ < discovery_time)
        {
            return;
        }
        auto const is_primary = is_primary_log_reader(own_.ip, zone_, alive);
        auto const settings = follow_settings_for(is_primary, state_.daemons);
        configuration_.follow(settings);
        replicas_.follow(settings);
        if (std::exchange(is_primary_log_reader_, is_primary) != is_primary)
        {
            state_.log.info(
                "log",
                is_primary ? "reads closely" : "leaves close reading to others",
                {{"daemons", state_.daemons}});
        }
    }

private:
    auto report_log_loss(keyed_stream stream, bool is_lost) -> void
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
            news_();
        }
    }

    auto replicas_changed() -> void
    {
        auto const now = telemetry::monotonic_now();
        auto listed = std::vector<replica>{};
        auto const newest = replicas_.cache().newest();
        drop_removed_entries(newest);
        for (auto const& record : newest)
        {
            auto entry = read_entry(record);
            if (!entry)
            {
                continue;
            }
            if (leaving_.covers(entry->id, record.offset))
            {
                entry->leaving = true;
            }
            listed.push_back(std::move(*entry));
        }
        retain_lapsed(listed, now);
        auto const leaving = state_.replicas.set_replicas(listed);
        for (auto const& each : leaving)
        {
            replica_leaves(each, now);
        }
    }

    /// The replica that a record names; each record is read once.
    auto read_entry(keyed_record const& record) -> std::optional<replica>
    {
        auto const held = entries_.find(record.key);
        if (held != entries_.end() && held->second.offset == record.offset)
        {
            return held->second.named;
        }
        auto read = Reader::read_replica(record);
        if (!read)
        {
            state_.log.warning(
                "replicas", "an entry names no replica to use",
                {{"key", record.key},
                 {"offset", record.offset},
                 {"why", read.error()}});
        }
        auto named = read ? std::optional{std::move(*read)} : std::nullopt;
        entries_[record.key] = {record.offset, named};
        return named;
    }

    /// Forgets entries whose keys have gone.
    auto drop_removed_entries(std::vector<keyed_record> const& newest) -> void
    {
        auto present = std::set<std::string>{};
        for (auto const& record : newest)
        {
            present.insert(record.key);
        }
        std::erase_if(entries_, [&](auto const& each) {
            return !present.contains(each.first);
        });
    }

    /// Keeps replicas that vanished without leaving while the log was away or
    /// has just come back, unless a peer that has followed the log all the
    /// while tells that they are gone.
    auto retain_lapsed(std::vector<replica>& listed, time_point now) -> void
    {
        auto const is_recovering =
            replicas_.is_lost() ||
            (replicas_.recovered_at() != time_point{} &&
             now - replicas_.recovered_at() < lapse_grace);
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
            leaving_.record_leaving({which.id, *offset}, now);
            news_();
        }
        auto ahead = state_.replicas.movable_ahead(which.id, state_.self);
        for (auto* const each : streams)
        {
            ahead += each->replica_leaves(now, ahead);
        }
        if (auto const to = address_of(which))
        {
            state_.pool.close_idle(*to);
        }
    }

    auto apply_leaving(peer_report const& report, time_point now) -> void
    {
        auto news = false;
        for (auto const& each : report.leaving)
        {
            news = leaving_.record_leaving(each, now) || news;
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
            next_fetch_at_ = now + fetch_interval;
        }
    }

    auto fetch(peer_report const& from, keyed_stream stream) -> void
    {
        state_.metrics.add(relay_counter::peer_fetches);
        auto const to = listen_address{from.ip, own_.port}.endpoint();
        buffered_call::start(
            state_.loop, state_.pool, to,
            http::write_request(
                "GET", copy_path({stream, follower_of(stream).cache().next()}),
                {{"Host", from.ip}}, {}),
            fetch_timeout,
            [this, stream, ip = from.ip](buffered_response const& answer) {
                auto const copy = answer && answer->head.status == 200
                                      ? read_copy(answer->body)
                                      : std::nullopt;
                state_.log.info(
                    "peers", copy ? "took a copy" : "got no copy",
                    {{"stream", std::string{name_of(stream)}},
                     {"peer", ip},
                     {"whole", copy && copy->is_snapshot},
                     {"next", copy ? copy->page.next : 0}});
                if (!copy)
                {
                    return;
                }
                if (copy->is_snapshot)
                {
                    follower_of(stream).apply_peer_snapshot(copy->page);
                }
                else
                {
                    follower_of(stream).apply_peer_changes(copy->page);
                }
            });
    }

    auto follower_of(keyed_stream stream) -> log_follower<Log>&
    {
        return stream == keyed_stream::configuration ? configuration_
                                                     : replicas_;
    }

    /// What a record of the replicas' stream says.
    struct entry
    {
        std::uint64_t offset = 0;
        std::optional<replica> named;
    };

    relay_state& state_;
    listen_address own_;
    zone_name zone_;
    std::function<void()> news_;
    log_follower<Log> configuration_;
    log_follower<Log> replicas_;
    leaving_replica_set leaving_;
    std::map<std::string, entry> entries_;
    time_point started_at_{};
    time_point next_fetch_at_{};
    time_point recheck_lapsed_at_{};
    bool is_primary_log_reader_ = false;
    /// Whether each peer was in touch with the log, by its last report.
    std::map<std::string, bool> peer_reaches_log_;
    bool was_log_reachable_ = false;
};

} // namespace sapphirereel::relay

#endif
