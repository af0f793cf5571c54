/// \file
/// Defines the waits between attempts to connect to a peer.
#ifndef SAPPHIREREEL_PEER_BACKOFF_HPP
#define SAPPHIREREEL_PEER_BACKOFF_HPP

#include "sapphirereel/core/clock.hpp"

#include <algorithm>
#include <random>

namespace sapphirereel::peer::internal {

/// Waits that double from the first to the limit, with jitter.
class backoff
{
public:
    backoff(duration first, duration limit)
        : first_(first)
        , limit_(limit)
        , next_(first)
    {}

    /// The next wait, drawn between half of the present bound and the whole.
    auto next(std::mt19937_64& generator) -> duration
    {
        auto draw = std::uniform_int_distribution<duration::rep>{
            next_.count() / 2, next_.count()};
        auto const wait = duration{draw(generator)};
        next_ = std::min(next_ * 2, limit_);
        return wait;
    }

    /// Starts over after a success.
    auto reset() -> void
    {
        next_ = first_;
    }

private:
    duration first_;
    duration limit_;
    duration next_;
};

} // namespace sapphirereel::peer::internal

#endif
