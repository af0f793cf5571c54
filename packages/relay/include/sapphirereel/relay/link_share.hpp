/// \file
/// Defines how many bytes of copies a daemon sends to its peers: a share of its
/// link, so that requests always find room on it.
#ifndef SAPPHIREREEL_RELAY_LINK_SHARE_HPP
#define SAPPHIREREEL_RELAY_LINK_SHARE_HPP

#include "sapphirereel/core/clock.hpp"

#include <cstddef>

namespace sapphirereel::relay {

/// Share of a daemon's link that copies for its peers may take.
inline constexpr auto copy_share_of_link = 0.8;

/// The bytes that were sent of late. They are paid off at a constant rate;
/// nothing more is sent before.
class link_share
{
public:
    /// `link_bytes_per_second` is the link's rate; without limit if it is 0.
    explicit link_share(double link_bytes_per_second);

    /// Counts bytes that are sent now.
    auto charge(std::size_t bytes, time_point now) -> void;

    /// Time until more may be sent; 0 if it may be sent now.
    [[nodiscard]] auto wait(time_point now) const -> duration;

private:
    double bytes_per_second_;
    /// When all that was sent is paid off.
    time_point paid_at_{};
};

} // namespace sapphirereel::relay

#endif
