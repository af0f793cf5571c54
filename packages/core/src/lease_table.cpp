#include "sapphirereel/core/lease_table.hpp"

#include <chrono>

namespace sapphirereel {

namespace {

/// Time past the end of a term, by the log's clock, after which an acquire
/// record is accepted even if its writer has not read the lease's last record.
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

// The writer must have read the last record even when it is a release, because
// only then has it waited for orders in flight.
//
// A reader that missed the last lease accepts any acquire. The other readers
// accept it as well, because by the log's time that lease expired long before.
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

// The term is counted from the time of reading, which is later than the append,
// so that no other machine's clock matters.
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
    auto const term_left = lease->released ? duration::zero() : lease->term;
    return now >= lease->read_at + term_left + order_time;
}

auto lease_table::next_offset() const -> log_offset
{
    return next_;
}

} // namespace sapphirereel
