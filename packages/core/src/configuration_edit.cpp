#include "sapphirereel/core/configuration_edit.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel {
namespace {

template <class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};

template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

auto find_endpoint(configuration& config, endpoint_id const& id) -> endpoint*
{
    for (auto& [name, parent] : config.groups)
    {
        for (auto& member : parent.endpoints)
        {
            if (member.id == id)
            {
                return &member;
            }
        }
    }
    return nullptr;
}

auto erase_endpoint(configuration& config, endpoint_id const& id) -> bool
{
    auto erased = std::size_t{0};
    for (auto& [name, parent] : config.groups)
    {
        erased += std::erase_if(parent.endpoints, [&](auto const& member) {
            return member.id == id;
        });
    }
    return erased > 0;
}

/// Sorts endpoints by id, so that groups with the same endpoints compare equal.
auto sort_endpoints(group& parent) -> void
{
    std::sort(parent.endpoints.begin(), parent.endpoints.end());
}

/// Applies changes one by one and collects a finding for each that fails.
class change_applier
{
public:
    explicit change_applier(configuration config)
        : config_(std::move(config))
    {}

    auto apply(configuration_change const& change) -> void
    {
        std::visit([this](auto const& typed) { apply_one(typed); }, change);
        ++position_;
    }

    auto finish() && -> result<configuration>
    {
        if (!found_.empty())
        {
            return tl::unexpected(std::move(found_));
        }
        return std::move(config_);
    }

private:
    auto apply_one(put_group const& change) -> void
    {
        auto value = change.value;
        sort_endpoints(value);
        config_.groups.insert_or_assign(value.name, std::move(value));
    }

    auto apply_one(remove_group const& change) -> void
    {
        if (config_.groups.erase(change.name) == 0)
        {
            note_missing(object_kind::group, change.name.str());
        }
    }

    auto apply_one(set_group_label const& change) -> void
    {
        if (auto* labels = group_labels(change.name))
        {
            labels->insert_or_assign(change.key, change.value);
        }
    }

    auto apply_one(remove_group_label const& change) -> void
    {
        if (auto* labels = group_labels(change.name))
        {
            erase_label(
                *labels, {object_kind::group, change.name.str()}, change.key);
        }
    }

    auto apply_one(add_endpoint const& change) -> void
    {
        auto const to = config_.groups.find(change.to);
        if (to == config_.groups.end())
        {
            note_missing(object_kind::group, change.to.str());
            return;
        }
        if (find_endpoint(config_, change.value.id) != nullptr)
        {
            add_finding(
                "there is an endpoint '" + change.value.id.str() + "' already",
                "remove it first, or choose another id");
            return;
        }
        to->second.endpoints.push_back(change.value);
        sort_endpoints(to->second);
    }

    auto apply_one(remove_endpoint const& change) -> void
    {
        if (!erase_endpoint(config_, change.id))
        {
            note_missing(object_kind::endpoint, change.id.str());
        }
    }

    auto apply_one(set_endpoint_label const& change) -> void
    {
        if (auto* labels = endpoint_labels(change.id))
        {
            labels->insert_or_assign(change.key, change.value);
        }
    }

    auto apply_one(remove_endpoint_label const& change) -> void
    {
        if (auto* labels = endpoint_labels(change.id))
        {
            erase_label(
                *labels, {object_kind::endpoint, change.id.str()}, change.key);
        }
    }

    auto apply_one(put_service const& change) -> void
    {
        config_.services.insert_or_assign(change.value.name, change.value);
    }

    auto apply_one(remove_service const& change) -> void
    {
        if (config_.services.erase(change.name) == 0)
        {
            note_missing(object_kind::service, change.name.str());
        }
    }

    auto apply_one(put_selector const& change) -> void
    {
        config_.selectors.insert_or_assign(change.value.name, change.value);
    }

    auto apply_one(remove_selector const& change) -> void
    {
        if (config_.selectors.erase(change.name) == 0)
        {
            note_missing(object_kind::selector, change.name.str());
        }
    }

    auto apply_one(put_share const& change) -> void
    {
        config_.shares.insert_or_assign(change.value.customer, change.value);
    }

    auto apply_one(remove_share const& change) -> void
    {
        if (config_.shares.erase(change.customer) == 0)
        {
            note_missing(object_kind::share, change.customer.str());
        }
    }

    auto group_labels(group_name const& name) -> label_map*
    {
        auto const parent = config_.groups.find(name);
        if (parent == config_.groups.end())
        {
            note_missing(object_kind::group, name.str());
            return nullptr;
        }
        return &parent->second.labels;
    }

    auto endpoint_labels(endpoint_id const& id) -> label_map*
    {
        auto* member = find_endpoint(config_, id);
        if (member == nullptr)
        {
            note_missing(object_kind::endpoint, id.str());
            return nullptr;
        }
        return &member->labels;
    }

