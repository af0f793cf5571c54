/// \file
/// Defines the account of the bytes that responses of other processes take
/// while they are buffered, so that many endless ones at once do not exhaust a
/// daemon's memory.
#ifndef SAPPHIREREEL_RELAY_BUFFER_ACCOUNT_HPP
#define SAPPHIREREEL_RELAY_BUFFER_ACCOUNT_HPP

#include <cstddef>

namespace sapphirereel::relay {

/// Share of a daemon's memory that buffered responses may take. A growing
/// buffer takes up to twice its bytes for a moment.
inline constexpr auto buffered_share_of_memory = 0.2;

/// Limit in bytes where a daemon's memory is not known.
inline constexpr auto default_buffered_bytes = std::size_t{64} << 20U;

/// The bytes that are buffered, and the responses that they belong to.
class buffer_account
{
public:
    explicit buffer_account(std::size_t limit)
        : limit_(limit)
    {}

    auto set_limit(std::size_t limit) -> void
    {
        limit_ = limit;
    }

    /// Counts bytes of a response that holds `held` bytes. Returns whether they
    /// may be buffered: if the limit is reached, a response may not grow beyond
    /// an equal share of it, so that short ones are not affected by long ones.
    auto charge(std::size_t bytes, std::size_t held) -> bool;

    /// Gives back all bytes of a response.
    auto release(std::size_t held) -> void;

    /// Bytes that are buffered now.
    [[nodiscard]] auto bytes() const -> std::size_t
    {
        return bytes_;
    }

private:
    std::size_t limit_;
    std::size_t bytes_ = 0;
    /// Responses with buffered bytes.
    std::size_t responses_ = 0;
};

} // namespace sapphirereel::relay

#endif
