#include "sapphirereel/relay/run_backup.hpp"

namespace sapphirereel::relay {
namespace {

/// Minimum expected output, in tokens, for a run to be backed up, and the
/// maximum share of the holder's memory in use, the backup included.
constexpr auto min_output_for_backup = 100.0;
constexpr auto max_memory_share_for_backup = 0.7;

/// Maximum mean share of the replicas' memory in use for runs to be backed up.
constexpr auto max_mean_memory_share_for_backup = 0.65;

} // namespace

run_backup::run_backup(replica_table& replicas)
    : replicas_(&replicas)
    , load_(replicas)
{}

auto run_backup::choose(
    backup_candidate const& candidate,
    std::optional<engine_traits> const& engine,
    time_point now) -> void
{
    release();
    auto const is_worthwhile =
        engine && engine->supports_backup &&
        candidate.expected_output >= min_output_for_backup &&
        replicas_->mean_memory_share(candidate.need.service, *engine) <=
            max_mean_memory_share_for_backup;
    if (!is_worthwhile)
    {
        return;
    }
    auto requirement = candidate.need;
    requirement.excluded.insert(candidate.source.id);
    requirement.prompt_tokens = 0;
    // Backups take no memory of the replicas that streams need for their pace.
    requirement.target_pause.reset();
    requirement.memory_zone = candidate.source.zone;
    auto const chosen = replicas_->choose(requirement, engine, now);
    if (!chosen || chosen->memory_share > max_memory_share_for_backup)
    {
        return;
    }
    holder_ = chosen->target;
    load_.place(holder_->id, {1, requirement.memory_tokens, 0, 0});
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
    return is_same_start && !replicas_->is_evacuated(*listed) ? listed
                                                              : nullptr;
}

auto run_backup::is_usable() const -> bool
{
    auto const* const listed = listed_holder();
    return listed != nullptr && !listed->leaving;
}

} // namespace sapphirereel::relay
