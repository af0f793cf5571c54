/// \file
/// Defines gossip_queue: selects the facts to piggyback on the next message,
/// those sent least often first, within a limit in bytes.
#ifndef SAPPHIREREEL_CORE_GOSSIP_QUEUE_HPP
#define SAPPHIREREEL_CORE_GOSSIP_QUEUE_HPP

#include "sapphirereel/core/membership_event.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace sapphirereel {

/// Facts awaiting dissemination. Each is sent a number of times that grows with
/// the logarithm of the group size, then dropped.
class gossip_queue
{
public:
    /// `bytes` limits the encoded gossip of one message.
    explicit gossip_queue(std::size_t bytes);

    auto add(member const& facts) -> void;
    auto add(suspicion const& report) -> void;
    auto add(in_force_fact const& fact) -> void;

    /// The gossip of the next message in a group of `group_size` daemons;
    /// counts each returned fact as sent once more.
    auto take(std::size_t group_size) -> gossip;

    [[nodiscard]] auto empty() const -> bool;

private:
    template <class Fact>
    struct queued_fact
    {
        Fact fact;
        std::uint32_t transmissions = 0;
    };

    struct suspicion_key
    {
        daemon_id subject;
        daemon_id reporter;
        auto operator<=>(suspicion_key const&) const = default;
    };

    std::size_t bytes_;
    std::map<daemon_id, queued_fact<member>> members_;
    std::map<suspicion_key, queued_fact<suspicion>> suspicions_;
    std::map<daemon_id, queued_fact<in_force_fact>> in_force_;
};

/// Upper bound of the size of a fact encoded in MessagePack, in bytes.
auto encoded_bytes(member const& facts) -> std::size_t;
auto encoded_bytes(suspicion const& report) -> std::size_t;
auto encoded_bytes(in_force_fact const& fact) -> std::size_t;

} // namespace sapphirereel

#endif
