#include "sapphirereel/standins/run_attachments.hpp"

namespace sapphirereel::standins {

auto run_attachments::attach(run_id const& run, std::uint64_t number)
    -> std::optional<attachment_ticket>
{
    auto& hold = holds_[run];
    if (number < hold.number)
    {
        return std::nullopt;
    }
    hold.number = number;
    hold.detached.reset();
    return attachment_ticket{run, ++hold.serial};
}

auto run_attachments::stands(attachment_ticket const& ticket) const -> bool
{
    auto const found = holds_.find(ticket.run);
    return found != holds_.end() && found->second.serial == ticket.serial;
}

auto run_attachments::detach(attachment_ticket const& ticket, time_point now)
    -> void
{
    if (stands(ticket))
    {
        holds_[ticket.run].detached = now;
    }
}

auto run_attachments::orphans(time_point since) const -> std::vector<run_id>
{
    auto found = std::vector<run_id>{};
    for (auto const& [run, hold] : holds_)
    {
        if (hold.detached && *hold.detached <= since)
        {
            found.push_back(run);
        }
    }
    return found;
}

auto run_attachments::forget(run_id const& run) -> void
{
    holds_.erase(run);
}

} // namespace sapphirereel::standins
