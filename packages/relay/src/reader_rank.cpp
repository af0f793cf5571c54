#include "sapphirereel/relay/reader_rank.hpp"

#include "sapphirereel/relay/report_pace.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

/// Daemons that read closely: the loss of all but one of them is borne without
/// a delay.
constexpr auto close_readers = 3;

/// How a stream is followed closely: each read waits for the next record.
constexpr auto close_following =
    follow_settings{milliseconds{5'000}, milliseconds{10}};

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

auto follow_settings_of(bool closely, std::size_t daemons) -> follow_settings
{
    // From a distance it is read now and then, in case no peer tells.
    return closely ? close_following
                   : follow_settings{duration{0}, distant_read_pause(daemons)};
}

} // namespace sapphirereel::relay
