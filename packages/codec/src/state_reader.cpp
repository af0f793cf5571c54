#include "configuration_reader.hpp"

namespace sapphirereel::internal {
namespace {

auto read_time(json const& from, json_place const& where, findings& found)
    -> wall_time
{
    return {read_number<std::int64_t>(from, where, found)};
}

auto read_finding(json const& from, json_place const& where, findings& found)
    -> finding
{
    try
    {
        return from.get<finding>();
    }
    catch (json::exception const& error)
    {
        note(found, where, error.what(), "write a finding here");
        return {};
    }
}

auto read_findings(json const& from, json_place const& where, findings& found)
    -> findings
{
    return read_list(from, where, found, read_finding);
}

auto read_changed(json const& from, json_place const& where, findings& found)
    -> std::map<object_key, log_offset>
{
    auto changed = std::map<object_key, log_offset>{};
    auto reader = object_reader{from, where, found};
    for (auto const kind :
         {object_kind::group, object_kind::endpoint, object_kind::service,
          object_kind::selector, object_kind::share})
    {
        auto const of_kind = [&](json const& names, json_place const& at,
                                 findings& notes) {
            if (!names.is_object())
            {
                note(notes, at, "offsets by name are wanted", "write {...}");
                return false;
            }
            for (auto const& [name, offset] : names.items())
            {
                changed.emplace(
                    object_key{kind, name},
                    read_offset(offset, at.at(name), notes));
            }
            return true;
        };
        reader.optional(to_string(kind), of_kind, true);
    }
    reader.finish();
    return changed;
}

auto read_verdicts(json const& from, json_place const& where, findings& found)
    -> std::map<edit_id, edit_verdict>
{
    auto verdicts = std::map<edit_id, edit_verdict>{};
    if (!from.is_object())
    {
        note(found, where, "verdicts by edit are wanted", "write {...}");
        return verdicts;
    }
    for (auto const& [id, verdict] : from.items())
    {
        verdicts.emplace(id, read_verdict(verdict, where.at(id), found));
    }
    return verdicts;
}

} // namespace

auto read_verdict(json const& from, json_place const& where, findings& found)
    -> edit_verdict
{
    auto reader = object_reader{from, where, found};
    auto value = edit_verdict{};
    value.kind = reader.required("verdict", read_enum<verdict_kind>);
    value.offset = reader.required("offset", read_offset);
    value.reasons = reader.optional("findings", read_findings, findings{});
    reader.finish();
    return value;
}

auto read_snapshot(json const& from, json_place const& where, findings& found)
    -> configuration_snapshot
{
    auto reader = object_reader{from, where, found};
    auto value = configuration_snapshot{};
    value.state.offset = reader.required("as_of", read_offset);
    value.anchor = reader.required("anchor_ms", read_time);
    value.state.config = reader.required("configuration", read_configuration);
    value.state.changed = reader.required("changed", read_changed);
    value.state.verdicts = reader.required("verdicts", read_verdicts);
    reader.finish();
    return value;
}

} // namespace sapphirereel::internal
