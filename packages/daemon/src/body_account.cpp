#include "sapphirereel/daemon/body_account.hpp"

namespace sapphirereel::daemon {

body_account::body_account(std::size_t bound)
    : bound_(bound)
{}

auto body_account::take(std::size_t bytes, std::size_t body_bytes) -> bool
{
    auto const kept = body_bytes > small_body_bytes ? bound_ / 4 : 0;
    auto const usable = bound_ - kept;
    auto now = taken_.load();
    do
    {
        if (now > usable || bytes > usable - now)
        {
            return false;
        }
    } while (!taken_.compare_exchange_weak(now, now + bytes));
    return true;
}

auto body_account::give_back(std::size_t bytes) -> void
{
    taken_ -= bytes;
}

body_share::body_share(body_account& account)
    : account_(account)
{}

body_share::~body_share()
{
    shrink_to(0);
}

auto body_share::take(std::size_t bytes) -> bool
{
    if (!account_.take(bytes, held_ + bytes))
    {
        return false;
    }
    held_ += bytes;
    return true;
}

auto body_share::shrink_to(std::size_t bytes) -> void
{
    if (bytes < held_)
    {
        account_.give_back(held_ - bytes);
        held_ = bytes;
    }
}

} // namespace sapphirereel::daemon
