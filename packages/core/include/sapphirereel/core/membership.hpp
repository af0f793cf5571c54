/// \file
/// Defines membership: a SWIM-style gossip membership protocol and failure
/// detector.
///
/// Each daemon probes one random member per period. A member that does not
/// answer is probed indirectly through other members, then suspected. It is
/// declared dead when it has not refuted the suspicion in time and a second
/// daemon also suspects it, or after a longer time when no other daemon is
/// reachable to confirm. The platform's VM list only supplies addresses to
/// contact.
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

/// Timeouts and limits of the membership protocol.
struct membership_settings
{
    /// Time between two probes; each period probes one member.
    duration probe_period = std::chrono::seconds{1};
    /// Time without an answer after which a member is probed indirectly.
    duration probe_timeout = std::chrono::milliseconds{300};
    /// Number of members asked to probe one that did not answer.
    std::size_t indirect_probes = 3;
    /// Time that a suspected member has to refute the suspicion.
    duration suspicion_time = std::chrono::seconds{3};
    /// Time after which this daemon's own suspicion suffices when no other
    /// daemon is reachable to confirm it.
    duration lone_opinion_time = std::chrono::seconds{12};
    /// Longest time between two ticks; a longer one means that this process was
    /// paused.
    duration pause_limit = std::chrono::milliseconds{1500};
    /// Time between two attempts to join listed VMs without a known daemon and
    /// members declared dead.
    duration rejoin_period = std::chrono::seconds{5};
    /// Least time between two full state requests to peers whose view differs.
    duration sync_period = std::chrono::seconds{5};
    /// Time for which all peers' views must have differed before such a
    /// request, so that gossip can resolve the difference first. A daemon that
    /// has just started does not wait.
    duration settle_time = std::chrono::seconds{10};
    /// Time for which a dead member's facts are kept.
    duration dead_retention = std::chrono::hours{2};
    /// Limit of the gossip in one message, in bytes.
    std::size_t news_bytes = 400;
    /// Port on which every daemon receives peer messages.
    std::uint16_t peer_port = 7450;
    auto operator<=>(membership_settings const&) const = default;
};

/// One daemon's view of all members. Performs no I/O: calls return the messages
/// to send and the state changes.
/// Example:
/// ```
/// auto group = membership::create(settings, self, seed, now).value();
/// group.on(vm_list, now);
/// for (auto const& output : group.tick(now)) perform(output);
/// ```
class membership
{
public:
    /// Returns findings when a setting is not positive or `self` has no id.
    static auto create(
        membership_settings settings,
        member self,
        std::uint64_t seed,
        time_point now) -> result<membership>;

    /// Applies a message from another daemon.
    auto on(membership_message const& message, time_point now)
        -> membership_outputs;

    /// Replaces the platform's list of VMs.
    auto on(std::vector<vm_hint> const& vms, time_point now)
        -> membership_outputs;

    /// Runs the timers. To be called about every 100 ms.
    auto tick(time_point now) -> membership_outputs;

    /// Announces to the group that this daemon is leaving as planned.
    auto leave(time_point now) -> membership_outputs;

    /// Sets the offset of the configuration that this daemon has in force.
    auto set_in_force(log_offset offset) -> void;

    /// This daemon's own facts.
    [[nodiscard]] auto self() const -> member const&;

    /// This daemon and all members that are not dead, leaving ones included,
    /// ordered by id.
    [[nodiscard]] auto live() const -> std::vector<daemon_id>;

    /// This daemon and all known members, dead ones included, ordered by id.
    [[nodiscard]] auto members() const -> std::vector<member>;

    /// Facts of one daemon, or nothing if it is unknown.
    [[nodiscard]] auto find(daemon_id const& id) const -> std::optional<member>;

    /// Whether this process has resumed from a pause and has not received a
    /// peer's message since, so that its view of the members is stale.
    [[nodiscard]] auto stale(time_point now) const -> bool;

private:
    struct peer
    {
        member facts;
        time_point state_since{};
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
    auto apply_gossip(gossip const& received, time_point now) -> void;
    auto apply_suspicion(suspicion const& report, time_point now) -> void;
    auto add_suspicion(peer& target, daemon_id const& reporter, time_point now)
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
    auto view_digest() const -> std::uint64_t;
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
