#include "sapphirereel/client/object_commands.hpp"

#include "sapphirereel/client/change_words.hpp"
#include "sapphirereel/client/configuration_text.hpp"
#include "sapphirereel/client/edit_publishing.hpp"
#include "sapphirereel/codec/configuration_codec.hpp"

namespace sapphirereel::client {
namespace {

auto is_list(command_words words) -> bool
{
    return words.empty() || (words.size() == 1 && words[0] == "list");
}

auto is_show(command_words words) -> bool
{
    return words.size() == 2 && words[0] == "show";
}

auto wrong_words(command_context const& context, std::string const& usage)
    -> exit_code
{
    auto const failed = fail(
        exit_code::usage, "command line", "the words do not fit the command",
        "write " + usage);
    return report(context, failed.value());
}

template <class Objects>
auto print_json_values(command_context const& context, Objects const& objects)
    -> exit_code
{
    auto list = nlohmann::json::array();
    for (auto const& [name, value] : objects)
    {
        list.push_back(value);
    }
    context.out << list.dump(2) << '\n';
    return exit_code::done;
}

/// Prints the objects of one kind, as JSON or by `print`.
template <class Objects, class Print>
auto list_objects(
    command_context const& context,
    configuration const& config,
    Objects const& objects,
    Print print) -> exit_code
{
    if (context.options.json)
    {
        return print_json_values(context, objects);
    }
    print(context.out, config);
    return exit_code::done;
}

/// Prints one object as JSON, or says that it is missing.
template <class Objects>
auto show_object(
    command_context const& context,
    std::string const& kind,
    Objects const& objects,
    std::string const& name) -> exit_code
{
    auto const found = objects.find(typename Objects::key_type{name});
    if (found == objects.end())
    {
        auto text = "there is no " + kind;
        text.append(" '").append(name).append("'");
        auto const failed = fail(
            exit_code::rejected, "command line", std::move(text),
            "list the names with 'sapphirereelctl " + kind + "s list'");
        return report(context, failed.value());
    }
    context.out << nlohmann::json(found->second).dump(2) << '\n';
    return exit_code::done;
}

auto publish_outcome(
    command_context const& context,
    read_configuration const& before,
    outcome<changes> const& made) -> exit_code
{
    return made ? publish(context, before, *made)
                : report(context, made.error());
}

/// Lists, shows or edits the objects of one kind.
template <class Objects, class Print, class MakeChanges>
auto run_objects(
    command_context const& context,
    command_words words,
    std::string const& kind,
    Objects configuration::*objects,
    Print print,
    MakeChanges make_changes) -> exit_code
{
    auto const before = fetch_configuration(context);
    if (!before)
    {
        return report(context, before.error());
    }
    auto const& config = before->config;
    if (is_list(words))
    {
        return list_objects(context, config, config.*objects, print);
    }
    if (is_show(words))
    {
        return show_object(context, kind, config.*objects, words[1]);
    }
    return publish_outcome(context, *before, make_changes(config));
}

auto endpoints_json(configuration const& config) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (auto const& [name, of] : config.groups)
    {
        for (auto const& member : of.endpoints)
        {
            auto value = nlohmann::json(member);
            value["group"] = name;
            list.push_back(std::move(value));
        }
    }
    return list;
}

auto list_endpoints(command_context const& context, configuration const& config)
    -> exit_code
{
    if (context.options.json)
    {
        context.out << endpoints_json(config).dump(2) << '\n';
        return exit_code::done;
    }
    print_endpoints(context.out, config);
    return exit_code::done;
}

} // namespace

auto run_groups(command_context const& context, command_words words)
    -> exit_code
{
    auto const make = [&](configuration const& before) {
        return group_changes(context, before, words);
    };
    return run_objects(
        context, words, "group", &configuration::groups, print_groups, make);
}

auto run_endpoints(command_context const& context, command_words words)
    -> exit_code
{
    auto const before = fetch_configuration(context);
    if (!before)
    {
        return report(context, before.error());
    }
    if (is_list(words))
    {
        return list_endpoints(context, before->config);
    }
    return publish_outcome(context, *before, endpoint_changes(words));
}

auto run_services(command_context const& context, command_words words)
    -> exit_code
{
    auto const make = [&](configuration const&) {
        return service_changes(context, words);
    };
    return run_objects(
        context, words, "service", &configuration::services, print_services,
        make);
}

auto run_selectors(command_context const& context, command_words words)
    -> exit_code
{
    auto const make = [&](configuration const&) {
        return selector_changes(context, words);
    };
    return run_objects(
        context, words, "selector", &configuration::selectors, print_selectors,
        make);
}

auto run_shares(command_context const& context, command_words words)
    -> exit_code
{
    auto const make = [&](configuration const&) {
        return share_changes(words);
    };
    return run_objects(
        context, words, "share", &configuration::shares, print_shares, make);
}

auto run_configuration(command_context const& context, command_words words)
    -> exit_code
{
    if (!words.empty())
    {
        return wrong_words(context, "configuration");
    }
    auto const read = fetch_configuration(context);
    if (!read)
    {
        return report(context, read.error());
    }
    context.out << nlohmann::json(read->config).dump(2) << '\n';
    context.err << "in force here as of offset " << read->offset.value << '\n';
    return exit_code::done;
}

auto run_apply(command_context const& context, command_words words) -> exit_code
{
    if (words.size() != 1)
    {
        return wrong_words(context, "apply FILE");
    }
    auto const before = fetch_configuration(context);
    if (!before)
    {
        return report(context, before.error());
    }
    return publish_outcome(
        context, *before, file_changes(context, before->config, words[0]));
}

auto run_diff(command_context const& context, command_words words) -> exit_code
{
    if (words.size() != 1)
    {
        return wrong_words(context, "diff FILE");
    }
    auto options = context.options;
    options.dry_run = true;
    return run_apply(
        {options, context.daemon, context.in, context.out, context.err}, words);
}

auto run_verdict(command_context const& context, command_words words)
    -> exit_code
{
    if (words.size() != 1)
    {
        return wrong_words(context, "verdict EDIT-ID");
    }
    auto const verdict = ask_verdict(context, edit_id{words[0]});
    return verdict ? report_verdict(context, edit_id{words[0]}, *verdict)
                   : report(context, verdict.error());
}

} // namespace sapphirereel::client
