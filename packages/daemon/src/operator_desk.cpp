#include "sapphirereel/daemon/operator_desk.hpp"

namespace sapphirereel::daemon {

auto operator_desk::open() -> operator_query
{
    auto const lock = std::lock_guard{mutex_};
    auto const query = operator_query{++last_};
    queries_.emplace(query, std::nullopt);
    return query;
}

auto operator_desk::decide(edit_decided const& decided) -> void
{
    {
        auto const lock = std::lock_guard{mutex_};
        auto const found = queries_.find(decided.query);
        if (found == queries_.end())
        {
            return;
        }
        found->second = decided.verdict;
    }
    wake_.notify_all();
}

auto operator_desk::wait(operator_query query, duration limit)
    -> std::optional<edit_verdict>
{
    auto lock = std::unique_lock{mutex_};
    wake_.wait_for(lock, limit, [&] { return queries_.at(query).has_value(); });
    auto verdict = queries_.at(query);
    queries_.erase(query);
    return verdict;
}

} // namespace sapphirereel::daemon
