#include "sapphirereel/daemon/state_dump.hpp"

#include "sapphirereel/wire/peer_codec.hpp"

namespace sapphirereel::daemon {

namespace {

auto phase_name(stop_phase phase) -> char const*
{
    switch (phase)
    {
    case stop_phase::serving:
        return "serving";
    case stop_phase::expiring:
        return "expiring";
    case stop_phase::finishing:
        return "finishing";
    case stop_phase::handing_over:
        return "handing_over";
    case stop_phase::stopped:
        break;
    }
    return "stopped";
}

auto generations_json(generation_coordinator const& desk) -> nlohmann::json
{
    auto open = nlohmann::json::array();
    for (auto const& one : desk.status())
    {
        open.push_back(
            {{"attachment", one.attachment.value},
             {"run", one.run},
             {"service", one.service},
             {"customer", one.customer},
             {"endpoint", one.endpoint},
             {"next_index", one.next_index},
             {"streaming", one.streaming}});
    }
    auto const& counts = desk.counts();
    return {
        {"open", open},
        {"arrived", counts.arrived},
        {"resumed", counts.resumed},
        {"finished", counts.finished},
        {"refused", counts.refused},
        {"engines_lost", counts.engines_lost},
        {"moved", counts.moved}};
}

auto calls_json(call_coordinator const& desk) -> nlohmann::json
{
    auto const& counts = desk.counts();
    auto const& once = desk.once().counts();
    return {
        {"open", desk.open()},
        {"arrived", counts.arrived},
        {"sent", counts.sent},
        {"retried", counts.retried},
        {"answered", counts.answered},
        {"refused", counts.refused},
        {"at_most_once",
         {{"arrived", once.arrived},
          {"dispatched", once.dispatched},
          {"replied", once.replied},
          {"not_run", once.not_run},
          {"outcome_unknown", once.outcome_unknown},
          {"final_refusals", once.final_refusals},
          {"appends", once.appends},
          {"entries_appended", once.entries_appended},
          {"known_names", desk.once().known_names()}}}};
}

auto homes_json(replica_homes const& homes, time_point now) -> nlohmann::json
{
    auto all = nlohmann::json::array();
    for (auto const& one : homes.status(now))
    {
        auto entry =
            nlohmann::json{{"replica", one.replica}, {"ledger", one.summary}};
        entry["report"] = one.report;
        all.push_back(std::move(entry));
    }
    return all;
}

} // namespace

auto status_json(daemon_core const& core) -> nlohmann::json
{
    auto const force = core.configuration().in_force();
    return {
        {"daemon", core.self().id},
        {"address", core.self().caller_address},
        {"zone", core.self().zone},
        {"region", core.self().region},
        {"phase", phase_name(core.stop_state())},
        {"configuration_offset", force.offset},
        {"live_daemons", core.view().live.size()},
        {"open_generations", core.generations().open()},
        {"open_calls", core.calls().open()},
        {"leaving_endpoints", core.view().leaving}};
}

auto dump_json(daemon_core const& core, time_point now) -> nlohmann::json
{
    auto dump = status_json(core);
    dump["members"] = core.members();
    dump["generations"] = generations_json(core.generations());
    dump["calls"] = calls_json(core.calls());
    dump["homes"] = homes_json(core.homes(), now);
    dump["malformed_configuration_records"] =
        core.configuration().malformed().count;
    dump["needs_configuration_snapshot"] =
        core.configuration().needs_snapshot();
    return dump;
}

auto in_force_json(daemon_core const& core, log_offset offset) -> nlohmann::json
{
    auto daemons = nlohmann::json::array();
    for (auto const& one : core.members())
    {
        if (one.state == member_state::dead)
        {
            continue;
        }
        auto const own = one.id == core.self().id;
        auto const has =
            own ? core.configuration().in_force().offset : one.in_force;
        daemons.push_back(
            {{"daemon", one.id},
             {"address", one.caller_address.ip + ":" +
                             std::to_string(one.caller_address.port)},
             {"offset", has},
             {"in_force", has >= offset}});
    }
    return {{"offset", offset}, {"daemons", daemons}};
}

} // namespace sapphirereel::daemon
