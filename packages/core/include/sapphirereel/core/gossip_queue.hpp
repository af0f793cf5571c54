/// \file
/// Defines gossip_queue: which facts travel with the next message, the
/// least told first, within a bound of bytes.
#ifndef SAPPHIREREEL_CORE_GOSSIP_QUEUE_HPP
#define SAPPHIREREEL_CORE_GOSSIP_QUEUE_HPP

#include "sapphirereel/core/membership_event.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace sapphirereel {

/// Facts that are still to be told. Each is told a number of times that grows
/// with the logarithm of the group.
class gossip_queue
{
public:
    /// `bytes` bounds the news of one message.
    explicit gossip_queue(std::size_t bytes);

    auto add(member const& facts) -> void;
    auto add(suspicion const& opinion) -> void;
    auto add(in_force_fact const& fact) -> void;

    /// The news of the next message in a group of `group_size` daemons.
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
        daemon_id accuser;
        auto operator<=>(suspicion_key const&) const = default;
    };

    std::size_t bytes_;
    std::map<daemon_id, queued_fact<member>> members_;
    std::map<suspicion_key, queued_fact<suspicion>> suspicions_;
    std::map<daemon_id, queued_fact<in_force_fact>> in_force_;
};

/// Upper bound of the encoded size of a fact, in bytes.
auto encoded_bytes(member const& facts) -> std::size_t;
auto encoded_bytes(suspicion const& opinion) -> std::size_t;
auto encoded_bytes(in_force_fact const& fact) -> std::size_t;

} // namespace sapphirereel

#endif
