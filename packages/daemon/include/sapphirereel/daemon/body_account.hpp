/// \file
/// Defines how many bytes the bodies of all callers' requests may hold
/// together.
#ifndef SAPPHIREREEL_DAEMON_BODY_ACCOUNT_HPP
#define SAPPHIREREEL_DAEMON_BODY_ACCOUNT_HPP

#include <atomic>
#include <cstddef>

namespace sapphirereel::daemon {

/// Counts the bytes that bodies hold, up to a bound. A part of the bound is
/// kept for small bodies, so that large ones don't keep them out. May be used
/// by many threads at once.
class body_account
{
public:
    /// Largest body that may use the whole bound, in bytes.
    static constexpr auto small_body_bytes = std::size_t{64} << 10;

    explicit body_account(std::size_t bound);

    /// Takes `bytes` more for a body that then holds `body_bytes`; false, and
    /// nothing is taken, if they aren't free.
    auto take(std::size_t bytes, std::size_t body_bytes) -> bool;

    /// Gives back bytes that were taken.
    auto give_back(std::size_t bytes) -> void;

    /// Bytes that are taken.
    [[nodiscard]] auto taken() const -> std::size_t
    {
        return taken_;
    }

private:
    std::size_t bound_;
    std::atomic<std::size_t> taken_ = 0;
};

/// What one body has taken of an account; given back at the end of its scope.
class body_share
{
public:
    /// The account must outlive the share.
    explicit body_share(body_account& account);

    body_share(body_share const&) = delete;
    auto operator=(body_share const&) -> body_share& = delete;

    ~body_share();

    /// Takes more; false, and nothing is taken, if that isn't free.
    auto take(std::size_t bytes) -> bool;

    /// Gives back all but `bytes`.
    auto shrink_to(std::size_t bytes) -> void;

private:
    body_account& account_;
    std::size_t held_ = 0;
};

} // namespace sapphirereel::daemon

#endif
