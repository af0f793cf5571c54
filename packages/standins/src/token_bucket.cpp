#include "sapphirereel/standins/token_bucket.hpp"

#include <algorithm>

namespace sapphirereel::standins {

token_bucket::token_bucket(double rate, duration period, double burst)
    : tokens_per_microsecond_(rate / static_cast<double>(period.count()))
    , burst_(burst)
    , tokens_(burst)
{}

auto token_bucket::take(time_point now) -> bool
{
    auto const passed = static_cast<double>((now - refilled_).count());
    tokens_ = std::min(burst_, tokens_ + passed * tokens_per_microsecond_);
    refilled_ = now;
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace sapphirereel::standins
