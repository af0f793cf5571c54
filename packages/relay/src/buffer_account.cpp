#include "sapphirereel/relay/buffer_account.hpp"

namespace sapphirereel::relay {

auto buffer_account::charge(std::size_t bytes, std::size_t held) -> bool
{
    if (bytes == 0)
    {
        return true;
    }
    auto const responses = responses_ + (held == 0 ? 1 : 0);
    if (bytes_ + bytes > limit_ && held + bytes > limit_ / responses)
    {
        return false;
    }
    bytes_ += bytes;
    responses_ = responses;
    return true;
}

auto buffer_account::release(std::size_t held) -> void
{
    if (held > 0)
    {
        bytes_ -= held;
        --responses_;
    }
}

} // namespace sapphirereel::relay
