#include "sapphirereel/core/lease_table.hpp"

#include <chrono>

namespace sapphirereel {

namespace {

/// Time that the log's clock must show past a term before an acquire record
/// counts that has not seen the lease's last record.
constexpr duration unread_acquire_grace = std::chrono::seconds{30};

auto is_over(lease_state const& lease, wall_time at) -> bool
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    auto const term =
        duration_cast<milliseconds>(lease.term + unread_acquire_grace);
    return at.milliseconds - lease.last_appended.milliseconds >= term.count();
}

} // namespace

lease_table::lease_table(duration longest_term)
    : longest_term_(longest_term)
{}

auto lease_table::apply(lease_page const& page, time_point now)
    -> std::vector<lease_name>
{
    std::vector<lease_name> changed;
    if (page.first > next_)
    {
        gap_read_at_ = now;
        next_ = page.first;
    }
    for (auto const& record : page.records)
    {
        if (record.offset < next_)
        {
            continue;
        }
        if (record.offset > next_)
        {
            break;
        }
        next_.value = record.offset.value + 1;
        for (auto const& entry : record.entries)
        {
            if (apply_entry(record, entry, now))
            {
                changed.push_back(entry.name);
            }
        }
    }
    return changed;
}

// Also after a release the writer must have read it, since only then has it
// waited for orders on their way.
//
// A reader that has missed the last lease lets every acquire count; so do the
// others then, since that lease is long over by the log's time.
auto lease_table::apply_entry(
    lease_log_record const& record, lease_entry const& entry, time_point now)
    -> bool
{
    auto const found = leases_.find(entry.name);
    if (entry.kind == lease_kind::acquire)
    {
        auto const taken = found != leases_.end() &&
                           entry.fence != found->second.last &&
                           !is_over(found->second, record.appended);
        if (taken)
        {
            return false;
        }
        leases_[entry.name] = {
            entry.holder, record.offset, record.offset, record.appended,
            entry.term,   false,         entry.number,  now};
        return true;
    }
    auto const counts =
        found != leases_.end() && found->second.holder == entry.holder &&
        found->second.fence == entry.fence && !found->second.released;
    if (!counts)
    {
        return false;
    }
    auto& lease = found->second;
    lease.last = record.offset;
    lease.last_appended = record.appended;
    lease.read_at = now;
    lease.number = entry.number;
    lease.released = entry.kind == lease_kind::release;
    if (entry.kind == lease_kind::renew)
    {
        lease.term = entry.term;
    }
    return true;
}

auto lease_table::find(lease_name const& name) const
    -> std::optional<lease_state>
{
    auto const found = leases_.find(name);
    if (found == leases_.end())
    {
        return std::nullopt;
    }
    return found->second;
}

// Counted from the reading, which is later than the append, so that no clock
// of another machine matters.
auto lease_table::is_free(
    lease_name const& name, duration order_time, time_point now) const -> bool
{
    if (gap_read_at_ && now < *gap_read_at_ + longest_term_ + order_time)
    {
        return false;
    }
    auto const lease = find(name);
    if (!lease)
    {
        return true;
    }
    auto const rest = lease->released ? duration::zero() : lease->term;
    return now >= lease->read_at + rest + order_time;
}

auto lease_table::next_offset() const -> log_offset
{
    return next_;
}

} // namespace sapphirereel
