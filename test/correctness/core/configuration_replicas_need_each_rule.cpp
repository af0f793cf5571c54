#include "correctness/core/configuration_step_generator.hpp"

namespace sapphirereel {
namespace {

/// Base of replicas that each omit one rule. The harness must find a violation
/// in each of them, which shows that it checks the rule.
class faulty_replica
{
public:
    auto apply(configuration_entry const& entry, time_point now) -> apply_result
    {
        return log.apply(entry, now);
    }

    auto catch_up(configuration_snapshot const& from, time_point now) -> bool
    {
        return log.catch_up(from, now);
    }

    auto note_first_retained(log_offset first) -> void
    {
        log.note_first_retained(first);
    }

    [[nodiscard]] auto read_from() const -> log_offset
    {
        return log.read_from();
    }

    [[nodiscard]] auto state() const -> configuration_state const&
    {
        return log.state();
    }

    [[nodiscard]] auto snapshot() const -> configuration_snapshot
    {
        return log.snapshot();
    }

protected:
    /// Installs a state as if it were the state at `offset`.
    auto force(configuration_state state, log_offset offset) -> void
    {
        log = configuration_log{};
        state.offset = offset;
        log.catch_up({std::move(state), {}}, {});
    }

    configuration_log log;
};

/// Installs each snapshot as the current state regardless of its offset.
class ignores_snapshot_offset : public faulty_replica
{
public:
    auto apply(configuration_entry const& entry, time_point now) -> apply_result
    {
        auto const* snapshot =
            std::get_if<configuration_snapshot>(&entry.record);
        if (snapshot == nullptr || entry.offset <= state().offset)
        {
            return log.apply(entry, now);
        }
        force(snapshot->state, entry.offset);
        return {apply_outcome::snapshot_installed, entry.offset, std::nullopt};
    }
};

/// Closes a gap with any snapshot, even if records after it are missing.
class closes_gap_with_any_snapshot : public faulty_replica
{
public:
    auto apply(configuration_entry const& entry, time_point now) -> apply_result
    {
        auto outcome = log.apply(entry, now);
        auto const* snapshot =
            std::get_if<configuration_snapshot>(&entry.record);
        if (outcome.kind == apply_outcome::buffered && snapshot != nullptr)
        {
            force(snapshot->state, entry.offset);
        }
        return outcome;
    }
};

/// Reads past a gap as if no records were missing.
class ignores_gaps : public faulty_replica
{
public:
    auto apply(configuration_entry const& entry, time_point now) -> apply_result
    {
        if (entry.offset.value > state().offset.value + 1)
        {
            force(state(), {entry.offset.value - 1});
        }
        return log.apply(entry, now);
    }
};

/// Ignores the offset on which an edit is based.
class ignores_basis : public faulty_replica
{
public:
    auto apply(configuration_entry entry, time_point now) -> apply_result
    {
        if (auto* edit = std::get_if<configuration_edit>(&entry.record))
        {
            edit->based_on = {entry.offset.value - 1};
        }
        return log.apply(entry, now);
    }
};

/// Decides a repeated edit again.
class ignores_edit_ids : public faulty_replica
{
public:
    auto apply(configuration_entry entry, time_point now) -> apply_result
    {
        if (auto* edit = std::get_if<configuration_edit>(&entry.record))
        {
            auto const earlier = state().verdicts.contains(edit->id);
            auto const suffix = earlier ? "again" : "";
            edit->id = edit_id{edit->id.str() + suffix};
            edit->based_on = earlier ? state().offset : edit->based_on;
        }
        return log.apply(entry, now);
    }
};

/// Installs a peer's state even if it is older.
class accepts_older_peer_states : public faulty_replica
{
public:
    auto catch_up(configuration_snapshot const& from, time_point) -> bool
    {
        force(from.state, from.state.offset);
        return true;
    }
};

template <class Replica>
class replica_rules : public testing::Test
{};

using faulty_replicas = testing::Types<
    ignores_snapshot_offset,
    closes_gap_with_any_snapshot,
    ignores_gaps,
    ignores_basis,
    ignores_edit_ids,
    accepts_older_peer_states>;
TYPED_TEST_SUITE(replica_rules, faulty_replicas);

TYPED_TEST(replica_rules, the_property_fails_without_one)
{
    auto const holds = rc::check([] {
        auto const steps = *step_sequences();
        auto const violation = replica_run<TypeParam>{}.run(steps);
        RC_ASSERT(violation.value_or("") == "");
    });
    EXPECT_FALSE(holds);
}

} // namespace
} // namespace sapphirereel
