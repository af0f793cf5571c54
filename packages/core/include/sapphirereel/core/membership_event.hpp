/// \file
/// Defines the data of the membership protocol: facts about daemons, entries of
/// the VM list, messages between daemons and outputs.
#ifndef SAPPHIREREEL_CORE_MEMBERSHIP_EVENT_HPP
#define SAPPHIREREEL_CORE_MEMBERSHIP_EVENT_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/log_record.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sapphirereel {

/// State of a daemon as seen by the daemon that reports it.
enum class member_state
{
    alive,
    /// It did not answer a probe and can still refute the suspicion.
    suspect,
    /// It is stopping as planned: it finishes its work but is given no more.
    leaving,
    dead
};

/// Facts about one daemon. Of two versions of the facts about one daemon the
/// one with the higher incarnation takes precedence, then the one whose state
/// is declared later in `member_state`.
struct member
{
    daemon_id id;
    socket_address caller_address;
    socket_address peer_address;
    zone_name zone;
    region_name region;
    member_state state = member_state::alive;
    /// Raised by the daemon itself to override what others report about it.
    std::uint32_t incarnation = 0;
    /// Offset of the configuration that the daemon has in force.
    log_offset in_force;
    auto operator<=>(member const&) const = default;
};

/// State of a VM in the platform's list.
enum class vm_state
{
    live,
    leaving
};

/// One entry of the platform's list of VMs, which can be out of date.
struct vm_hint
{
    std::string name;
    std::string ip;
    zone_name zone;
    region_name region;
    vm_state state = vm_state::live;
    auto operator<=>(vm_hint const&) const = default;
};

/// One daemon's report that a member does not answer. `accuser` is the daemon
/// that reports it, `incarnation` that of the subject at the time.
struct suspicion
{
    daemon_id subject;
    std::uint32_t incarnation = 0;
    daemon_id accuser;
    auto operator<=>(suspicion const&) const = default;
};

/// A member's configuration offset, without its other facts.
struct in_force_fact
{
    daemon_id id;
    log_offset in_force;
    auto operator<=>(in_force_fact const&) const = default;
};

/// Facts piggybacked on every message, limited in bytes.
struct gossip
{
    std::vector<member> members;
    std::vector<suspicion> suspicions;
    std::vector<in_force_fact> in_force;
    auto operator<=>(gossip const&) const = default;
};

/// Asks whether the receiver is alive.
struct probe
{
    std::uint64_t number = 0;
    auto operator<=>(probe const&) const = default;
};

/// Answers a probe.
struct probe_answer
{
    std::uint64_t number = 0;
    auto operator<=>(probe_answer const&) const = default;
};

/// Asks the receiver to probe `subject` and to relay the answer.
struct probe_request
{
    std::uint64_t number = 0;
    daemon_id subject;
    auto operator<=>(probe_request const&) const = default;
};

/// Reports that `subject` has answered a probe made on request.
struct probe_relay
{
    std::uint64_t number = 0;
    daemon_id subject;
    auto operator<=>(probe_relay const&) const = default;
};

/// Asks for the full member list; the message carries the sender's facts.
struct join_request
{
    auto operator<=>(join_request const&) const = default;
};

/// All members known to the sender, except dead ones.
struct join_answer
{
    std::vector<member> members;
    auto operator<=>(join_answer const&) const = default;
};

/// A message of the membership protocol with the sender's own facts.
struct membership_message
{
    member sender;
    std::variant<
        probe,
        probe_answer,
        probe_request,
        probe_relay,
        join_request,
        join_answer>
        content;
    gossip news;
    /// Digest of the ids of the members that are live in the sender's view. A
    /// receiver whose digest differs persistently requests the full member
    /// list.
    std::uint64_t view = 0;
    auto operator<=>(membership_message const&) const = default;
};

/// Sends the message to the peer address; delivery is not guaranteed.
struct send_membership_message
{
    socket_address to;
    membership_message message;
    auto operator<=>(send_membership_message const&) const = default;
};

/// A member is new to this daemon's view, or its address or reported state may
/// have changed.
struct member_changed
{
    member now;
    auto operator<=>(member_changed const&) const = default;
};

/// An effect for the caller to perform.
using membership_output = std::variant<send_membership_message, member_changed>;

using membership_outputs = std::vector<membership_output>;

} // namespace sapphirereel

#endif