    auto erase_label(
        label_map& labels, object_key const& parent, std::string const& key)
        -> void
    {
        if (labels.erase(key) == 0)
        {
            add_finding(
                to_string(parent.kind) + " '" + parent.name +
                    "' has no label '" + key + "' of its own",
                "list its labels with 'sapphirereelctl groups show'");
        }
    }

    auto note_missing(object_kind kind, std::string const& name) -> void
    {
        add_finding(
            "there is no " + to_string(kind) + " '" + name + "'",
            "correct the name, or add it first");
    }

    auto add_finding(std::string message, std::string remedy) -> void
    {
        auto const field = "/changes/" + std::to_string(position_);
        found_.push_back(
            {{"edit", 0, field}, std::move(message), std::move(remedy)});
    }

    configuration config_;
    findings found_;
    std::size_t position_ = 0;
};

auto mark_endpoints(group const& parent, std::set<object_key>& affected) -> void
{
    for (auto const& member : parent.endpoints)
    {
        affected.insert({object_kind::endpoint, member.id.str()});
    }
}

auto mark_group(
    configuration const& config,
    group_name const& name,
    std::set<object_key>& affected) -> void
{
    affected.insert({object_kind::group, name.str()});
    auto const parent = config.groups.find(name);
    if (parent != config.groups.end())
    {
        mark_endpoints(parent->second, affected);
    }
}

/// Appends the changes that turn objects `from` of one kind into `to`.
template <class Put, class Remove, class Objects>
auto append_difference(
    Objects const& from,
    Objects const& to,
    std::vector<configuration_change>& changes) -> void
{
    for (auto const& [name, value] : from)
    {
        if (!to.contains(name))
        {
            changes.push_back(Remove{name});
        }
    }
    for (auto const& [name, value] : to)
    {
        auto const old = from.find(name);
        if (old == from.end() || old->second != value)
        {
            changes.push_back(Put{value});
        }
    }
}

} // namespace

auto to_string(object_kind kind) -> std::string
{
    switch (kind)
    {
    case object_kind::group:
        return "group";
    case object_kind::endpoint:
        return "endpoint";
    case object_kind::service:
        return "service";
    case object_kind::selector:
        return "selector";
    case object_kind::share:
        return "share";
    }
    return "object";
}

auto affected_objects(
    configuration const& config, configuration_change const& change)
    -> std::set<object_key>
{
    auto affected = std::set<object_key>{};
    auto const mark = [&](object_kind kind, auto const& name) {
        affected.insert({kind, name.str()});
    };
    std::visit(
        overloaded{
            [&](put_group const& c) {
                mark_group(config, c.value.name, affected);
                mark_endpoints(c.value, affected);
            },
            [&](remove_group const& c) {
                mark_group(config, c.name, affected);
            },
            [&](set_group_label const& c) { mark(object_kind::group, c.name); },
            [&](remove_group_label const& c) {
                mark(object_kind::group, c.name);
            },
            [&](add_endpoint const& c) {
                mark(object_kind::endpoint, c.value.id);
            },
            [&](remove_endpoint const& c) {
                mark(object_kind::endpoint, c.id);
            },
            [&](set_endpoint_label const& c) {
                mark(object_kind::endpoint, c.id);
            },
            [&](remove_endpoint_label const& c) {
                mark(object_kind::endpoint, c.id);
            },
            [&](put_service const& c) {
                mark(object_kind::service, c.value.name);
            },
            [&](remove_service const& c) {
                mark(object_kind::service, c.name);
            },
            [&](put_selector const& c) {
                mark(object_kind::selector, c.value.name);
            },
            [&](remove_selector const& c) {
                mark(object_kind::selector, c.name);
            },
            [&](put_share const& c) {
                mark(object_kind::share, c.value.customer);
            },
            [&](remove_share const& c) {
                mark(object_kind::share, c.customer);
            }},
        change);
    return affected;
}

auto apply_changes(
    configuration config, std::vector<configuration_change> const& changes)
    -> result<configuration>
{
    auto applier = change_applier{std::move(config)};
    for (auto const& change : changes)
    {
        applier.apply(change);
    }
    return std::move(applier).finish();
}

auto difference(configuration const& from, configuration const& to)
    -> std::vector<configuration_change>
{
    auto changes = std::vector<configuration_change>{};
    append_difference<put_service, remove_service>(
        from.services, to.services, changes);
    append_difference<put_group, remove_group>(from.groups, to.groups, changes);
    append_difference<put_selector, remove_selector>(
        from.selectors, to.selectors, changes);
    append_difference<put_share, remove_share>(from.shares, to.shares, changes);
    return changes;
}

} // namespace sapphirereel
