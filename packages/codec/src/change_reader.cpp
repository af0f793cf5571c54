#include "configuration_reader.hpp"

#include <array>
#include <string_view>

namespace sapphirereel::internal {
namespace {

/// One kind of change: its word and how its fields are read.
struct change_form
{
    std::string_view word;
    auto(*read)(object_reader& reader) -> configuration_change;
};

template <class Change, class Name>
auto read_removal(object_reader& reader, std::string const& key)
    -> configuration_change
{
    return Change{reader.required(key, read_name<Name>)};
}

template <class Change, class Name>
auto read_label_set(object_reader& reader, std::string const& owner)
    -> configuration_change
{
    return Change{
        reader.required(owner, read_name<Name>),
        reader.required("key", read_string),
        reader.required("value", read_string)};
}

template <class Change, class Name>
auto read_label_removal(object_reader& reader, std::string const& owner)
    -> configuration_change
{
    return Change{
        reader.required(owner, read_name<Name>),
        reader.required("key", read_string)};
}

using reader_ref = object_reader&;
using change = configuration_change;

constexpr auto change_forms = std::array{
    change_form{
        "put_group",
        [](reader_ref r) -> change {
            return put_group{r.required("group", read_group)};
        }},
    change_form{
        "remove_group",
        [](reader_ref r) -> change {
            return read_removal<remove_group, group_name>(r, "group");
        }},
    change_form{
        "set_group_label",
        [](reader_ref r) -> change {
            return read_label_set<set_group_label, group_name>(r, "group");
        }},
    change_form{
        "remove_group_label",
        [](reader_ref r) -> change {
            return read_label_removal<remove_group_label, group_name>(
                r, "group");
        }},
    change_form{
        "add_endpoint",
        [](reader_ref r) -> change {
            return add_endpoint{
                r.required("group", read_name<group_name>),
                r.required("endpoint", read_endpoint)};
        }},
    change_form{
        "remove_endpoint",
        [](reader_ref r) -> change {
            return read_removal<remove_endpoint, endpoint_id>(r, "endpoint");
        }},
    change_form{
        "set_endpoint_label",
        [](reader_ref r) -> change {
            return read_label_set<set_endpoint_label, endpoint_id>(
                r, "endpoint");
        }},
    change_form{
        "remove_endpoint_label",
        [](reader_ref r) -> change {
            return read_label_removal<remove_endpoint_label, endpoint_id>(
                r, "endpoint");
        }},
    change_form{
        "put_service",
        [](reader_ref r) -> change {
            return put_service{r.required("service", read_service)};
        }},
    change_form{
        "remove_service",
        [](reader_ref r) -> change {
            return read_removal<remove_service, service_name>(r, "service");
        }},
    change_form{
        "put_selector",
        [](reader_ref r) -> change {
            return put_selector{r.required("selector", read_selector)};
        }},
    change_form{
        "remove_selector",
        [](reader_ref r) -> change {
            return read_removal<remove_selector, selector_name>(r, "selector");
        }},
    change_form{
        "put_share",
        [](reader_ref r) -> change {
            return put_share{r.required("share", read_share)};
        }},
    change_form{"remove_share", [](reader_ref r) -> change {
                    return read_removal<remove_share, customer_id>(
                        r, "customer");
                }}};

auto change_words() -> std::string
{
    auto words = std::string{};
    for (auto const& form : change_forms)
    {
        words += (words.empty() ? "" : ", ") + std::string{form.word};
    }
    return words;
}

} // namespace

auto read_change(json const& from, json_place const& where, findings& found)
    -> configuration_change
{
    auto reader = object_reader{from, where, found};
    auto const word = reader.required("change", read_string);
    for (auto const& form : change_forms)
    {
        if (form.word == word)
        {
            auto value = form.read(reader);
            reader.finish();
            return value;
        }
    }
    if (!word.empty())
    {
        note(
            found, where.at("change"), "'" + word + "' is no change",
            "use one of " + change_words());
    }
    return {};
}

auto read_edit(json const& from, json_place const& where, findings& found)
    -> configuration_edit
{
    auto reader = object_reader{from, where, found};
    auto value = configuration_edit{};
    value.id = reader.required("id", read_name<edit_id>);
    value.based_on = reader.required("based_on", read_offset);
    value.author = reader.optional("author", read_string, std::string{});
    auto const read_changes = [](json const& list, json_place const& at,
                                 findings& notes) {
        return read_list(list, at, notes, read_change);
    };
    value.changes = reader.required("changes", read_changes);
    reader.finish();
    if (value.id.empty())
    {
        note(
            found, where.at("id"), "the edit has no id", "choose a random one");
    }
    return value;
}

} // namespace sapphirereel::internal
