#include "sapphirereel/client/change_words.hpp"

#include "sapphirereel/codec/configuration_codec.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace sapphirereel::client {
namespace {

auto wrong_words(std::string expected) -> tl::unexpected<failure>
{
    return fail(
        exit_code::usage, "command line", "the words do not fit the command",
        "write " + std::move(expected));
}

auto split(std::string_view text, char separator) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>{};
    while (!text.empty())
    {
        auto const end = std::min(text.find(separator), text.size());
        parts.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

template <class Name>
auto names_of(std::vector<std::string> const& texts) -> std::vector<Name>
{
    auto names = std::vector<Name>{};
    for (auto const& text : texts)
    {
        names.emplace_back(text);
    }
    return names;
}

/// Changes that put each object of a file.
template <class Put, class Decode>
auto put_from_file(command_context const& context, Decode decode)
    -> outcome<changes>
{
    auto const text = read_file(context, context.options.file);
    if (!text)
    {
        return tl::unexpected(text.error());
    }
    auto const decoded = decode(*text, context.options.file);
    if (!decoded)
    {
        return fail(decoded.error());
    }
    auto made = changes{};
    for (auto const& value : *decoded)
    {
        made.emplace_back(Put{value});
    }
    return made;
}

auto is_put_from_file(command_context const& context, command_words words)
    -> bool
{
    return words.size() == 1 && words[0] == "put" &&
           !context.options.file.empty();
}

/// `KEY=VALUE` sets a label and `KEY-` removes it.
template <class Set, class Remove, class Name>
auto label_changes(Name const& owner, command_words words) -> outcome<changes>
{
    auto made = changes{};
    for (auto const& word : words)
    {
        auto const equals = word.find('=');
        if (equals != std::string::npos && equals > 0)
        {
            made.emplace_back(
                Set{owner, word.substr(0, equals), word.substr(equals + 1)});
        }
        else if (word.size() > 1 && word.back() == '-')
        {
            made.emplace_back(Remove{owner, word.substr(0, word.size() - 1)});
        }
        else
        {
            return wrong_words("KEY=VALUE to set a label, KEY- to remove it");
        }
    }
    return made;
}

auto group_from_options(
    command_context const& context,
    configuration const& before,
    group_name const& name) -> outcome<changes>
{
    if (context.options.services.size() != 1)
    {
        return wrong_words("groups put NAME --service=SERVICE");
    }
    auto made = group{name, {}, {}, {}};
    auto const old = before.groups.find(name);
    if (old != before.groups.end())
    {
        made = old->second;
    }
    made.service = service_name{context.options.services.front()};
    return changes{put_group{std::move(made)}};
}

auto service_from_options(
    command_context const& context, service_name const& name)
    -> outcome<changes>
{
    auto const& options = context.options;
    auto const kind = value_of<service_kind>(options.kind);
    if (!kind)
    {
        return wrong_words("services put NAME --kind=engine|plain");
    }
    return changes{put_service{service{
        name, *kind, names_of<model_name>(options.models),
        options.non_idempotent, options.checks_fencing,
        options.resumes_prefix}}};
}

auto selector_from_options(
    command_context const& context, selector_name const& name)
    -> outcome<changes>
{
    auto const& options = context.options;
    auto requirements = parse_requirements(options.requirements);
    if (!requirements)
    {
        return tl::unexpected(requirements.error());
    }
    return changes{put_selector{selector{
        name, options.precedence.value_or(0),
        names_of<service_name>(options.services),
        names_of<model_name>(options.models),
        names_of<customer_id>(options.customers), *std::move(requirements)}}};
}

auto added_endpoint(command_words words) -> outcome<changes>
{
    if (words.size() < 5)
    {
        return wrong_words(
            "endpoints add GROUP ID IP:PORT ZONE [KEY=VALUE...]");
    }
    auto const addresses = parse_addresses(words[3]);
    if (!addresses || addresses->size() != 1)
    {
        return fail(
            exit_code::usage, "command line",
            "'" + words[3] + "' is no address", "write it as in 10.0.0.7:8000");
    }
    auto labels = parse_labels(words.subspan(5));
    if (!labels)
    {
        return tl::unexpected(labels.error());
    }
    return changes{add_endpoint{
        group_name{words[1]},
        {endpoint_id{words[2]}, addresses->front(), zone_name{words[4]},
         *std::move(labels)}}};
}

auto parse_weight(std::string const& text) -> std::optional<std::uint32_t>
{
    auto weight = std::uint32_t{0};
    auto const* end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, weight);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{weight}
                                                         : std::nullopt;
}

/// Whether the file holds changes rather than a whole configuration.
auto holds_changes(std::string const& text) -> bool
{
    auto const value = nlohmann::json::parse(text, nullptr, false);
    return value.is_array() || value.contains("changes");
}

} // namespace

