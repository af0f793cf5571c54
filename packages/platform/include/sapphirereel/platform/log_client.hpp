/// \file
/// Defines the HTTP client of the platform's log service.
#ifndef SAPPHIREREEL_PLATFORM_LOG_CLIENT_HPP
#define SAPPHIREREEL_PLATFORM_LOG_CLIENT_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/platform/log_service.hpp"
#include "sapphirereel/platform/timeouts.hpp"

namespace sapphirereel::platform {

/// Largest body of a record, in bytes.
inline constexpr auto max_record_bytes = std::size_t{1} << 20;

/// Speaks to the log service at one address.
class log_client
{
public:
    explicit log_client(socket_address address, timeouts limits = {});

    /// Appends a record to the end of a stream.
    [[nodiscard]] auto append(stream_name const& stream, std::string_view body)
        const -> append_outcome;

    /// Reads at most `limit` records from an offset on, and waits up to
    /// `wait` for the first.
    [[nodiscard]] auto read(
        stream_name const& stream,
        log_offset from,
        std::size_t limit,
        duration wait) const -> tl::expected<log_page, log_error>;

private:
    socket_address address_;
    timeouts limits_;
};

static_assert(log_service<log_client>);

} // namespace sapphirereel::platform

#endif
