#include "sapphirereel/client/command_context.hpp"

#include "sapphirereel/client/configuration_text.hpp"
#include "sapphirereel/codec/basic_codec.hpp"

#include <fstream>
#include <sstream>

namespace sapphirereel::client {
namespace {

constexpr auto status_ok_first = 200;
constexpr auto status_ok_last = 299;

/// What a daemon's refusal says, as findings if it sent some.
auto refusal_findings(daemon_answer const& answer) -> findings
{
    auto const body = nlohmann::json::parse(answer.body, nullptr, false);
    if (body.is_object() && body.contains("findings"))
    {
        if (auto const found = read_answer<findings>(body["findings"]))
        {
            return *found;
        }
    }
    return {
        {{"the daemon", 0, {}},
         "answered status " + std::to_string(answer.status) + ": " +
             answer.body,
         {}}};
}

} // namespace

auto ask(command_context const& context, daemon_call const& call)
    -> outcome<nlohmann::json>
{
    return read_body(context.daemon.send(call));
}

auto read_body(outcome<daemon_answer> const& answer) -> outcome<nlohmann::json>
{
    if (!answer)
    {
        return tl::unexpected(answer.error());
    }
    if (answer->status < status_ok_first || answer->status > status_ok_last)
    {
        return tl::unexpected(
            failure{exit_code::rejected, refusal_findings(*answer)});
    }
    auto body = nlohmann::json::parse(answer->body, nullptr, false);
    if (body.is_discarded())
    {
        return fail(
            exit_code::unreachable, "the daemon's answer", "is no JSON",
            "check that the address is a daemon's");
    }
    return body;
}

auto read_file(command_context const& context, std::string const& path)
    -> outcome<std::string>
{
    auto text = std::ostringstream{};
    if (path == "-")
    {
        text << context.in.rdbuf();
        return text.str();
    }
    auto const file = std::ifstream{path};
    if (!file)
    {
        return fail(
            exit_code::usage, path, "the file cannot be read",
            "check its name and permissions");
    }
    text << file.rdbuf();
    return text.str();
}

auto report(command_context const& context, failure const& failed) -> exit_code
{
    print_findings(context.err, failed.reasons);
    return failed.code;
}

} // namespace sapphirereel::client
