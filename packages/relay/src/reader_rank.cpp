#include "sapphirereel/relay/reader_rank.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

/// Daemons that read closely: the loss of all but one of them is borne without
/// a delay.
constexpr auto close_readers = 3;

/// How a stream is followed closely: each read waits for the next record.
constexpr auto close_following =
    follow_settings{milliseconds{5'000}, milliseconds{5}};

/// How a stream is followed otherwise: now and then, in case no peer tells.
constexpr auto distant_following =
    follow_settings{duration{0}, milliseconds{3'000}};

} // namespace

auto reads_closely(
    std::string_view own_ip, std::vector<peer_report> const& alive) -> bool
{
    auto const before =
        std::count_if(alive.begin(), alive.end(), [&](auto const& peer) {
            return peer.is_in_touch && peer.ip < own_ip;
        });
    return before < close_readers;
}

auto follow_settings_of(bool closely) -> follow_settings
{
    return closely ? close_following : distant_following;
}

} // namespace sapphirereel::relay
