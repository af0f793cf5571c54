/// \file
/// Defines the account of the bytes that callers' messages take from their
/// first byte to their response, so that many large or unfinished ones at once
/// do not exhaust a daemon's memory.
#ifndef SAPPHIREREEL_RELAY_INTAKE_ACCOUNT_HPP
#define SAPPHIREREEL_RELAY_INTAKE_ACCOUNT_HPP

#include <cstddef>

namespace sapphirereel::relay {

/// Share of a daemon's memory that callers' messages may take.
inline constexpr auto intake_share_of_memory = 0.25;

/// Limit in bytes where a daemon's memory is not known.
inline constexpr auto default_intake_bytes = std::size_t{64} << 20U;

/// Largest message that counts as small, in bytes.
inline constexpr auto small_message_bytes = std::size_t{64} << 10U;

/// Share of the limit that only small messages may take, so that ordinary
/// requests are taken while large ones fill the rest.
inline constexpr auto share_for_small_messages = 0.25;

/// The bytes that messages hold now, on all ports together.
class intake_account
{
public:
    explicit intake_account(std::size_t limit = default_intake_bytes)
        : limit_(limit)
    {}

    auto set_limit(std::size_t limit) -> void
    {
        limit_ = limit;
    }

    /// Changes what one message holds from `held` to `wanted` bytes. Returns
    /// whether it may hold that much; if not, nothing changes. Holding less is
    /// always possible.
    auto resize(std::size_t held, std::size_t wanted) -> bool;

    /// Bytes that are held now.
    [[nodiscard]] auto bytes() const -> std::size_t
    {
        return bytes_;
    }

private:
    std::size_t limit_;
    std::size_t bytes_ = 0;
};

} // namespace sapphirereel::relay

#endif
