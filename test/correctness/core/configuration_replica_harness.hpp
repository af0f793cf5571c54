/// \file
/// Defines a test harness of a shared log with retention and replicas that read
/// it in arbitrary interleavings, and a reference model of the verdicts.
#ifndef SAPPHIREREEL_TEST_CONFIGURATION_REPLICA_HARNESS_HPP
#define SAPPHIREREEL_TEST_CONFIGURATION_REPLICA_HARNESS_HPP

#include "sapphirereel/core/configuration_log.hpp"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace sapphirereel {

/// Kinds of steps in a run.
enum class step_kind
{
    edit,
    repeat_edit,
    read,
    reread,
    prepare_snapshot,
    append_snapshot,
    append_malformed,
    expire,
    catch_up,
    restart
};

/// One step. The meaning of `what` depends on the kind: for example a customer,
/// a page size or a number of records.
struct replica_step
{
    step_kind kind = step_kind::edit;
    std::size_t replica_number = 0;
    std::size_t what = 0;
};

/// Reference model of the verdicts: an edit sets a customer's weight unless
/// another accepted edit has set it after the offset on which the edit is
/// based.
class weight_model
{
public:
    auto read(configuration_entry const& entry) -> void
    {
        auto const* edit = std::get_if<configuration_edit>(&entry.record);
        if (edit != nullptr && !verdicts_.contains(edit->id))
        {
            decide(*edit, entry.offset);
        }
        shares_at_[entry.offset] = shares_;
    }

    [[nodiscard]] auto shares_at(log_offset offset) const
        -> std::map<customer_id, customer_share>
    {
        auto const known = shares_at_.find(offset);
        return known == shares_at_.end()
                   ? std::map<customer_id, customer_share>{}
                   : known->second;
    }

    [[nodiscard]] auto verdicts() const
        -> std::map<edit_id, std::pair<log_offset, bool>> const&
    {
        return verdicts_;
    }

private:
    auto decide(configuration_edit const& edit, log_offset offset) -> void
    {
        auto const& share = std::get<put_share>(edit.changes.front()).value;
        auto const accepted = last_[share.customer] <= edit.based_on;
        if (accepted)
        {
            last_[share.customer] = offset;
            shares_[share.customer] = share;
        }
        verdicts_[edit.id] = {offset, accepted};
    }

    std::map<customer_id, log_offset> last_;
    std::map<customer_id, customer_share> shares_;
    std::map<log_offset, std::map<customer_id, customer_share>> shares_at_;
    std::map<edit_id, std::pair<log_offset, bool>> verdicts_;
};

/// Runs steps on replicas of one type and records the first violated property.
template <class Replica>
class replica_run
{
public:
    auto run(std::vector<replica_step> const& steps)
        -> std::optional<std::string>
    {
        for (auto const& step : steps)
        {
            perform(step);
            check_all();
        }
        finish();
        return violation_;
    }

private:
    static constexpr auto replica_count = std::size_t{3};
    static constexpr auto customer_count = std::size_t{3};
    static constexpr auto page_sizes = std::array<std::size_t, 4>{1, 2, 5, 100};

    auto perform(replica_step const& step) -> void
    {
        auto& replica = replicas_[step.replica_number % replica_count];
        switch (step.kind)
        {
        case step_kind::edit:
            return append(make_edit(replica, step.what));
        case step_kind::repeat_edit:
            return repeat_edit(step.what);
        case step_kind::read:
            return read(replica, page_sizes[step.what % page_sizes.size()]);
        case step_kind::reread:
            return reread(replica, step.what % customer_count);
        case step_kind::prepare_snapshot:
            prepared_.push_back(replica.snapshot());
            return;
        case step_kind::append_snapshot:
            return append_snapshot(step.what);
        case step_kind::append_malformed:
            return append(malformed_record{});
        case step_kind::expire:
            first_ = std::min(first_ + step.what, records_.size());
            return;
        case step_kind::catch_up:
            replica.catch_up(
                replicas_[step.what % replica_count].snapshot(), {});
            return;
        case step_kind::restart:
            restart(step.replica_number % replica_count);
            return;
        }
    }

    auto make_edit(Replica const& seen, std::size_t what) -> configuration_edit
    {
        ++edits_;
        auto const customer =
            customer_id{"c" + std::to_string(what % customer_count)};
        return {
            edit_id{"edit-" + std::to_string(edits_)},
            seen.state().offset,
            "operator",
            {put_share{{customer, edits_}}}};
    }

    auto append(configuration_record record) -> void
    {
        auto const position = records_.size() + 1;
        records_.push_back(
            {{position},
             {static_cast<std::int64_t>(position)},
             std::move(record)});
        model_.read(records_.back());
    }

