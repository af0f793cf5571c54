/// \file
/// Defines the requests that were refused, or failed, on one connection. The
/// other side may write such a response once more, with the same request id: if
/// the request were sent on the connection again, the copy would be taken for
/// the response to the new attempt.
#ifndef SAPPHIREREEL_RELAY_FAILED_REQUESTS_HPP
#define SAPPHIREREEL_RELAY_FAILED_REQUESTS_HPP

#include <cstddef>
#include <string_view>
#include <vector>

namespace sapphirereel::relay {

/// Most requests that are remembered for one connection.
inline constexpr auto max_failed_requests = std::size_t{64};

/// Remembers requests by the hashes of their ids. Two ids with one hash cost a
/// new connection and nothing else.
class failed_requests
{
public:
    /// Remembers a request.
    auto add(std::string_view request_id) -> void;

    /// Whether a request may have been refused, or may have failed, on the
    /// connection.
    [[nodiscard]] auto contains(std::string_view request_id) const -> bool;

    /// Whether no more are remembered, so that the connection can't be used any
    /// longer.
    [[nodiscard]] auto is_full() const -> bool
    {
        return hashes_.size() >= max_failed_requests;
    }

    auto operator<=>(failed_requests const&) const = default;

private:
    std::vector<std::size_t> hashes_;
};

} // namespace sapphirereel::relay

#endif
