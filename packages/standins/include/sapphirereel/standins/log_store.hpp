/// \file
/// Defines the streams of the log stand-in: append-only, with offsets and
/// bounded retention.
#ifndef SAPPHIREREEL_STANDINS_LOG_STORE_HPP
#define SAPPHIREREEL_STANDINS_LOG_STORE_HPP

#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/log_record.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace sapphirereel::standins {

/// How much of each stream is kept.
struct log_retention
{
    std::size_t max_records = 100'000;
    std::chrono::milliseconds max_age{std::chrono::hours{24}};
    auto operator<=>(log_retention const&) const = default;
};

/// Part of a stream.
struct stream_page
{
    log_offset first;
    log_offset next;
    std::vector<log_record> records;
    auto operator<=>(stream_page const&) const = default;
};

/// All streams. A stream exists from the first question about it.
class log_store
{
public:
    explicit log_store(log_retention retention);

    auto set_retention(log_retention retention) -> void;

    auto append(stream_name const& stream, std::string body, wall_time now)
        -> log_offset;

    /// At most `limit` records from an offset on.
    auto read(
        stream_name const& stream,
        log_offset from,
        std::size_t limit,
        wall_time now) -> stream_page;

private:
    struct stored_stream
    {
        log_offset next{1};
        std::deque<log_record> records;
    };

    auto remove_expired(stored_stream& stream, wall_time now) const -> void;

    log_retention retention_;
    std::map<stream_name, stored_stream> streams_;
};

} // namespace sapphirereel::standins

#endif
