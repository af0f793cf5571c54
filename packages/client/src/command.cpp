#include "sapphirereel/client/command.hpp"

#include "sapphirereel/client/cluster_commands.hpp"
#include "sapphirereel/client/explain_request_command.hpp"
#include "sapphirereel/client/object_commands.hpp"
#include "sapphirereel/client/replay_command.hpp"
#include "sapphirereel/client/text_table.hpp"

#include <algorithm>
#include <array>

namespace sapphirereel::client {
namespace {

constexpr auto all_commands = std::array{
    command{
        "groups",
        "groups [list] | show NAME | put NAME --service=S | put --file=FILE |\n"
        "       remove NAME | label NAME KEY=VALUE|KEY- ...",
        "list, show and edit groups of endpoints and their labels",
        "groups label fast pool=fast canary-", run_groups},
    command{
        "endpoints",
        "endpoints [list] | add GROUP ID IP:PORT ZONE [KEY=VALUE ...] |\n"
        "       remove ID | label ID KEY=VALUE|KEY- ...",
        "list and edit endpoints and their labels",
        "endpoints add fast lm-4 10.0.0.14:8000 brasov-a rack=r2",
        run_endpoints},
    command{
        "services",
        "services [list] | show NAME | put NAME --kind=engine|plain\n"
        "       [--model=M,..] [--non-idempotent=POST,..] [--checks-fencing]\n"
        "       [--resumes-prefix] | put --file=FILE | remove NAME",
        "list, show and edit services",
        "services put registru --kind=plain --non-idempotent=POST",
        run_services},
    command{
        "selectors",
        "selectors [list] | show NAME | put NAME [--precedence=N]\n"
        "       [--service=S,..] [--model=M,..] [--customer=C,..]\n"
        "       [--require='KEY=V|V;KEY='] | put --file=FILE | remove NAME",
        "list, show and edit selectors",
        "selectors put rescue --precedence=10 --customer=salvamont "
        "--require='pool=fast'",
        run_selectors},
    command{
        "shares",
        "shares [list] | show CUSTOMER | put CUSTOMER WEIGHT |\n"
        "       remove CUSTOMER",
        "list, show and edit customers' shares of capacity",
        "shares put salvamont 5", run_shares},
    command{
        "configuration", "configuration",
        "print the whole configuration as JSON, in the form of apply",
        "configuration > all.json", run_configuration},
    command{
        "apply", "apply FILE [--yes] [--dry-run]",
        "publish the changes, or the whole configuration, of a file",
        "apply changes.json --yes", run_apply},
    command{
        "diff", "diff FILE", "show what apply would change",
        "diff changes.json", run_diff},
    command{
        "verdict", "verdict EDIT-ID", "ask for the verdict on an edit",
        "verdict 4c0d6f0b52e94f0f8a4ad3d1e0d6c1f2", run_verdict},
    command{
        "in-force", "in-force [--offset=N]",
        "show which daemons have an offset in force", "in-force --offset=17",
        run_in_force},
    command{
        "wait", "wait [--offset=N] [--timeout=10s]",
        "wait until every daemon has an offset in force",
        "wait --offset=17 --timeout=9s", run_wait},
    command{
        "explain", "explain --service=S|--model=M [--customer=C]",
        "show where a request may go, and why not elsewhere",
        "explain --model=trasee-8b --customer=salvamont", run_explain},
    command{
        "explain-request", "explain-request ID [FILE ...]",
        "tell a request's story from the logs of daemons",
        "explain-request 9c41d07be2a35f68 entry-1.log entry-2.log",
        run_explain_request, false},
    command{
        "status", "status", "show what a daemon is doing", "status",
        run_status},
    command{
        "dump", "dump", "print a daemon's whole state", "dump --json",
        run_dump},
    command{
        "drain", "drain [--endpoint=ID]",
        "give an endpoint, or the named daemon itself, no new work",
        "drain --endpoint=lm-4", run_drain},
    command{
        "addresses", "addresses",
        "show the addresses that callers are told to use", "addresses",
        run_addresses},
    command{
        "record", "record on|off",
        "turn the recording of one daemon's events on or off", "record on",
        run_record},
    command{
        "trace", "trace", "print what a daemon recorded, as JSON lines",
        "trace > trace.jsonl", run_trace},
    command{
        "replay", "replay FILE",
        "step a new core through a trace and say what came of it",
        "replay trace.jsonl", run_replay, false}};

constexpr auto common_options =
    "options of every command:\n"
    "  --daemon=IP:PORT[,IP:PORT]  daemons; the next is tried on failure\n"
    "  --json                      print JSON instead of text\n"
    "options of edits:\n"
    "  --yes                       publish without asking\n"
    "  --dry-run                   show the changes and publish nothing\n"
    "  --author=TEXT               who edits (default: $USER)\n"
    "  --edit-id=ID                send an edit again under its name\n"
    "  --timeout=10s               longest wait for the verdict\n";

constexpr auto exit_code_text =
    "exit codes: 0 done, 1 answered no or rejected, 2 usage or user error,\n"
    "            3 unreachable, 4 not in force before the timeout\n";

} // namespace

auto commands() -> std::span<command const>
{
    return all_commands;
}

auto find_command(std::string_view name) -> command const*
{
    auto const* const found = std::find_if(
        all_commands.begin(), all_commands.end(),
        [name](command const& one) { return one.name == name; });
    return found == all_commands.end() ? nullptr : found;
}

auto print_help(std::ostream& out) -> void
{
    out << "usage: sapphirereelctl COMMAND [WORDS] [OPTIONS]\n\n";
    auto table = text_table{{"COMMAND", "PURPOSE"}};
    for (auto const& one : all_commands)
    {
        table.add({std::string{one.name}, std::string{one.summary}});
    }
    table.print(out);
    out << "\n'sapphirereelctl COMMAND --help' says more.\n\n"
        << common_options << '\n'
        << exit_code_text;
}

auto print_help(std::ostream& out, command const& of) -> void
{
    out << of.summary << "\n\nusage: sapphirereelctl " << of.usage
        << "\nexample: sapphirereelctl " << of.example << "\n\n"
        << common_options << '\n'
        << exit_code_text;
}

auto run_command(
    command_context const& context, std::vector<std::string> const& words)
    -> exit_code
{
    auto const* const found =
        words.empty() ? nullptr : find_command(words.front());
    if (found == nullptr)
    {
        auto const what = words.empty()
                              ? std::string{"no command is named"}
                              : "there is no command '" + words.front() + "'";
        auto const failed = fail(
            exit_code::usage, "command line", what,
            "see 'sapphirereelctl --help'");
        return report(context, failed.value());
    }
    return found->run(context, command_words{words}.subspan(1));
}

} // namespace sapphirereel::client
