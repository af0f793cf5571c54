#include "sapphirereel/core/lease_holder.hpp"

#include <utility>

namespace sapphirereel {

lease_holder::lease_holder(daemon_id self, lease_settings settings)
    : self_(std::move(self))
    , settings_(settings)
{}

auto lease_holder::create(daemon_id self, lease_settings settings)
    -> result<lease_holder>
{
    if (self.empty() || settings.safety_margin >= settings.term)
    {
        return tl::unexpected(findings{finding{
            place{"lease", 0, "self, safety_margin"},
            "the daemon has no id, or the safety margin covers the whole term",
            "give an id and a safety margin shorter than the term"}});
    }
    return lease_holder{std::move(self), settings};
}

auto lease_holder::request(lease_name const& name, bool fenced) -> void
{
    requested_[name].fenced = fenced;
}

auto lease_holder::release(lease_name const& name, lease_table const& table)
    -> std::vector<lease_entry>
{
    requested_.erase(name);
    auto const lease = table.find(name);
    if (!lease || lease->holder != self_ || lease->released)
    {
        return {};
    }
    return {lease_entry{
        lease_kind::release, name, self_, duration::zero(), lease->fence,
        ++last_number_}};
}

auto lease_holder::step(lease_table const& table, time_point now)
    -> std::vector<lease_entry>
{
    std::vector<lease_entry> entries;
    for (auto& [name, requested] : requested_)
    {
        if (auto const lease = table.find(name))
        {
            observe_lease(requested, *lease);
        }
        if (auto entry = next_entry(name, requested, table, now))
        {
            entries.push_back(std::move(*entry));
        }
    }
    return entries;
}

// The term is counted from the first submission of the record, which precedes
// its append. A late copy of an earlier record does not extend the lease.
auto lease_holder::observe_lease(
    requested_lease& requested, lease_state const& lease) -> void
{
    if (lease.last == requested.seen)
    {
        return;
    }
    requested.seen = lease.last;
    if (lease.holder != self_ || lease.released)
    {
        requested.fence.reset();
        requested.pending_since.reset();
        return;
    }
    if (requested.pending_since && requested.pending_number == lease.number)
    {
        requested.fence = lease.fence;
        requested.valid_until =
            *requested.pending_since + lease.term - settings_.safety_margin;
        requested.pending_since.reset();
    }
}

auto lease_holder::next_entry(
    lease_name const& name,
    requested_lease& requested,
    lease_table const& table,
    time_point now) -> std::optional<lease_entry>
{
    auto const retry_due =
        !requested.pending_since ||
        now >= requested.pending_last + settings_.append_retry;
    if (!retry_due)
    {
        return std::nullopt;
    }
    auto const lease = table.find(name);
    auto const own = lease && lease->holder == self_ && !lease->released;
    auto const usable = requested.fence && now < requested.valid_until;
    lease_entry entry{lease_kind::acquire, name, self_, settings_.term, {}, 0};
    if (own && usable)
    {
        auto const renew_from = requested.valid_until - settings_.term / 2;
        if (now < renew_from)
        {
            return std::nullopt;
        }
        entry.kind = lease_kind::renew;
        entry.fence = lease->fence;
    }
    else
    {
        requested.fence.reset();
        auto const order_time =
            requested.fenced ? duration::zero() : settings_.order_time;
        if (!table.is_free(name, order_time, now))
        {
            return std::nullopt;
        }
        entry.fence = lease ? lease->last : log_offset{};
    }
    if (!requested.pending_since)
    {
        requested.pending_since = now;
        requested.pending_number = ++last_number_;
    }
    entry.number = requested.pending_number;
    requested.pending_last = now;
    return entry;
}

auto lease_holder::valid_fence(lease_name const& name, time_point now) const
    -> std::optional<log_offset>
{
    auto const found = requested_.find(name);
    if (found == requested_.end() || now >= found->second.valid_until)
    {
        return std::nullopt;
    }
    return found->second.fence;
}

} // namespace sapphirereel