    /// Appends an earlier edit again, as an operator does whose response was
    /// lost.
    auto repeat_edit(std::size_t what) -> void
    {
        if (records_.empty())
        {
            return;
        }
        auto const record = records_[what % records_.size()].record;
        if (std::holds_alternative<configuration_edit>(record))
        {
            append(record);
        }
    }

    auto append_snapshot(std::size_t what) -> void
    {
        if (!prepared_.empty())
        {
            append(prepared_[what % prepared_.size()]);
        }
    }

    auto read(Replica& replica, std::size_t limit) -> void
    {
        replica.note_first_retained({first_ + 1});
        auto from = std::max(replica.read_from().value, first_ + 1);
        for (; from <= records_.size() && limit > 0; ++from, --limit)
        {
            replica.apply(records_[from - 1], {});
        }
    }

    /// Delivers a page that overlaps the records already read.
    auto reread(Replica& replica, std::size_t back) -> void
    {
        auto const from = replica.read_from().value;
        auto const start = std::max(from > back ? from - back : 1, first_ + 1);
        for (auto at = start; at <= records_.size() && at < from + 2; ++at)
        {
            replica.apply(records_[at - 1], {});
        }
    }

    auto restart(std::size_t position) -> void
    {
        replicas_[position] = Replica{};
        last_offsets_[position] = {};
    }

    auto check_all() -> void
    {
        for (auto i = std::size_t{0}; i < replica_count; ++i)
        {
            check(replicas_[i].state(), last_offsets_[i]);
        }
    }

    auto check(configuration_state const& state, log_offset& last) -> void
    {
        if (state.offset < last)
        {
            record_violation("a replica went back", state.offset);
        }
        last = state.offset;
        auto const& same =
            states_.try_emplace(state.offset, state).first->second;
        if (state != same)
        {
            record_violation("two replicas differ", state.offset);
        }
        if (state.config.shares != model_.shares_at(state.offset))
        {
            record_violation(
                "an accepted edit is lost or undone", state.offset);
        }
        check_verdicts(state);
    }

    auto check_verdicts(configuration_state const& state) -> void
    {
        for (auto const& [id, expected] : model_.verdicts())
        {
            auto const& [offset, accepted] = expected;
            if (offset > state.offset)
            {
                continue;
            }
            auto const verdict = state.verdicts.find(id);
            auto const same =
                verdict != state.verdicts.end() &&
                verdict->second.offset == offset &&
                (verdict->second.kind == verdict_kind::accepted) == accepted;
            if (!same)
            {
                record_violation("an edit has another verdict", offset);
            }
        }
    }

    /// Gives every replica the latest state of all, lets it read to the end of
    /// the log, and checks that it gets there.
    auto finish() -> void
    {
        auto latest = configuration_snapshot{};
        for (auto const& replica : replicas_)
        {
            latest = std::max(latest, replica.snapshot());
        }
        for (auto& replica : replicas_)
        {
            replica.catch_up(latest, {});
            read(replica, records_.size());
            auto const reachable = latest.state.offset.value >= first_;
            if (reachable && replica.state().offset.value != records_.size())
            {
                record_violation(
                    "a replica stays behind", replica.state().offset);
            }
        }
        check_all();
        check_empty_reader();
    }

    /// Checks that an empty replica reaches the end of the log from the log
    /// alone if the log retains a snapshot and all records after its state.
    auto check_empty_reader() -> void
    {
        auto reachable = first_ == 0;
        for (auto at = first_; at < records_.size(); ++at)
        {
            auto const* snapshot =
                std::get_if<configuration_snapshot>(&records_[at].record);
            reachable = reachable || (snapshot != nullptr &&
                                      snapshot->state.offset.value >= first_);
        }
        auto reader = Replica{};
        read(reader, records_.size());
        if (reachable && reader.state().offset.value != records_.size())
        {
            record_violation(
                "an empty reader stays behind", reader.state().offset);
        }
        auto nothing = log_offset{};
        check(reader.state(), nothing);
    }

    auto record_violation(std::string const& what, log_offset offset) -> void
    {
        if (!violation_)
        {
            violation_ = what + " at offset " + std::to_string(offset.value);
        }
    }

    std::vector<configuration_entry> records_;
    std::size_t first_ = 0;
    std::uint32_t edits_ = 0;
    std::vector<configuration_snapshot> prepared_;
    weight_model model_;
    std::array<Replica, replica_count> replicas_;
    std::array<log_offset, replica_count> last_offsets_;
    std::map<log_offset, configuration_state> states_;
    std::optional<std::string> violation_;
};

} // namespace sapphirereel

#endif
