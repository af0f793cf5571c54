/// \file
/// Defines the token bucket that limits a stand-in's rate.
#ifndef SAPPHIREREEL_STANDINS_TOKEN_BUCKET_HPP
#define SAPPHIREREEL_STANDINS_TOKEN_BUCKET_HPP

#include "sapphirereel/core/clock.hpp"

namespace sapphirereel::standins {

/// Lets `burst` takes through at once and `rate` a period in the long run.
class token_bucket
{
public:
    token_bucket(double rate, duration period, double burst);

    /// Takes one, unless the rate is used up.
    auto take(time_point now) -> bool;

private:
    double tokens_per_microsecond_;
    double burst_;
    double tokens_;
    time_point refilled_;
};

} // namespace sapphirereel::standins

#endif
