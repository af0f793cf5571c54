/// \file
/// Defines what the platform's log service offers: appending to a stream and
/// reading a page of it.
#ifndef SAPPHIREREEL_PLATFORM_LOG_SERVICE_HPP
#define SAPPHIREREEL_PLATFORM_LOG_SERVICE_HPP

#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/log_record.hpp"

#include <concepts>
#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace sapphirereel::platform {

/// What is known of an append.
enum class append_status
{
    /// The record stands at the outcome's offset.
    appended,
    /// The record was surely not appended, and never will be.
    refused,
    /// The record may stand or may yet be appended: read back before deciding.
    unanswered
};

/// How an append ended. The offset is 0 unless the record was appended.
struct append_outcome
{
    append_status status = append_status::unanswered;
    log_offset offset;
    std::string detail;
    auto operator<=>(append_outcome const&) const = default;
};

/// A page of a stream. A `first` behind the offset that was asked for means
/// that retention removed the records between.
struct log_page
{
    /// Oldest offset that the log still holds.
    log_offset first;
    /// Offset that the next append will get.
    log_offset next;
    /// Records in order of their offsets, from the one asked for.
    std::vector<log_record> records;
    auto operator<=>(log_page const&) const = default;
};

/// Why a page could not be read.
enum class log_failure
{
    unreachable,
    unanswered,
    rejected,
    malformed
};

/// A failed read.
struct log_error
{
    log_failure failure = log_failure::unanswered;
    std::string detail;
    auto operator<=>(log_error const&) const = default;
};

/// A log service. Calls block and may be made from several threads.
///
/// Example: `log.read(stream_name{"config"}, log_offset{1}, 500, wait)` waits
/// up to `wait` for a record at or after offset 1.
template <class Service>
concept log_service = requires(
    Service const& log,
    stream_name const& stream,
    std::string_view body,
    log_offset from,
    std::size_t limit,
    duration wait)
{
    {
        log.append(stream, body)
        } -> std::same_as<append_outcome>;
    {
        log.read(stream, from, limit, wait)
        } -> std::same_as<tl::expected<log_page, log_error>>;
};

} // namespace sapphirereel::platform

#endif
