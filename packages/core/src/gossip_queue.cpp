#include "sapphirereel/core/gossip_queue.hpp"

#include <algorithm>
#include <bit>
#include <vector>

namespace sapphirereel {

namespace {

/// Times that a fact is sent per doubling of the group size.
constexpr std::uint32_t transmissions_per_doubling = 3;
/// Size of a fact in MessagePack without its strings: keys, lengths, numbers.
constexpr std::size_t member_frame_bytes = 130;
constexpr std::size_t suspicion_frame_bytes = 40;
constexpr std::size_t in_force_frame_bytes = 25;

auto transmission_limit(std::size_t group_size) -> std::uint32_t
{
    auto const doublings = std::bit_width(group_size);
    return transmissions_per_doubling * static_cast<std::uint32_t>(doublings);
}

/// Moves facts into `taken`, those sent least often first, until the next one
/// exceeds the bytes left. Drops facts that have been sent `limit` times.
template <class Facts, class Fact>
auto take_least_sent(
    Facts& facts,
    std::vector<Fact>& taken,
    std::size_t& bytes_left,
    std::uint32_t limit) -> void
{
    std::vector<typename Facts::iterator> order;
    for (auto i = facts.begin(); i != facts.end(); ++i)
    {
        order.push_back(i);
    }
    std::stable_sort(
        order.begin(), order.end(), [](auto const& a, auto const& b) {
            return a->second.transmissions < b->second.transmissions;
        });
    for (auto const& entry : order)
    {
        auto const size = encoded_bytes(entry->second.fact);
        if (size > bytes_left)
        {
            return;
        }
        bytes_left -= size;
        taken.push_back(entry->second.fact);
        if (++entry->second.transmissions >= limit)
        {
            facts.erase(entry);
        }
    }
}

} // namespace

auto encoded_bytes(member const& facts) -> std::size_t
{
    return member_frame_bytes + facts.id.str().size() +
           facts.caller_address.ip.size() + facts.peer_address.ip.size() +
           facts.zone.str().size() + facts.region.str().size();
}

auto encoded_bytes(suspicion const& report) -> std::size_t
{
    return suspicion_frame_bytes + report.subject.str().size() +
           report.accuser.str().size();
}

auto encoded_bytes(in_force_fact const& fact) -> std::size_t
{
    return in_force_frame_bytes + fact.id.str().size();
}

gossip_queue::gossip_queue(std::size_t bytes)
    : bytes_(bytes)
{}

auto gossip_queue::add(member const& facts) -> void
{
    members_[facts.id] = {facts, 0};
}

auto gossip_queue::add(suspicion const& report) -> void
{
    suspicions_[{report.subject, report.accuser}] = {report, 0};
}

auto gossip_queue::add(in_force_fact const& fact) -> void
{
    in_force_[fact.id] = {fact, 0};
}

auto gossip_queue::take(std::size_t group_size) -> gossip
{
    gossip selected;
    auto bytes_left = bytes_;
    auto const limit = transmission_limit(group_size);
    take_least_sent(suspicions_, selected.suspicions, bytes_left, limit);
    take_least_sent(members_, selected.members, bytes_left, limit);
    take_least_sent(in_force_, selected.in_force, bytes_left, limit);
    return selected;
}

auto gossip_queue::empty() const -> bool
{
    return suspicions_.empty() && members_.empty() && in_force_.empty();
}

} // namespace sapphirereel
