#include "sapphirereel/relay/forward_target.hpp"

#include <algorithm>
#include <charconv>

namespace sapphirereel::relay {
namespace {

/// Requests that a peer of this daemon's zone may have beyond those of a peer
/// in another zone before that one is chosen.
constexpr auto zone_preference = 4.0;

/// Upper bound of the random addend that breaks ties.
constexpr auto tie_break_span = 0.5;

auto requests_of(peer_report const& peer) -> double
{
    auto sum = 0.0;
    for (auto const& [id, load] : peer.load)
    {
        sum += load.requests;
    }
    return sum;
}

auto reaches(peer_report const& peer, service_name const& service) -> bool
{
    return std::find(
               peer.lost_services.begin(), peer.lost_services.end(), service) ==
           peer.lost_services.end();
}

} // namespace

auto choose_forward_target(
    std::vector<peer_report> const& alive,
    forward_need const& need,
    std::map<std::string, std::size_t> const& forwarded,
    std::mt19937_64& random) -> std::optional<std::string>
{
    auto best = std::optional<std::string>{};
    auto best_score = 0.0;
    auto tie = std::uniform_real_distribution<double>{0, tie_break_span};
    for (auto const& peer : alive)
    {
        auto const is_usable =
            peer.version >= coldless_report_version && peer.accepts_callers &&
            peer.configuration_next >= need.configuration &&
            !need.excluded.contains(peer.ip) && reaches(peer, need.service);
        if (!is_usable)
        {
            continue;
        }
        auto const own = forwarded.find(peer.ip);
        auto const score =
            requests_of(peer) +
            (own == forwarded.end() ? 0 : static_cast<double>(own->second)) +
            (peer.zone == need.zone ? 0 : zone_preference) + tie(random);
        if (!best || score < best_score)
        {
            best = peer.ip;
            best_score = score;
        }
    }
    return best;
}

auto take_forward_terms(http::field_list& fields) -> forward_terms
{
    auto terms = forward_terms{};
    if (auto const stated = http::find(fields, permitted_attempts_name))
    {
        auto attempts = std::uint32_t{0};
        auto const* const end = stated->data() + stated->size();
        auto const read = std::from_chars(stated->data(), end, attempts);
        if (read.ec == std::errc{} && read.ptr == end && attempts > 0)
        {
            terms.max_attempts = attempts;
        }
    }
    std::erase_if(fields, [](http::field const& each) {
        return http::same_name(each.name, forwarded_by_name) ||
               http::same_name(each.name, permitted_attempts_name);
    });
    return terms;
}

auto attempts_for_peer(std::uint32_t max_attempts, std::uint32_t runs)
    -> std::uint32_t
{
    return max_attempts > runs + 2 ? max_attempts - runs - 1 : 1;
}

} // namespace sapphirereel::relay