auto parse_requirements(std::string_view text)
    -> outcome<std::vector<label_requirement>>
{
    auto requirements = std::vector<label_requirement>{};
    for (auto const& part : split(text, ';'))
    {
        auto const equals = part.find('=');
        if (equals == std::string::npos || equals == 0)
        {
            return fail(
                exit_code::usage, "--require",
                "'" + part + "' is no requirement",
                "write it as in pool=fast|slow, or canary= for an absent "
                "label");
        }
        requirements.push_back(
            {part.substr(0, equals), split(part.substr(equals + 1), '|')});
    }
    return requirements;
}

auto parse_labels(command_words words) -> outcome<label_map>
{
    auto labels = label_map{};
    for (auto const& word : words)
    {
        auto const equals = word.find('=');
        if (equals == std::string::npos || equals == 0)
        {
            return wrong_words("labels as KEY=VALUE");
        }
        labels[word.substr(0, equals)] = word.substr(equals + 1);
    }
    return labels;
}

auto group_changes(
    command_context const& context,
    configuration const& before,
    command_words words) -> outcome<changes>
{
    if (is_put_from_file(context, words))
    {
        return put_from_file<put_group>(context, decode_groups);
    }
    if (words.size() < 2)
    {
        return wrong_words("groups put|remove|label NAME, see --help");
    }
    auto const name = group_name{words[1]};
    if (words[0] == "put" && words.size() == 2)
    {
        return group_from_options(context, before, name);
    }
    if (words[0] == "remove" && words.size() == 2)
    {
        return changes{remove_group{name}};
    }
    if (words[0] == "label" && words.size() > 2)
    {
        return label_changes<set_group_label, remove_group_label>(
            name, words.subspan(2));
    }
    return wrong_words("groups put|remove|label NAME, see --help");
}

auto endpoint_changes(command_words words) -> outcome<changes>
{
    if (words[0] == "add")
    {
        return added_endpoint(words);
    }
    if (words[0] == "remove" && words.size() == 2)
    {
        return changes{remove_endpoint{endpoint_id{words[1]}}};
    }
    if (words[0] == "label" && words.size() > 2)
    {
        return label_changes<set_endpoint_label, remove_endpoint_label>(
            endpoint_id{words[1]}, words.subspan(2));
    }
    return wrong_words("endpoints add|remove|label, see --help");
}

auto service_changes(command_context const& context, command_words words)
    -> outcome<changes>
{
    if (is_put_from_file(context, words))
    {
        return put_from_file<put_service>(context, decode_services);
    }
    if (words.size() == 2 && words[0] == "put")
    {
        return service_from_options(context, service_name{words[1]});
    }
    if (words.size() == 2 && words[0] == "remove")
    {
        return changes{remove_service{service_name{words[1]}}};
    }
    return wrong_words("services put|remove NAME, see --help");
}

auto selector_changes(command_context const& context, command_words words)
    -> outcome<changes>
{
    if (is_put_from_file(context, words))
    {
        return put_from_file<put_selector>(context, decode_selectors);
    }
    if (words.size() == 2 && words[0] == "put")
    {
        return selector_from_options(context, selector_name{words[1]});
    }
    if (words.size() == 2 && words[0] == "remove")
    {
        return changes{remove_selector{selector_name{words[1]}}};
    }
    return wrong_words("selectors put|remove NAME, see --help");
}

auto share_changes(command_words words) -> outcome<changes>
{
    if (words.size() == 2 && words[0] == "remove")
    {
        return changes{remove_share{customer_id{words[1]}}};
    }
    auto const weight = words.size() == 3 && words[0] == "put"
                            ? parse_weight(words[2])
                            : std::nullopt;
    if (!weight)
    {
        return wrong_words("shares put CUSTOMER WEIGHT, or remove CUSTOMER");
    }
    return changes{put_share{{customer_id{words[1]}, *weight}}};
}

auto file_changes(
    command_context const& context,
    configuration const& before,
    std::string const& path) -> outcome<changes>
{
    auto const text = read_file(context, path);
    if (!text)
    {
        return tl::unexpected(text.error());
    }
    if (holds_changes(*text))
    {
        auto decoded = decode_changes(*text, path);
        return decoded ? outcome<changes>{*std::move(decoded)}
                       : fail(std::move(decoded.error()));
    }
    auto const wanted = decode_configuration(*text, path);
    if (!wanted)
    {
        return fail(wanted.error());
    }
    return difference(before, *wanted);
}

} // namespace sapphirereel::client
