#include "sapphirereel/relay/intake_account.hpp"

namespace sapphirereel::relay {
namespace {

/// What all messages may hold together for one of them to hold `wanted` bytes.
auto limit_for(std::size_t wanted, std::size_t limit) -> std::size_t
{
    if (wanted <= small_message_bytes)
    {
        return limit;
    }
    return limit - static_cast<std::size_t>(
                       static_cast<double>(limit) * share_for_small_messages);
}

} // namespace

auto intake_account::resize(std::size_t held, std::size_t wanted) -> bool
{
    auto const others = bytes_ - held;
    auto const grows = wanted > held;
    if (grows && others + wanted > limit_for(wanted, limit_))
    {
        return false;
    }
    bytes_ = others + wanted;
    return true;
}

} // namespace sapphirereel::relay
