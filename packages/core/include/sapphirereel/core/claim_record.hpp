/// \file
/// Defines the records of the log stream `claims`, which decide which daemon
/// may run a non-idempotent call.
#ifndef SAPPHIREREEL_CORE_CLAIM_RECORD_HPP
#define SAPPHIREREEL_CORE_CLAIM_RECORD_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/log_record.hpp"
#include "sapphirereel/core/request.hpp"

#include <vector>

namespace sapphirereel {

/// Kind of a claim entry.
enum class claim_kind
{
    /// The writer will run the call if this is the name's first entry.
    run,
    /// The writer will not run the call and has not run it. As the name's first
    /// entry it prevents every daemon from running the call; after the writer's
    /// own run entry it withdraws that entry.
    refuse,
    /// The writer, whose run entry is first, has run the call.
    done
};

/// One entry for one name. `name` is a digest of customer and request name,
/// `body` a digest of the whole call, which only run entries carry.
struct claim_entry
{
    claim_kind kind = claim_kind::run;
    digest name;
    digest body;
    /// Reason for the refusal; used only by refuse entries.
    refusal_cause cause = refusal_cause::overloaded;
    auto operator<=>(claim_entry const&) const = default;
};

/// The body of one log record: all entries that a daemon had queued.
struct claim_batch
{
    daemon_id writer;
    std::vector<claim_entry> entries;
    auto operator<=>(claim_batch const&) const = default;
};

/// A record of the stream `claims`. A body that cannot be decoded becomes an
/// empty batch, so that its offset is still counted.
struct claim_log_record
{
    log_offset offset;
    wall_time appended;
    claim_batch batch;
    auto operator<=>(claim_log_record const&) const = default;
};

/// One response of the log service to a read of the stream `claims`.
struct claim_page
{
    /// Oldest offset that the log retains.
    log_offset first;
    /// Offset that the next append gets.
    log_offset next;
    /// Consecutive records.
    std::vector<claim_log_record> records;
    /// Wall-clock time of this daemon when the page arrived.
    wall_time read_at;
    auto operator<=>(claim_page const&) const = default;
};

} // namespace sapphirereel

#endif
