#include "sapphirereel/client/replay_command.hpp"

#include "sapphirereel/wire/trace.hpp"

#include <sstream>

namespace sapphirereel::client {

namespace {

auto keeps_promises(replay_outcome const& outcome) -> bool
{
    return outcome.differing == 0 && outcome.misplaced_tokens == 0 &&
           outcome.ended_twice == 0;
}

} // namespace

auto run_replay(command_context const& context, command_words words)
    -> exit_code
{
    if (words.size() != 1)
    {
        auto const failed = fail(
            exit_code::usage, "command line", "replay takes one file",
            "write replay FILE, or replay - for standard input");
        return report(context, failed.value());
    }
    auto const text = read_file(context, words[0]);
    if (!text)
    {
        return report(context, text.error());
    }
    auto lines = std::istringstream{*text};
    auto const outcome = replay(lines);
    if (!outcome)
    {
        return report(context, fail(outcome.error()).value());
    }
    context.out << describe(*outcome);
    return keeps_promises(*outcome) ? exit_code::done : exit_code::rejected;
}

} // namespace sapphirereel::client
