#include "sapphirereel/core/configuration_state.hpp"

#include "sapphirereel/core/configuration_check.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirereel {
namespace {

/// The earliest offset on which an edit may be based and from which changes and
/// verdicts are kept.
auto history_floor(log_offset offset) -> log_offset
{
    return {
        offset.value > history_records ? offset.value - history_records : 0};
}

auto drop_history_before(configuration_state& state, log_offset floor) -> void
{
    std::erase_if(state.changed, [floor](auto const& entry) {
        return entry.second < floor;
    });
    std::erase_if(state.verdicts, [floor](auto const& entry) {
        return entry.second.offset < floor;
    });
}

auto all_affected(configuration const& config, configuration_edit const& edit)
    -> std::set<object_key>
{
    auto affected = std::set<object_key>{};
    for (auto const& change : edit.changes)
    {
        affected.merge(affected_objects(config, change));
    }
    return affected;
}

auto check_basis(
    configuration_edit const& edit, log_offset offset, findings& found) -> void
{
    if (edit.based_on < history_floor(offset))
    {
        found.push_back(
            {{"edit", 0, "based_on"},
             "the edit is based on offset " +
                 std::to_string(edit.based_on.value) +
                 ", which is too old to tell what it may undo",
             "look at the configuration again and repeat the edit"});
    }
    if (edit.based_on >= offset)
    {
        found.push_back(
            {{"edit", 0, "based_on"},
             "the edit is based on offset " +
                 std::to_string(edit.based_on.value) +
                 ", which was not yet written",
             "use the offset that the configuration was read with"});
    }
}

auto check_conflicts(
    configuration_state const& state,
    configuration_edit const& edit,
    findings& found) -> void
{
    for (auto const& key : all_affected(state.config, edit))
    {
        auto const changed = state.changed.find(key);
        if (changed == state.changed.end() || changed->second <= edit.based_on)
        {
            continue;
        }
        found.push_back(
            {{to_string(key.kind) + " " + key.name, 0, {}},
             "another edit changed it at offset " +
                 std::to_string(changed->second.value) + ", after offset " +
                 std::to_string(edit.based_on.value) +
                 " that this edit is based on",
             "look at the configuration again and repeat the edit"});
    }
}

auto check_form(configuration_edit const& edit, findings& found) -> void
{
    if (edit.id.empty())
    {
        found.push_back(
            {{"edit", 0, "id"}, "the edit has no id", "choose a random one"});
    }
    if (edit.changes.empty())
    {
        found.push_back(
            {{"edit", 0, "changes"},
             "the edit changes nothing",
             "list at least one change"});
    }
}

/// Errors of the new configuration, and warnings that the old one did not have.
auto introduced_findings(
    configuration const& before, configuration const& after) -> findings
{
    auto introduced = check_configuration(after);
    if (introduced.empty())
    {
        return introduced;
    }
    auto const existing = check_configuration(before);
    std::erase_if(introduced, [&](finding const& one) {
        return one.level == severity::warning &&
               std::binary_search(existing.begin(), existing.end(), one);
    });
    return introduced;
}

/// Limits the findings to `verdict_findings_max`; the last one then counts
/// those left out.
auto truncate(findings found) -> findings
{
    if (found.size() <= verdict_findings_max)
    {
        return found;
    }
    auto const left_out = found.size() - verdict_findings_max + 1;
    found.resize(verdict_findings_max - 1);
    found.push_back(
        {{"edit", 0, {}},
         std::to_string(left_out) + " more findings are not shown",
         "mend the others first",
         severity::warning});
    return found;
}

/// Outcome of an edit: the findings, and the configuration after the edit if
/// its changes could be applied.
struct decision
{
    findings found;
    configuration config;
};

auto decide(
    configuration_state const& state,
    configuration_edit const& edit,
    log_offset offset) -> decision
{
    auto outcome = decision{};
    check_form(edit, outcome.found);
    check_basis(edit, offset, outcome.found);
    check_conflicts(state, edit, outcome.found);
    auto changed = apply_changes(state.config, edit.changes);
    if (!changed)
    {
        std::move(
            changed.error().begin(), changed.error().end(),
            std::back_inserter(outcome.found));
        return outcome;
    }
    auto introduced = introduced_findings(state.config, *changed);
    std::move(
        introduced.begin(), introduced.end(),
        std::back_inserter(outcome.found));
    outcome.config = *std::move(changed);
    return outcome;
}

auto make_verdict(findings found, log_offset offset) -> edit_verdict
{
    auto const kind =
        has_errors(found) ? verdict_kind::rejected : verdict_kind::accepted;
    std::stable_partition(found.begin(), found.end(), [](auto const& one) {
        return one.level == severity::error;
    });
    return {kind, offset, truncate(std::move(found))};
}

} // namespace

auto advance_offset(configuration_state state, log_offset offset)
    -> configuration_state
{
    state.offset = offset;
    drop_history_before(state, history_floor(offset));
    return state;
}

auto decide_edit(
    configuration_state state,
    configuration_edit const& edit,
    log_offset offset) -> configuration_state
{
    state = advance_offset(std::move(state), offset);
    if (!edit.id.empty() && state.verdicts.contains(edit.id))
    {
        return state;
    }
    auto outcome = decide(state, edit, offset);
    auto verdict = make_verdict(std::move(outcome.found), offset);
    if (verdict.kind == verdict_kind::accepted)
    {
        for (auto const& key : all_affected(state.config, edit))
        {
            state.changed[key] = offset;
        }
        state.config = std::move(outcome.config);
    }
    state.verdicts.emplace(edit.id, std::move(verdict));
    return state;
}

auto preview_edit(
    configuration_state const& state, configuration_edit const& edit)
    -> edit_verdict
{
    auto const known = state.verdicts.find(edit.id);
    if (known != state.verdicts.end())
    {
        return known->second;
    }
    auto const offset = log_offset{state.offset.value + 1};
    return make_verdict(decide(state, edit, offset).found, offset);
}

} // namespace sapphirereel
