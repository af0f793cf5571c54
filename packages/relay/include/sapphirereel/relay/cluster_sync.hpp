/// \file
/// Defines the synchronization of a daemon's cluster state, which is the
/// configuration in force and the list of replicas, from the platform's log and
/// from the copies of its peers.
#ifndef SAPPHIREREEL_RELAY_CLUSTER_SYNC_HPP
#define SAPPHIREREEL_RELAY_CLUSTER_SYNC_HPP

#include "sapphirereel/relay/copy_fetcher.hpp"
#include "sapphirereel/relay/evacuation.hpp"
#include "sapphirereel/relay/exchange.hpp"
#include "sapphirereel/relay/lapsed_replicas.hpp"
#include "sapphirereel/relay/leaving_replica_set.hpp"
#include "sapphirereel/relay/log_follower.hpp"
#include "sapphirereel/relay/log_freshness.hpp"
#include "sapphirereel/relay/log_reader_selection.hpp"
#include "sapphirereel/relay/peer_table.hpp"
#include "sapphirereel/relay/record_transfer.hpp"
#include "sapphirereel/relay/relay_settings.hpp"
#include "sapphirereel/relay/relay_state.hpp"
#include "sapphirereel/relay/renewal_evidence.hpp"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace sapphirereel::relay {

