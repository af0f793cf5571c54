#include "sapphirereel/client/explain_request_command.hpp"

#include "sapphirereel/client/request_story.hpp"

namespace sapphirereel::client {
namespace {

/// The log files that a command line names; standard input where it names none.
auto read_sources(command_context const& context, command_words files)
    -> outcome<std::vector<log_source>>
{
    auto sources = std::vector<log_source>{};
    auto const standard_input = std::vector<std::string>{"-"};
    for (auto const& file :
         files.empty() ? command_words{standard_input} : files)
    {
        auto text = read_file(context, file);
        if (!text)
        {
            return tl::unexpected(text.error());
        }
        sources.push_back({file, std::move(*text)});
    }
    return sources;
}

} // namespace

auto run_explain_request(command_context const& context, command_words words)
    -> exit_code
{
    if (words.empty())
    {
        auto const failed = fail(
            exit_code::usage, "command line",
            "explain-request takes the id of a request",
            "write explain-request ID FILE ..., or give the logs on standard "
            "input");
        return report(context, failed.value());
    }
    auto const sources = read_sources(context, words.subspan(1));
    if (!sources)
    {
        return report(context, sources.error());
    }
    auto const story = find_story(*sources, words[0]);
    if (story.lines.empty())
    {
        auto const failed = fail(
            exit_code::rejected, "request " + words[0],
            "the logs hold no line of it",
            "give the logs of all daemons, and of the time of the request");
        return report(context, failed.value());
    }
    context.out << describe(story);
    return exit_code::done;
}

} // namespace sapphirereel::client
