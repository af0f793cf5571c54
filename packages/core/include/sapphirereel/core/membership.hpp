/// \file
/// Defines membership: which daemons live, learned by probing one another.
///
/// One random member is probed each period; one that doesn't answer is probed
/// through others, then suspected. It is declared dead when it has not refuted
/// in time and more than one daemon is of that opinion, where there are that
/// many. The platform's VM list is a hint whom to ask.
#ifndef SAPPHIREREEL_CORE_MEMBERSHIP_HPP
#define SAPPHIREREEL_CORE_MEMBERSHIP_HPP

#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/gossip_queue.hpp"
#include "sapphirereel/core/membership_event.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace sapphirereel {

/// Times and bounds of membership.
struct membership_settings
{
    /// One member is probed in each period.
    duration probe_period = std::chrono::seconds{1};
    /// Time after which a probe goes through others.
    duration probe_timeout = std::chrono::milliseconds{300};
    /// Members asked to probe one that did not answer.
    std::size_t indirect_probes = 3;
    /// Time in which a suspected member can refute.
    duration suspicion_time = std::chrono::seconds{3};
    /// Time after which a single opinion suffices when no other daemon can be
    /// heard.
    duration lone_opinion_time = std::chrono::seconds{12};
    /// A longer time between two ticks means that this process was paused.
    duration pause_limit = std::chrono::milliseconds{1500};
    /// Time between two attempts to reach VMs or dead members that should be
    /// there.
    duration rejoin_period = std::chrono::seconds{5};
    /// Time between two requests for all facts from a peer with another view.
    duration sync_period = std::chrono::seconds{5};
    /// Time that all peers' views must have differed before such a request, so
    /// that news comes first. A daemon that has just started doesn't wait.
    duration settle_time = std::chrono::seconds{10};
    /// Time that a dead member's facts are kept.
    duration dead_retention = std::chrono::hours{2};
    /// Bytes of news in one message.
    std::size_t news_bytes = 400;
    /// Port on which every daemon hears its peers.
    std::uint16_t peer_port = 7450;
    auto operator<=>(membership_settings const&) const = default;
};

/// What one daemon believes of all.
/// Example:
/// ```
/// auto group = membership::create(settings, self, seed, now).value();
/// group.on(vm_list, now);
/// for (auto const& output : group.tick(now)) perform(output);
/// ```
class membership
{
public:
    /// Findings when settings or own facts are not usable.
    static auto create(
        membership_settings settings,
        member self,
        std::uint64_t seed,
        time_point now) -> result<membership>;

    /// Takes a message of another daemon.
    auto on(membership_message const& message, time_point now)
        -> membership_outputs;

    /// Takes the platform's list of VMs.
    auto on(std::vector<vm_hint> const& vms, time_point now)
        -> membership_outputs;

    /// Lets time pass. Call it every 100 ms or so.
    auto tick(time_point now) -> membership_outputs;

    /// Tells all that this daemon stops as planned.
    auto leave(time_point now) -> membership_outputs;

    /// Sets the configuration offset that this daemon has in force.
    auto set_in_force(log_offset offset) -> void;

    /// This daemon's own facts.
    [[nodiscard]] auto self() const -> member const&;

    /// This daemon and all that are not dead, leaving ones included, by id.
    [[nodiscard]] auto live() const -> std::vector<daemon_id>;

    /// This daemon and all others known, dead ones included, by id.
    [[nodiscard]] auto members() const -> std::vector<member>;

    /// Facts of one daemon, or nothing.
    [[nodiscard]] auto find(daemon_id const& id) const -> std::optional<member>;

    /// Whether the process has just woken from a pause and has not yet heard
    /// from a peer again; what it believes of others is stale then.
    [[nodiscard]] auto stale(time_point now) const -> bool;

private:
    struct peer
    {
        member facts;
        time_point since{};
        std::set<daemon_id> suspected_by;
        time_point last_contact{};
    };

    struct open_probe
    {
        std::uint64_t number = 0;
        daemon_id subject;
        time_point sent{};
        bool indirect = false;
    };

    struct relayed_probe
    {
        std::uint64_t number = 0;
        daemon_id requester;
        std::uint64_t requester_number = 0;
        daemon_id subject;
        time_point sent{};
    };

    membership(
        membership_settings settings,
        member self,
        std::uint64_t seed,
        time_point now);

    auto receive(member const& from, probe const&, time_point) -> void;
    auto receive(member const& from, probe_answer const&, time_point) -> void;
    auto receive(member const& from, probe_request const&, time_point) -> void;
    auto receive(member const& from, probe_relay const&, time_point) -> void;
    auto receive(member const& from, join_request const&, time_point) -> void;
    auto receive(member const& from, join_answer const&, time_point) -> void;

    auto apply_facts(member const& facts, time_point now) -> void;
    auto refute_if_declared_dead(member const& facts) -> void;
    auto record_contact(member const& sender, time_point now) -> void;
    auto apply_gossip(gossip const& news, time_point now) -> void;
    auto apply_suspicion(suspicion const& suspected_fact, time_point now)
        -> void;
    auto add_suspicion(peer& target, daemon_id const& accuser, time_point now)
        -> void;
    auto set_state(peer& changed, member_state state, time_point now) -> void;
    auto announce(peer const& changed) -> void;
    auto with_suspicion(peer const& known) const -> member;

    auto resume_after_pause(time_point now) -> void;
    auto start_next_probe(time_point now) -> void;
    auto probe_indirectly(time_point now) -> void;
    auto expire_suspicions(time_point now) -> void;
    auto has_possible_confirmer(daemon_id const& subject) const -> bool;
    auto rejoin(time_point now) -> void;
    auto missing_addresses() const -> std::vector<socket_address>;
    auto drop_expired_dead(time_point now) -> void;
    auto sync(membership_message const& message, time_point now) -> void;
    auto view() const -> std::uint64_t;
    auto live_count() const -> std::size_t;
    auto choose_probe_subject() -> std::optional<daemon_id>;
    auto choose_relays(daemon_id const& subject) -> std::vector<daemon_id>;

    template <class Content>
    auto send(socket_address const& to, Content content) -> void;
    auto take_outputs() -> membership_outputs;

    membership_settings settings_;
    member self_;
    std::mt19937_64 random_;
    std::map<daemon_id, peer> peers_;
    std::vector<vm_hint> vms_;
    std::optional<time_point> next_rejoin_;
    std::vector<daemon_id> probe_round_;
    std::optional<open_probe> probe_;
    std::vector<relayed_probe> relayed_;
    std::uint64_t last_number_ = 0;
    std::optional<time_point> differs_since_;
    time_point next_sync_{};
    time_point period_start_{};
    time_point last_tick_{};
    std::optional<time_point> stale_until_;
    gossip_queue gossip_;
    membership_outputs outputs_;
};

} // namespace sapphirereel

#endif
