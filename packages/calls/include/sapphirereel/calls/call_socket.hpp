/// \file
/// Defines a connected socket for one call, whose waits have limits and which
/// another thread can break off.
#ifndef SAPPHIREREEL_CALLS_CALL_SOCKET_HPP
#define SAPPHIREREEL_CALLS_CALL_SOCKET_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/configuration.hpp"

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace sapphirereel::calls {

/// Why a connection was not established.
struct connect_error
{
    bool has_timed_out = false;
    std::string detail;
    auto operator<=>(connect_error const&) const = default;
};

/// What a socket is ready for; neither after a wait that took too long.
struct readiness
{
    bool input = false;
    bool output = false;
    auto operator<=>(readiness const&) const = default;
};

/// A TCP connection. All functions but `break_off` are called by one thread.
class call_socket
{
public:
    call_socket() = default;
    call_socket(call_socket const&) = delete;
    auto operator=(call_socket const&) -> call_socket& = delete;
    ~call_socket();

    /// Connects to an address within a time, after closing what was open.
    auto connect(socket_address const& to, duration limit)
        -> tl::expected<void, connect_error>;

    auto close() -> void;

    /// Ends the present and each later connection, from any thread.
    auto break_off() -> void;
    [[nodiscard]] auto is_broken_off() const -> bool;

    /// Waits until there is input, or until more can be written if that is
    /// wanted.
    [[nodiscard]] auto wait(bool wants_output, duration limit) const
        -> readiness;

    /// Writes as much as the system takes; returns how many bytes, or nothing
    /// if the connection failed.
    [[nodiscard]] auto write(std::string_view bytes) const
        -> std::optional<std::size_t>;

    /// Reads what has arrived, up to `size` bytes: none at the end of input.
    /// Returns nothing if the connection failed.
    [[nodiscard]] auto read(char* to, std::size_t size) const
        -> std::optional<std::size_t>;

    /// Whether the peer has received all that was written.
    [[nodiscard]] auto has_delivered_everything() const -> bool;

private:
    auto open(int family) -> bool;

    mutable std::mutex mutex_;
    /// The descriptor, which the lock guards against a close during a
    /// `break_off`; -1 if none is open.
    int socket_ = -1;
    bool is_broken_off_ = false;
};

} // namespace sapphirereel::calls

#endif
