#include "sapphirereel/client/cluster_commands.hpp"

#include "sapphirereel/client/configuration_text.hpp"
#include "sapphirereel/client/edit_publishing.hpp"
#include "sapphirereel/client/json_text.hpp"
#include "sapphirereel/client/text_table.hpp"
#include "sapphirereel/codec/routing_codec.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

namespace sapphirereel::client {
namespace {

constexpr auto in_force_poll_interval = std::chrono::milliseconds{200};

/// Label of an endpoint that is to get no new work.
constexpr auto leaving_label = "leaving";

/// One daemon and whether it has an offset in force.
struct daemon_in_force
{
    std::string daemon;
    std::string address;
    log_offset offset;
    bool in_force = false;
    auto operator<=>(daemon_in_force const&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    daemon_in_force, daemon, address, offset, in_force)

auto wrong_words(command_context const& context, std::string const& usage)
    -> exit_code
{
    auto const failed = fail(
        exit_code::usage, "command line", "the words do not fit the command",
        "write " + usage);
    return report(context, failed.value());
}

/// Prints a daemon's answer as JSON or as text.
auto print_answer(command_context const& context, nlohmann::json const& answer)
    -> exit_code
{
    if (context.options.json)
    {
        context.out << answer.dump(2) << '\n';
    }
    else
    {
        print_json_text(context.out, answer);
    }
    return exit_code::done;
}

auto ask_and_print(
    command_context const& context,
    command_words words,
    std::string const& usage,
    std::string const& path) -> exit_code
{
    if (!words.empty())
    {
        return wrong_words(context, usage);
    }
    auto const answer = ask(context, {path, {}, {}});
    return answer ? print_answer(context, *answer)
                  : report(context, answer.error());
}

/// Commands about one daemon itself must not reach another one instead.
auto require_one_daemon(command_context const& context)
    -> outcome<std::monostate>
{
    if (context.daemon.daemons().size() == 1)
    {
        return std::monostate{};
    }
    return fail(
        exit_code::usage, "--daemon", "the command is for one daemon itself",
        "name exactly that daemon");
}

auto one_name(std::vector<std::string> const& names) -> std::string
{
    return names.empty() ? std::string{} : names.front();
}

/// Tells the daemons now that an endpoint is leaving; the label, which
/// lasts, reaches them a moment later.
auto send_leaving_notice(command_context const& context) -> exit_code
{
    auto const body = nlohmann::json{{"endpoint", context.options.endpoint}};
    auto const answer = ask(context, {"/operator/drain", body.dump(), {}});
    return answer ? exit_code::done : report(context, answer.error());
}

/// Labels the endpoint as leaving, so that daemons that start later know it.
auto drain_endpoint(command_context const& context) -> exit_code
{
    auto const before = fetch_configuration(context);
    if (!before)
    {
        return report(context, before.error());
    }
    auto const code = publish(
        context, *before,
        {set_endpoint_label{
            endpoint_id{context.options.endpoint}, leaving_label, "true"}});
    if (code == exit_code::rejected || context.options.dry_run)
    {
        return code;
    }
    auto const noticed = send_leaving_notice(context);
    return code == exit_code::done ? noticed : code;
}

/// Stops the one daemon that is named.
auto drain_daemon(command_context const& context) -> exit_code
{
    if (auto const one = require_one_daemon(context); !one)
    {
        return report(context, one.error());
    }
    auto const answer =
        ask(context, {"/operator/drain", "{}", repetition::forbidden});
    return answer ? print_answer(context, *answer)
                  : report(context, answer.error());
}

/// The offset asked for, or the one that a daemon has in force now.
auto wanted_offset(command_context const& context) -> outcome<log_offset>
{
    if (context.options.offset)
    {
        return log_offset{*context.options.offset};
    }
    auto const read = fetch_configuration(context);
    if (!read)
    {
        return tl::unexpected(read.error());
    }
    return read->offset;
}

auto fetch_in_force(command_context const& context, log_offset offset)
    -> outcome<std::vector<daemon_in_force>>
{
    auto const path =
        "/operator/in-force?offset=" + std::to_string(offset.value);
    auto const answer = ask(context, {path, {}, {}});
    if (!answer)
    {
        return tl::unexpected(answer.error());
    }
    return read_answer<std::vector<daemon_in_force>>(
        answer->value("daemons", nlohmann::json{}));
}

auto everywhere(std::vector<daemon_in_force> const& daemons) -> bool
{
    return !daemons.empty() &&
           std::all_of(daemons.begin(), daemons.end(), [](auto const& one) {
               return one.in_force;
           });
}

auto print_in_force(
    command_context const& context,
    log_offset offset,
    std::vector<daemon_in_force> const& daemons) -> exit_code
{
    if (context.options.json)
    {
        context.out
            << nlohmann::
                   json{{"offset", offset}, {"everywhere", everywhere(daemons)}, {"daemons", daemons}}
                       .dump(2)
            << '\n';
    }
    else
    {
        auto table = text_table{{"DAEMON", "ADDRESS", "OFFSET", "IN FORCE"}};
        for (auto const& one : daemons)
        {
            table.add(
                {one.daemon, one.address, std::to_string(one.offset.value),
                 one.in_force ? "yes" : "no"});
        }
        table.print(context.out);
        context.out << "offset " << offset.value
                    << (everywhere(daemons) ? " is in force everywhere\n"
                                            : " is not in force everywhere\n");
    }
    return everywhere(daemons) ? exit_code::done : exit_code::timeout;
}

/// Asks until every daemon has the offset in force or the time is over.
auto await_in_force(command_context const& context, log_offset offset)
    -> outcome<std::vector<daemon_in_force>>
{
    using clock = std::chrono::steady_clock;
    auto const deadline = clock::now() + context.options.timeout;
    auto daemons = fetch_in_force(context, offset);
    while (clock::now() < deadline && !(daemons && everywhere(*daemons)))
    {
        std::this_thread::sleep_for(in_force_poll_interval);
        daemons = fetch_in_force(context, offset);
    }
    return daemons;
}

} // namespace

auto run_explain(command_context const& context, command_words words)
    -> exit_code
{
    auto const& options = context.options;
    auto const names_one = words.empty() && options.services.size() <= 1 &&
                           options.models.size() <= 1 &&
                           options.customers.size() <= 1 &&
                           options.services.size() + options.models.size() > 0;
    if (!names_one)
    {
        return wrong_words(
            context, "explain --service=S or --model=M, and --customer=C");
    }
    auto const facts = request_facts{
        service_name{one_name(options.services)},
        model_name{one_name(options.models)},
        customer_id{one_name(options.customers)}};
    auto const answer =
        ask(context, {"/operator/explain", nlohmann::json(facts).dump(), {}});
    if (!answer)
    {
        return report(context, answer.error());
    }
    auto const routed = read_answer<routing>(*answer);
    if (!routed)
    {
        return report(context, routed.error());
    }
    if (options.json)
    {
        context.out << answer->dump(2) << '\n';
    }
    else
    {
        print_routing(context.out, *routed);
    }
    return routed->endpoints.empty() ? exit_code::rejected : exit_code::done;
}

auto run_status(command_context const& context, command_words words)
    -> exit_code
{
    return ask_and_print(context, words, "status", "/operator/status");
}

auto run_dump(command_context const& context, command_words words) -> exit_code
{
    return ask_and_print(context, words, "dump", "/operator/dump");
}

auto run_addresses(command_context const& context, command_words words)
    -> exit_code
{
    return ask_and_print(context, words, "addresses", "/addresses");
}

auto run_drain(command_context const& context, command_words words) -> exit_code
{
    if (!words.empty())
    {
        return wrong_words(context, "drain [--endpoint=ID]");
    }
    return context.options.endpoint.empty() ? drain_daemon(context)
                                            : drain_endpoint(context);
}

auto run_in_force(command_context const& context, command_words words)
    -> exit_code
{
    if (!words.empty())
    {
        return wrong_words(context, "in-force [--offset=N]");
    }
    auto const offset = wanted_offset(context);
    if (!offset)
    {
        return report(context, offset.error());
    }
    auto const daemons = fetch_in_force(context, *offset);
    return daemons ? print_in_force(context, *offset, *daemons)
                   : report(context, daemons.error());
}

auto run_wait(command_context const& context, command_words words) -> exit_code
{
    if (!words.empty())
    {
        return wrong_words(context, "wait [--offset=N] [--timeout=10s]");
    }
    auto const offset = wanted_offset(context);
    if (!offset)
    {
        return report(context, offset.error());
    }
    auto const daemons = await_in_force(context, *offset);
    return daemons ? print_in_force(context, *offset, *daemons)
                   : report(context, daemons.error());
}

auto run_record(command_context const& context, command_words words)
    -> exit_code
{
    auto const known =
        words.size() == 1 && (words[0] == "on" || words[0] == "off");
    if (!known)
    {
        return wrong_words(context, "record on|off");
    }
    if (auto const one = require_one_daemon(context); !one)
    {
        return report(context, one.error());
    }
    auto const on = words[0] == "on";
    auto const body = nlohmann::json{{"on", on}};
    auto const answer = ask(context, {"/operator/record", body.dump(), {}});
    if (!answer)
    {
        return report(context, answer.error());
    }
    print_answer(context, *answer);
    return answer->value("recording", !on) == on ? exit_code::done
                                                 : exit_code::rejected;
}

auto run_trace(command_context const& context, command_words words) -> exit_code
{
    if (!words.empty())
    {
        return wrong_words(context, "trace");
    }
    if (auto const one = require_one_daemon(context); !one)
    {
        return report(context, one.error());
    }
    auto const answer = context.daemon.send({"/operator/trace", {}, {}});
    if (!answer)
    {
        return report(context, answer.error());
    }
    context.out << answer->body;
    return answer->status == 200 ? exit_code::done : exit_code::rejected;
}

} // namespace sapphirereel::client
