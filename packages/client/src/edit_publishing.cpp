#include "sapphirereel/client/edit_publishing.hpp"

#include "sapphirereel/client/configuration_text.hpp"
#include "sapphirereel/codec/configuration_codec.hpp"
#include "sapphirereel/core/configuration_state.hpp"

#include <chrono>
#include <string>
#include <thread>

namespace sapphirereel::client {
namespace {

constexpr auto status_not_found = 404;
constexpr auto verdict_poll_interval = std::chrono::milliseconds{200};

/// Shows the changes and the warnings that they bring in. Fails if the edit
/// would be rejected.
auto preview(
    command_context const& context,
    read_configuration const& before,
    configuration_edit const& edit) -> outcome<configuration>
{
    auto const state =
        configuration_state{before.offset, before.config, {}, {}};
    auto const verdict = preview_edit(state, edit);
    if (verdict.kind == verdict_kind::rejected)
    {
        return tl::unexpected(failure{exit_code::rejected, verdict.reasons});
    }
    auto after = apply_changes(before.config, edit.changes);
    auto& shown = context.options.json ? context.err : context.out;
    print_difference(shown, before.config, *after);
    if (!context.options.yes)
    {
        print_findings(shown, verdict.reasons);
    }
    return *std::move(after);
}

auto confirm(command_context const& context) -> bool
{
    if (context.options.yes)
    {
        return true;
    }
    context.err << "publish? [y/N] " << std::flush;
    auto answer = std::string{};
    std::getline(context.in, answer);
    return answer == "y" || answer == "yes";
}

/// Asks again until the edit is decided or the timeout is over; then the
/// verdict is still the pending one.
auto await_verdict(
    command_context const& context, edit_id const& id, edit_verdict pending)
    -> edit_verdict
{
    using clock = std::chrono::steady_clock;
    auto const deadline = clock::now() + context.options.timeout;
    while (clock::now() < deadline)
    {
        auto const verdict = ask_verdict(context, id);
        if (verdict && verdict->kind != verdict_kind::pending)
        {
            return *verdict;
        }
        std::this_thread::sleep_for(verdict_poll_interval);
    }
    return pending;
}

auto post_edit(command_context const& context, configuration_edit const& edit)
    -> outcome<edit_verdict>
{
    auto const answer =
        ask(context, {"/operator/edits", nlohmann::json(edit).dump(), {}});
    if (!answer)
    {
        return tl::unexpected(answer.error());
    }
    return read_answer<edit_verdict>(*answer);
}

/// A lost answer leaves the edit's fate open, so its name must be told.
auto report_lost(
    command_context const& context, edit_id const& id, failure const& failed)
    -> exit_code
{
    auto const code = report(context, failed);
    if (code == exit_code::unreachable)
    {
        context.err << "the edit may stand; ask with: sapphirereelctl verdict "
                    << id.str() << '\n';
    }
    return code;
}

} // namespace

auto ask_verdict(command_context const& context, edit_id const& id)
    -> outcome<edit_verdict>
{
    auto const answer =
        context.daemon.send({"/operator/edits/" + id.str(), {}, {}});
    if (answer && answer->status == status_not_found)
    {
        return fail(
            exit_code::rejected, "edit " + id.str(), "no verdict is known here",
            "ask again later, or send the edit again with --edit-id");
    }
    auto const body = read_body(answer);
    return body ? read_answer<edit_verdict>(*body)
                : tl::unexpected(body.error());
}

auto fetch_configuration(command_context const& context)
    -> outcome<read_configuration>
{
    auto const answer = ask(context, {"/operator/configuration", {}, {}});
    if (!answer)
    {
        return tl::unexpected(answer.error());
    }
    auto const offset =
        read_answer<log_offset>(answer->value("offset", nlohmann::json{}));
    if (!offset)
    {
        return tl::unexpected(offset.error());
    }
    auto config = read_answer<configuration>(
        answer->value("configuration", nlohmann::json{}));
    if (!config)
    {
        return tl::unexpected(config.error());
    }
    return read_configuration{*offset, *std::move(config)};
}

auto publish(
    command_context const& context,
    read_configuration const& before,
    std::vector<configuration_change> const& changes) -> exit_code
{
    if (changes.empty())
    {
        context.err << "nothing changes\n";
        return exit_code::done;
    }
    auto const edit = configuration_edit{
        context.options.edit, before.offset, context.options.author, changes};
    auto const after = preview(context, before, edit);
    if (!after)
    {
        return report(context, after.error());
    }
    if (*after == before.config)
    {
        context.err << "nothing changes\n";
        return exit_code::done;
    }
    if (context.options.dry_run)
    {
        context.err << "dry run: nothing is published\n";
        return exit_code::done;
    }
    if (!confirm(context))
    {
        context.err << "not published\n";
        return exit_code::rejected;
    }
    auto verdict = post_edit(context, edit);
    if (!verdict)
    {
        return report_lost(context, edit.id, verdict.error());
    }
    if (verdict->kind == verdict_kind::pending)
    {
        verdict = await_verdict(context, edit.id, *std::move(verdict));
    }
    return report_verdict(context, edit.id, *verdict);
}

auto report_verdict(
    command_context const& context,
    edit_id const& id,
    edit_verdict const& verdict) -> exit_code
{
    if (context.options.json)
    {
        auto json = nlohmann::json(verdict);
        json["id"] = id.str();
        context.out << json.dump(2) << '\n';
    }
    else
    {
        print_verdict(context.out, id, verdict);
    }
    switch (verdict.kind)
    {
    case verdict_kind::accepted:
        return exit_code::done;
    case verdict_kind::rejected:
        return exit_code::rejected;
    case verdict_kind::pending:
        break;
    }
    return exit_code::timeout;
}

} // namespace sapphirereel::client