/// Time after the start in which a daemon discovers its peers, and how it reads
/// the log until then: with a pause between reads instead of long polls. If all
/// daemons long polled after a start, each record would cost one read per
/// daemon.
inline constexpr auto discovery_time =
    duration{std::chrono::milliseconds{2'000}};

/// Longest delay of the first read of a daemon that is no seed; it is drawn at
/// random. The seeds read at once, and the other daemons of a fleet that starts
/// get their copies from them.
inline constexpr auto max_first_read_delay =
    duration{std::chrono::milliseconds{300}};

/// Number of daemons above which a daemon without a copy waits longer for a
/// peer's, and the bounds of that delay.
inline constexpr auto large_fleet = std::size_t{100};
inline constexpr auto min_first_read_delay_in_large_fleet =
    duration{std::chrono::milliseconds{500}};
inline constexpr auto max_first_read_delay_in_large_fleet =
    duration{std::chrono::milliseconds{1'500}};
inline constexpr auto startup_follow_settings =
    follow_settings{duration{0}, duration{std::chrono::milliseconds{1'500}}};

/// Keeps the configuration and the replicas in `relay_state` up to date.
/// `Reader` decodes records of the log. Must outlive the loop's run.
template <keyed_log Log, class Reader>
class cluster_sync
{
public:
    /// `library` holds the pieces of large values. `notify_peers` is called
    /// when a change should be reported to peers at once.
    cluster_sync(
        relay_state& state,
        relay_settings const& settings,
        Log& log,
        piece_library& library,
        std::uint64_t seed,
        std::function<void()> notify_peers)
        : state_(state)
        , own_(settings.peers)
        , zone_(settings.zone)
        , is_seed_(
              std::find(
                  settings.seeds.begin(),
                  settings.seeds.end(),
                  settings.peers.ip) != settings.seeds.end())
        , library_(library)
        , notify_peers_(std::move(notify_peers))
        , configuration_(
              state.loop,
              log,
              keyed_stream::configuration,
              startup_follow_settings,
              seed,
              {},
              callbacks_of(
                  keyed_stream::configuration,
                  [this] { configuration_changed(); }))
        , replicas_(
              state.loop,
              log,
              keyed_stream::replicas,
              startup_follow_settings,
              seed + 1,
              [this](keyed_record const& before, keyed_record const& after) {
                  return is_renewal(before, after);
              },
              callbacks_of(
                  keyed_stream::replicas, [this] { replicas_changed(); }))
        , fetcher_(state, settings.peers, library, fetcher_handlers())
        , lapsed_(settings.drain_limit)
        , renewal_interval_(settings.renewal_interval)
        , shortest_bound_(settings.shortest_bound())
        , freshness_(freshness_terms::of(settings), seed)
    {
        state_.replica_announced_leaving = [this](replica const& which) {
            announced_leaving(which, telemetry::monotonic_now());
        };
    }

    auto start(time_point now) -> void
    {
        started_at_ = now;
        freshness_.start(now);
        auto const delay =
            is_seed_ ? duration{0}
                     : random_delay(duration{0}, max_first_read_delay);
        configuration_.start(delay);
        replicas_.start(delay);
    }

    /// Whether the last calls for both streams of the platform's log succeeded.
    [[nodiscard]] auto is_log_reachable() const -> bool
    {
        return configuration_.is_log_reachable() &&
               replicas_.is_log_reachable();
    }

    /// Whether several calls in a row for the replicas' stream have failed.
    [[nodiscard]] auto is_log_lost() const -> bool
    {
        return replicas_.is_lost();
    }

    /// Fills in the fields of this daemon's report that describe its copies of
    /// the log.
    auto fill_report(peer_report& report, time_point now) const -> void
    {
        report.is_log_reachable = is_log_reachable() && !state_.is_stopping();
        report.configuration_next = configuration_.cache().changed_until();
        report.replicas_next = replicas_.cache().changed_until();
        report.leaving = leaving_.entries_to_report(now);
        report.age = freshness_.age_to_report(now);
        report.lapse_grace = lapse_grace_left(now);
    }

    /// Position behind the last change of the configuration that was applied.
    [[nodiscard]] auto configuration_position() const -> log_position
    {
        return configuration_.cache().changed_until();
    }

    /// Applies a peer's report. Returns true if the peer has lost or regained
    /// access to the log, which may change the selection of primary readers.
    auto apply_report(peer_report const& report, time_point now) -> bool
    {
        auto const has_changed = record_log_access(report, now);
        apply_doubt(report, now);
        apply_leaving(report, now);
        apply_age(report, now);
        postpone_first_read();
        if (fetcher_.fetch_if_behind(report, now))
        {
            freshness_.record_attempt(now);
        }
        return has_changed;
    }

    /// This daemon's copy of a stream, or the changes to it, for a peer that
    /// requests them.
    [[nodiscard]] auto requested_copy(copy_request const& asked) -> peer_copy
    {
        auto copy = copy_of(follower_of(asked.stream).cache(), asked.from);
        if (asked.stream == keyed_stream::configuration)
        {
            insert_configuration_in_force(copy);
        }
        return copy;
    }

    /// Handles expired timers and reports a change in the log's reachability.
    auto tick(time_point now) -> void
    {
        if (is_primary_log_reader_ && !replicas_.is_log_reachable() &&
            !is_log_read(now))
        {
            lapsed_.prolong(now + lapse_grace);
        }
        if (auto const end = lapsed_.next_end(); end && now >= *end)
        {
            replicas_changed();
        }
        leaving_.expire(now);
        renew_old_copies(now);
        if (std::exchange(was_log_reachable_, is_log_reachable()) !=
            is_log_reachable())
        {
            notify_peers_();
        }
    }

    /// Selects whether this daemon is a primary log reader, and sets how it
    /// reads the log.
    auto update_reader_role(
        std::vector<peer_report> const& alive, time_point now) -> void
    {
        if (now - started_at_ < discovery_time)
        {
            return;
        }
        auto const is_primary =
            is_primary_log_reader(own_.ip, zone_, alive, is_log_reachable());
        role_settings_ = follow_settings_for(
            is_primary, state_.daemons, alive.empty(), shortest_bound_);
        configuration_.set_settings(role_settings_);
        replicas_.set_settings(role_settings_);
        if (std::exchange(is_primary_log_reader_, is_primary) != is_primary)
        {
            role_began_at_ = now;
            state_.log.info(
                "log",
                is_primary ? "became a primary log reader"
                           : "became a secondary log reader",
                {{"daemons", state_.daemons}});
        }
    }

private:
    auto callbacks_of(keyed_stream stream, std::function<void()> changed) ->
        typename log_follower<Log>::callbacks
    {
        return {
            std::move(changed),
            [this, stream](bool is_lost) { report_log_loss(stream, is_lost); },
            [this, stream](log_position before, log_position after) {
                report_restored_log(stream, before, after);
            },
            [this] { log_answered(telemetry::monotonic_now()); },
            [this, stream](auto const& records, duration time) {
                return stream == keyed_stream::replicas &&
                       shows_service(records, time);
            },
            [this, stream](log_position from) {
                report_skipped_records(stream, from);
            }};
    }

    /// Whether the log was in service for a time in which this daemon did not
    /// reach it, by the records that were written meanwhile.
    [[nodiscard]] auto shows_service(
        std::vector<keyed_record> const& records, duration time) const -> bool
    {
        auto const is_shown =
            were_renewed_throughout(records, time, renewal_interval_);
        state_.log.info(
            "log", "renewals of an outage",
            {{"time", time},
             {"records", records.size()},
             {"renewals", median_renewals(records)},
             {"outage",
              std::string{is_shown ? "of this daemon" : "of the log"}}});
        return is_shown;
    }

    auto report_skipped_records(keyed_stream stream, log_position from) -> void
    {
        state_.metrics.add(relay_counter::replaced_records_skipped);
        state_.log.info(
            "log", "reads the newest records in place of replaced ones",
            {{"stream", std::string{name_of(stream)}},
             {"era", from.era},
             {"from", from.offset}});
    }

    auto random_delay(duration least, duration most) -> duration
    {
        auto spread = std::uniform_int_distribution<duration::rep>{
            least.count(), most.count()};
        return duration{spread(state_.random)};
    }

    /// Puts off the first read once, when this daemon learns that the fleet is
    /// large: a read of every daemon would load the log more than all else.
    auto postpone_first_read() -> void
    {
        auto const is_due = !is_seed_ && state_.daemons > large_fleet &&
                            !std::exchange(has_postponed_, true);
        if (!is_due)
        {
            return;
        }
        auto const delay = random_delay(
            min_first_read_delay_in_large_fleet,
            max_first_read_delay_in_large_fleet);
        configuration_.postpone_first_read(delay);
        replicas_.postpone_first_read(delay);
    }

    /// Applies what a peer says of the age of its copies, which holds for this
    /// daemon's too if they hold as much.
    auto apply_age(peer_report const& report, time_point now) -> void
    {
        auto const holds_as_much =
            configuration_.cache().next() >= report.configuration_next &&
            replicas_.cache().next() >= report.replicas_next;
        if (holds_as_much)
        {
            auto const is_in_mesh =
                state_.daemons <= max_full_mesh || report.zone == zone_;
            freshness_.apply_peer(report.age, is_in_mesh, now);
        }
        else
        {
            freshness_.apply_attempt(report.age, now);
        }
    }

    /// Records up to when this daemon's own reads make its copies complete.
    auto log_answered(time_point now) -> void
    {
        auto const configuration_at = configuration_.last_answer_at();
        auto const replicas_at = replicas_.last_answer_at();
        if (!is_log_reachable() || !configuration_at || !replicas_at)
        {
            return;
        }
        auto const earlier = std::min(*configuration_at, *replicas_at);
        // A primary reader waits for changes of both streams all the while, so
        // that an answer about one of them shows that it is told of both,
        // unless the answer about the other one is overdue.
        auto const overdue_after = role_settings_.wait + role_settings_.pause +
                                   shortest_bound_ / answer_tolerance_divisor;
        auto const waits_for_both = is_primary_log_reader_ &&
                                    earlier >= role_began_at_ &&
                                    now - earlier <= overdue_after;
        freshness_.record_read(
            waits_for_both ? std::max(*configuration_at, *replicas_at)
                           : earlier);
        auto const is_renewed = renewal_began_at_ &&
                                *configuration_at >= *renewal_began_at_ &&
                                *replicas_at >= *renewal_began_at_;
        if (is_renewed)
        {
            state_.log.info(
                "log", "renewed the copies",
                {{"after", now - *renewal_began_at_}});
            renewal_began_at_.reset();
            notify_peers_();
        }
    }

    /// Reads the log where nobody seems to do so for this daemon.
    auto renew_old_copies(time_point now) -> void
    {
        if (now - started_at_ < discovery_time)
        {
            return;
        }
        // Others learn of a read that is not answered at once.
        if (renewal_began_at_ && !std::exchange(is_renewal_told_, true))
        {
            notify_peers_();
        }
        // A large value takes its time, and would take as long from the log.
        if (!freshness_.is_read_due(now) || fetcher_.is_collecting())
        {
            return;
        }
        state_.metrics.add(relay_counter::copies_renewed);
        state_.log.info(
            "log", "reads the log, as no peer has for long",
            {{"age", freshness_.age(now)},
             {"primary", is_primary_log_reader_}});
        freshness_.record_attempt(now);
        renewal_began_at_ = now;
        is_renewal_told_ = false;
        configuration_.read_now();
        replicas_.read_now();
    }

    auto report_restored_log(
        keyed_stream stream, log_position before, log_position after) -> void
    {
        state_.metrics.add(relay_counter::store_restores);
        state_.log.warning(
            "log", "restored from an older copy",
            {{"stream", std::string{name_of(stream)}},
             {"era_before", before.era},
             {"next_before", before.offset},
             {"era", after.era},
             {"next", after.offset}});
    }

    /// Records whether a peer reaches the log, and when it was last read there.
    /// Returns whether the first has changed.
    auto record_log_access(peer_report const& report, time_point now) -> bool
    {
        auto const since_read = report.age.since_read;
        auto const present = log_access{
            report.is_log_reachable,
            since_read == duration::max() ? time_point{} : now - since_read};
        auto const [held, is_new] =
            peer_access_.try_emplace(report.ip, present);
        auto const before = std::exchange(held->second, present);
        return before.reaches_log != present.reaches_log;
    }

    /// Whether some daemon reads the log, so that it is in service though
    /// others do not reach it.
    [[nodiscard]] auto is_log_read(time_point now) const -> bool
    {
        auto const is_read_here =
            replicas_.is_log_reachable() && replicas_.last_answer_at() &&
            now - *replicas_.last_answer_at() <= max_age_of_read_log;
        return is_read_here ||
               std::any_of(
                   peer_access_.begin(), peer_access_.end(),
                   [now](auto const& each) {
                       return each.second.reaches_log &&
                              now - each.second.read_at <= max_age_of_read_log;
                   });
    }

    /// Until when entries of replicas that run may be missing from the log, as
    /// far as this daemon's own reads show it.
    [[nodiscard]] auto own_doubt_until(time_point now) const -> time_point
    {
        if (is_primary_log_reader_ && replicas_.is_lost() && !is_log_read(now))
        {
            return now + lapse_grace;
        }
        auto const returned_by = replicas_.returned_by();
        return returned_by ? *returned_by + lapse_grace : now;
    }

    [[nodiscard]] auto lapse_grace_left(time_point now) const -> duration
    {
        return std::max(duration{0}, own_doubt_until(now) - now);
    }

    /// The same, as far as this daemon or its peers can tell. One that reads
    /// the log all the while knows best.
    [[nodiscard]] auto doubt_until(time_point now) const -> time_point
    {
        auto const own = own_doubt_until(now);
        return replicas_.reads_through(now) ? own
                                            : std::max(own, peer_doubt_until_);
    }

    /// Applies what a peer that reads the log says of missing entries.
    auto apply_doubt(peer_report const& report, time_point now) -> void
    {
        // A peer that does not reach the log knows of its own path only.
        auto const is_known = report.is_log_reachable || !is_log_read(now);
        if (report.lapse_grace <= duration{0} || !is_known)
        {
            return;
        }
        auto const until = now + std::min(report.lapse_grace, lapse_grace);
        peer_doubt_until_ = std::max(peer_doubt_until_, until);
        if (!replicas_.reads_through(now))
        {
            lapsed_.prolong(until);
        }
    }

    /// Puts the configuration in force into a copy for a peer, where the copy
    /// holds an older one or none: the log may have been restored from a copy
    /// older than it, and no daemon may go back to an earlier version.
    auto insert_configuration_in_force(peer_copy& copy) const -> void
    {
        if (!in_force_record_)
        {
            return;
        }
        for (auto& each : copy.page.records)
        {
            if (each.key == in_force_record_->key)
            {
                each.value = in_force_record_->value;
                return;
            }
        }
        if (copy.is_snapshot && copy.page.next.offset > 0)
        {
            copy.page.records.push_back(
                {in_force_record_->key, copy.page.next.preceding(),
                 in_force_record_->value});
        }
    }

    auto report_log_loss(keyed_stream stream, bool is_lost) -> void
    {
        state_.log.warning(
            "log", is_lost ? "lost" : "regained",
            {{"stream", std::string{name_of(stream)}},
             {"era", follower_of(stream).cache().next().era},
             {"next", follower_of(stream).cache().next().offset}});
    }

    /// Applies the evacuations that the records order. The set is that of the
    /// records, also if the log was restored from an older copy.
    auto evacuations_changed() -> void
    {
        auto ordered = std::set<zone_name>{};
        for (auto const& record : configuration_.cache().newest())
        {
            if (auto zone = Reader::read_evacuation(record))
            {
                ordered.insert(std::move(*zone));
            }
        }
        auto const change =
            evacuation_change::between(state_.replicas.evacuated(), ordered);
        if (change.is_empty())
        {
            return;
        }
        state_.replicas.set_evacuated(std::move(ordered));
        state_.gate.cold().zones_returned(
            change.ended, state_.replicas.replicas(),
            telemetry::monotonic_now());
        state_.metrics.add(relay_counter::zones_evacuated, change.begun.size());
        state_.metrics.add(relay_counter::zones_returned, change.ended.size());
        state_.log.info(
            "evacuation", "evacuated zones changed",
            {{"begun", names_of(change.begun)},
             {"ended", names_of(change.ended)},
             {"zones", names_of(state_.replicas.evacuated())},
             {"era", configuration_.cache().changed_until().era},
             {"next", configuration_.cache().changed_until().offset}});
        notify_peers_();
    }

    /// Warns of a record whose key is not known, once for each record.
    auto warn_of_unknown_key(keyed_record const& record) -> void
    {
        if (Reader::read_evacuation(record) ||
            std::exchange(unknown_keys_[record.key], record.position) ==
                record.position)
        {
            return;
        }
        state_.log.warning(
            "configuration", "ignored a record with an unknown key",
            {{"key", record.key},
             {"offset", record.position.offset},
             {"remedy", "use the key config, or evacuate/ZONE"}});
    }

    auto configuration_changed() -> void
    {
        // First, so that no request is served by a new configuration and old
        // evacuations.
        evacuations_changed();
        auto const version_before =
            state_.table ? state_.table->configuration().version : 0;
        for (auto const& record : configuration_.cache().newest())
        {
            // Reading takes time in proportion to the record's length.
            if (std::exchange(read_records_[record.key], record.position) ==
                record.position)
            {
                continue;
            }
            if (record.value && record.value->size() >= min_outlined_bytes)
            {
                library_.hold(*record.value);
            }
            auto read = Reader::read_configuration(record);
            if (!read)
            {
                state_.log.warning(
                    "configuration", "ignored an invalid configuration record",
                    {{"key", record.key},
                     {"offset", record.position.offset},
                     {"why", read.error()}});
                continue;
            }
            if (!*read)
            {
                warn_of_unknown_key(record);
                continue;
            }
            if (state_.table && (**read).version <= version_before)
            {
                continue;
            }
            state_.table =
                std::make_shared<routing_table const>(std::move(**read));
            in_force_record_ = record;
            state_.gate.cold().set_services(
                state_.table->configuration().services);
            state_.log.info(
                "configuration", "in force",
                {{"version", state_.table->configuration().version},
                 {"before", version_before},
                 {"era", record.position.era},
                 {"offset", record.position.offset},
                 {"routes", state_.table->configuration().routes.size()}});
            notify_peers_();
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
            if (leaving_.covers(entry->id, record_of(*entry, record.position)))
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

    /// The replica that a record describes. Decodes each record once.
    auto read_entry(keyed_record const& record) -> std::optional<replica>
    {
        auto const held = entries_.find(record.key);
        if (held != entries_.end() && held->second.position == record.position)
        {
            return held->second.named;
        }
        auto read = Reader::read_replica(record);
        if (!read)
        {
            state_.log.warning(
                "replicas", "ignored an invalid replica record",
                {{"key", record.key},
                 {"offset", record.position.offset},
                 {"why", read.error()}});
        }
        auto named = read ? std::optional{std::move(*read)} : std::nullopt;
        if (named && named->has_invalid_cold)
        {
            state_.metrics.add(relay_counter::invalid_cold_times);
            state_.log.warning(
                "replicas", "ignored an invalid time until a replica is warm",
                {{"key", record.key},
                 {"offset", record.position.offset},
                 {"remedy", "write a number of milliseconds from 0"}});
        }
        if (named)
        {
            state_.gate.cold().record_listed(
                *named, telemetry::monotonic_now());
        }
        entries_[record.key] = {record.position, named};
        return named;
    }

    /// Whether a replica's record only says again what the one before it said,
    /// or only that the replica is cold for less time than before.
    /// A record of a replica that is taken to be gone is no renewal, since it
    /// may show that the replica is back.
    auto is_renewal(keyed_record const& before, keyed_record const& after)
        -> bool
    {
        auto held = read_entry(before);
        auto const renewed = Reader::read_replica(after);
        if (!held || !renewed)
        {
            return false;
        }
        held->renewal = renewed->renewal;
        held->cold_remaining =
            std::min(held->cold_remaining, renewed->cold_remaining);
        auto const is_taken_for_gone =
            leaving_.covers(held->id, record_of(*held, before.position));
        if (*held != *renewed || is_taken_for_gone)
        {
            return false;
        }
        entries_[after.key] = {after.position, *renewed};
        state_.gate.cold().record_listed(*renewed, telemetry::monotonic_now());
        return true;
    }

    static auto record_of(replica const& which, log_position position)
        -> replica_record
    {
        return {position, which.started_at_ms, which.renewal};
    }

    /// Drops the decoded entries of removed keys.
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

    /// Keeps replicas that disappeared without draining beside an outage of the
    /// log: their entries may have expired only because they could not be
    /// renewed. A replica is not kept if a peer that still read the log reports
    /// it as leaving or removed, or if another one has its address.
    auto retain_lapsed(std::vector<replica>& listed, time_point now) -> void
    {
        auto present = std::set<endpoint_id>{};
        auto addresses = std::set<std::string>{};
        for (auto const& each : listed)
        {
            present.insert(each.id);
            addresses.insert(host_and_port(each));
        }
        auto const until = doubt_until(now);
        auto retained = std::set<endpoint_id>{};
        for (auto const& [id, each] : state_.replicas.replicas())
        {
            auto const is_used = !present.contains(id) && !each.leaving &&
                                 !is_known_gone(each) &&
                                 !addresses.contains(host_and_port(each)) &&
                                 lapsed_.keeps(id, until, now);
            if (is_used)
            {
                listed.push_back(each);
                retained.insert(id);
            }
        }
        lapsed_.retain(retained);
    }

    /// Whether a replica is known to leave or to be gone although no record
    /// says so.
    [[nodiscard]] auto is_known_gone(replica const& which) const -> bool
    {
        auto const position = replicas_.cache().position_of(which.id.str());
        return leaving_.covers(
            which.id, record_of(which, position.value_or(log_position{})));
    }

    auto replica_leaves(replica const& which, time_point now) -> void
    {
        auto const found = state_.streams.find(which.id);
        auto const streams =
            found == state_.streams.end()
                ? std::vector<leaving_listener*>{}
                : std::vector<leaving_listener*>{
                      found->second.begin(), found->second.end()};
        auto const position = replicas_.cache().position_of(which.id.str());
        auto const entry = entries_.find(which.id.str());
        auto const announced = entry != entries_.end() && entry->second.named &&
                               entry->second.named->leaving;
        state_.log.info(
            "replicas", "a replica leaves",
            {{"replica", which.id},
             {"service", which.service},
             {"streams", streams.size()},
             {"announced", announced},
             {"era", position.value_or(log_position{}).era},
             {"offset", position.value_or(log_position{}).offset}});
        auto const is_new =
            position && leaving_.record_leaving(
                            {which.id, *position, which.started_at_ms,
                             which.renewal, announced},
                            now);
        if (is_new)
        {
            notify_peers_();
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

    /// Applies that a replica said in a response that it leaves.
    auto announced_leaving(replica const& which, time_point now) -> void
    {
        auto const position = replicas_.cache().position_of(which.id.str());
        auto const is_new = leaving_.record_leaving(
            {which.id, position.value_or(log_position{}), which.started_at_ms,
             which.renewal, true},
            now);
        if (!is_new)
        {
            return;
        }
        state_.metrics.add(relay_counter::leaving_responses);
        state_.log.info(
            "replicas", "a replica says that it leaves",
            {{"replica", which.id}, {"started_at_ms", which.started_at_ms}});
        notify_peers_();
        replicas_changed();
    }

    auto apply_leaving(peer_report const& report, time_point now) -> void
    {
        auto changed = false;
        for (auto each : report.leaving)
        {
            // Daemons of the oldest version name no era.
            if (report.version <= oldest_report_version)
            {
                each.position.era = replicas_.cache().next().era;
            }
            changed = leaving_.record_leaving(each, now) || changed;
        }
        if (!changed)
        {
            return;
        }
        if (report.zone != zone_)
        {
            notify_peers_();
        }
        replicas_changed();
    }

    auto fetcher_handlers() -> copy_fetcher::handlers
    {
        return {
            [this](keyed_stream stream) {
                return follower_of(stream).cache().next();
            },
            [this](keyed_stream stream, peer_copy const& copy) {
                if (copy.is_snapshot)
                {
                    follower_of(stream).apply_peer_snapshot(copy.page);
                }
                else
                {
                    follower_of(stream).apply_peer_changes(copy.page);
                }
            },
            [this](peer_copy const& copy) {
                if (!copy.is_snapshot)
                {
                    configuration_.apply_early_changes(copy.page);
                }
            },
            [this] {
                configuration_.postpone_first_read(fetch_timeout);
            }};
    }

    auto follower_of(keyed_stream stream) -> log_follower<Log>&
    {
        return stream == keyed_stream::configuration ? configuration_
                                                     : replicas_;
    }

    /// Time since a daemon's last read up to which it reads the log.
    static constexpr auto max_age_of_read_log =
        duration{std::chrono::milliseconds{1'000}};

    /// Part of the shortest bound by which the answer of a waiting read may be
    /// late before it is overdue.
    static constexpr auto answer_tolerance_divisor = 8;

    /// A peer's access to the log, by its last report.
    struct log_access
    {
        bool reaches_log = false;
        time_point read_at{};
    };

    /// A decoded record of the replicas' stream; no replica if it is invalid.
    struct entry
    {
        log_position position;
        std::optional<replica> named;
    };

    relay_state& state_;
    listen_address own_;
    zone_name zone_;
    bool is_seed_;
    piece_library& library_;
    std::function<void()> notify_peers_;
    log_follower<Log> configuration_;
    log_follower<Log> replicas_;
    copy_fetcher fetcher_;
    leaving_replica_set leaving_;
    lapsed_replicas lapsed_;
    duration renewal_interval_;
    duration shortest_bound_;
    log_freshness freshness_;
    /// When the read under way that renews old copies began, and whether peers
    /// have been told of it.
    std::optional<time_point> renewal_began_at_;
    bool is_renewal_told_ = false;
    std::map<std::string, entry> entries_;
    time_point started_at_{};
    /// Until when entries may be missing by the peers' reports.
    time_point peer_doubt_until_{};
    /// The record of the configuration in force.
    std::optional<keyed_record> in_force_record_;
    /// Positions of the records of the configuration's stream that were read,
    /// and of those that were ignored because of their keys.
    std::map<std::string, std::optional<log_position>> read_records_;
    std::map<std::string, std::optional<log_position>> unknown_keys_;
    bool is_primary_log_reader_ = false;
    time_point role_began_at_{};
    follow_settings role_settings_ = startup_follow_settings;
    /// Whether the first read of the log was put off.
    bool has_postponed_ = false;
    std::map<std::string, log_access> peer_access_;
    bool was_log_reachable_ = false;
};

} // namespace sapphirereel::relay

#endif
