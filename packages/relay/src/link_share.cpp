#include "sapphirereel/relay/link_share.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

/// Time for which a daemon may be ahead of the rate, so that a pause between
/// two requests of a receiver does not leave the link idle.
constexpr auto max_advance = duration{std::chrono::milliseconds{60}};

} // namespace

link_share::link_share(double link_bytes_per_second)
    : bytes_per_second_(link_bytes_per_second * copy_share_of_link)
{}

auto link_share::charge(std::size_t bytes, time_point now) -> void
{
    if (bytes_per_second_ <= 0)
    {
        return;
    }
    auto const length = std::chrono::duration<double>{
        static_cast<double>(bytes) / bytes_per_second_};
    paid_at_ =
        std::max(paid_at_, now) + std::chrono::duration_cast<duration>(length);
}

auto link_share::wait(time_point now) const -> duration
{
    return std::max(duration{0}, paid_at_ - max_advance - now);
}

} // namespace sapphirereel::relay
