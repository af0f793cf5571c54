#include "sapphirereel/relay/run_backup.hpp"

namespace sapphirereel::relay {
namespace {

/// Output, in tokens, from which on a run's memory is copied to another replica
/// as it grows, and the share of that replica's memory up to which it is.
constexpr auto least_output_for_backup = 100.0;
constexpr auto most_share_for_backup = 0.7;

/// Mean share of the replicas' memory in use up to which runs are copied.
constexpr auto most_mean_share_for_backup = 0.65;

} // namespace

run_backup::run_backup(replica_table& replicas)
    : replicas_(&replicas)
    , load_(replicas)
{}

auto run_backup::choose(
    backup_candidate const& wish,
    std::optional<engine_traits> const& engine,
    time_point now) -> void
{
    release();
    auto const is_worth_it =
        engine && engine->supports_backup &&
        wish.expected_output >= least_output_for_backup &&
        replicas_->mean_memory_share(wish.need.service, *engine) <=
            most_mean_share_for_backup;
    if (!is_worth_it)
    {
        return;
    }
    auto wanted = wish.need;
    wanted.excluded.insert(wish.source.id);
    wanted.prompt_tokens = 0;
    wanted.memory_zone = wish.source.zone;
    auto const chosen = replicas_->choose(wanted, engine, now);
    if (!chosen || chosen->memory_share > most_share_for_backup)
    {
        return;
    }
    holder_ = chosen->target;
    load_.place(holder_->id, {1, wanted.memory_tokens, 0, 0});
}

auto run_backup::release() -> void
{
    holder_.reset();
    load_.release();
}

auto run_backup::listed_holder() const -> replica const*
{
    auto const* const listed = holder_ ? replicas_->find(holder_->id) : nullptr;
    auto const is_same_start =
        listed != nullptr && listed->started_at_ms == holder_->started_at_ms;
    return is_same_start ? listed : nullptr;
}

auto run_backup::is_usable() const -> bool
{
    auto const* const listed = listed_holder();
    return listed != nullptr && !listed->leaving;
}

} // namespace sapphirereel::relay
