#include "sapphirereel/client/configuration_text.hpp"

#include "sapphirereel/client/text_table.hpp"
#include "sapphirereel/codec/configuration_codec.hpp"
#include "sapphirereel/codec/routing_codec.hpp"

#include <algorithm>
#include <iterator>

namespace sapphirereel::client {
namespace {

auto address_text(socket_address const& address) -> std::string
{
    auto const is_v6 = address.ip.find(':') != std::string::npos;
    auto const ip = is_v6 ? "[" + address.ip + "]" : address.ip;
    return ip + ":" + std::to_string(address.port);
}

auto flag_text(bool flag) -> std::string
{
    return flag ? "yes" : "no";
}

template <class Names>
auto names_or_all(Names const& names) -> std::string
{
    return names.empty() ? "all" : join_names(names);
}

auto endpoint_line(group const& of, endpoint const& member) -> std::string
{
    return "endpoint " + member.id.str() + ": " + address_text(member.address) +
           " in zone " + member.zone.str() + " of group " + of.name.str();
}

auto label_lines(
    std::string const& owner,
    label_map const& labels,
    std::vector<std::string>& lines) -> void
{
    for (auto const& [key, value] : labels)
    {
        auto line = owner;
        line.append(": label ").append(key).append("=").append(value);
        lines.push_back(std::move(line));
    }
}

auto group_lines(group const& of, std::vector<std::string>& lines) -> void
{
    auto const name = "group " + of.name.str();
    lines.push_back(name + ": service " + of.service.str());
    label_lines(name, of.labels, lines);
    for (auto const& member : of.endpoints)
    {
        lines.push_back(endpoint_line(of, member));
        label_lines("endpoint " + member.id.str(), member.labels, lines);
    }
}

auto service_line(service const& offered) -> std::string
{
    return "service " + offered.name.str() + ": " +
           std::string{name_of(offered.kind)} + ", models " +
           (offered.models.empty() ? "none" : join_names(offered.models)) +
           ", not repeated " +
           (offered.non_idempotent_methods.empty()
                ? "none"
                : join(offered.non_idempotent_methods, ",")) +
           ", checks fencing " + flag_text(offered.checks_fencing) +
           ", resumes prefix " + flag_text(offered.resumes_prefix);
}

auto selector_line(selector const& one) -> std::string
{
    return "selector " + one.name.str() + ": precedence " +
           std::to_string(one.precedence) + ", services " +
           names_or_all(one.services) + ", models " + names_or_all(one.models) +
           ", customers " + names_or_all(one.customers) + ", requires " +
           (one.requirements.empty() ? "nothing"
                                     : requirements_text(one.requirements));
}

auto place_text(place const& where) -> std::string
{
    auto text = where.source;
    if (where.line > 0)
    {
        text += ":" + std::to_string(where.line);
    }
    if (!where.field.empty())
    {
        text += (text.empty() ? "" : " ") + where.field;
    }
    return text;
}

auto print_missing_lines(
    std::ostream& out,
    char sign,
    std::vector<std::string> const& lines,
    std::vector<std::string> const& others) -> void
{
    auto missing = std::vector<std::string>{};
    std::set_difference(
        lines.begin(), lines.end(), others.begin(), others.end(),
        std::back_inserter(missing));
    for (auto const& line : missing)
    {
        out << sign << ' ' << line << '\n';
    }
}

auto selector_text(routing const& routed) -> std::string
{
    if (routed.selector)
    {
        return routed.selector->str();
    }
    return routed.services.empty() ? "-" : "none: the whole service";
}

auto print_eligible(std::ostream& out, routing const& routed) -> void
{
    auto table = text_table{{"ENDPOINT", "ADDRESS", "ZONE", "SERVICE"}};
    for (auto const& one : routed.endpoints)
    {
        table.add(
            {one.id.str(), address_text(one.address), one.zone.str(),
             one.service.str()});
    }
    table.print(out);
}

auto print_passed(std::ostream& out, routing const& routed) -> void
{
    auto table = text_table{{"PASSED OVER", "NAME", "REASON", "LABEL"}};
    for (auto const& passed : routed.skipped_selectors)
    {
        table.add(
            {"selector", passed.name.str(), std::string{name_of(passed.reason)},
             ""});
    }
    for (auto const& passed : routed.skipped_endpoints)
    {
        table.add(
            {"endpoint", passed.id.str(), std::string{name_of(passed.reason)},
             passed.label});
    }
    table.print(out);
}

} // namespace

auto labels_text(label_map const& labels) -> std::string
{
    auto texts = std::vector<std::string>{};
    for (auto const& [key, value] : labels)
    {
        auto text = key;
        texts.push_back(text.append("=").append(value));
    }
    return join(texts, ",");
}

auto requirements_text(std::vector<label_requirement> const& requirements)
    -> std::string
{
    auto texts = std::vector<std::string>{};
    for (auto const& one : requirements)
    {
        texts.push_back(one.key + "=" + join(one.values, "|"));
    }
    return join(texts, ";");
}

auto print_groups(std::ostream& out, configuration const& config) -> void
{
    auto table = text_table{{"GROUP", "SERVICE", "ENDPOINTS", "LABELS"}};
    for (auto const& [name, of] : config.groups)
    {
        table.add(
            {name.str(), of.service.str(), std::to_string(of.endpoints.size()),
             labels_text(of.labels)});
    }
    table.print(out);
}

auto print_group(std::ostream& out, group const& of) -> void
{
    out << "group    " << of.name.str() << '\n'
        << "service  " << of.service.str() << '\n'
        << "labels   " << (of.labels.empty() ? "-" : labels_text(of.labels))
        << '\n';
    auto alone = configuration{};
    alone.groups[of.name] = of;
    print_endpoints(out, alone);
}

auto print_endpoints(std::ostream& out, configuration const& config) -> void
{
    auto table =
        text_table{{"ENDPOINT", "ADDRESS", "ZONE", "GROUP", "OWN LABELS"}};
    for (auto const& [name, of] : config.groups)
    {
        for (auto const& member : of.endpoints)
        {
            table.add(
                {member.id.str(), address_text(member.address),
                 member.zone.str(), name.str(), labels_text(member.labels)});
        }
    }
    table.print(out);
}

auto print_services(std::ostream& out, configuration const& config) -> void
{
    auto table = text_table{
        {"SERVICE", "KIND", "MODELS", "NOT REPEATED", "CHECKS FENCING",
         "RESUMES PREFIX"}};
    for (auto const& [name, offered] : config.services)
    {
        table.add(
            {name.str(), std::string{name_of(offered.kind)},
             join_names(offered.models),
             join(offered.non_idempotent_methods, ","),
             flag_text(offered.checks_fencing),
             flag_text(offered.resumes_prefix)});
    }
    table.print(out);
}

auto print_selectors(std::ostream& out, configuration const& config) -> void
{
    auto table = text_table{
        {"SELECTOR", "PRECEDENCE", "SERVICES", "MODELS", "CUSTOMERS",
         "REQUIRES"}};
    for (auto const& [name, one] : config.selectors)
    {
        table.add(
            {name.str(), std::to_string(one.precedence),
             names_or_all(one.services), names_or_all(one.models),
             names_or_all(one.customers), requirements_text(one.requirements)});
    }
    table.print(out);
}

auto print_shares(std::ostream& out, configuration const& config) -> void
{
    auto table = text_table{{"CUSTOMER", "WEIGHT"}};
    for (auto const& [customer, share] : config.shares)
    {
        table.add({customer.str(), std::to_string(share.weight)});
    }
    table.print(out);
}

auto print_routing(std::ostream& out, routing const& routed) -> void
{
    out << "services  "
        << (routed.services.empty() ? "-" : join_names(routed.services)) << '\n'
        << "selector  " << selector_text(routed) << '\n';
    if (!routed.endpoints.empty())
    {
        print_eligible(out, routed);
    }
    if (!routed.skipped_selectors.empty() || !routed.skipped_endpoints.empty())
    {
        print_passed(out, routed);
    }
    print_findings(out, routed.problems);
}

auto print_verdict(
    std::ostream& out, edit_id const& id, edit_verdict const& verdict) -> void
{
    out << "edit " << id.str() << ": " << name_of(verdict.kind);
    if (verdict.kind != verdict_kind::pending)
    {
        out << " at offset " << verdict.offset.value;
    }
    out << '\n';
    print_findings(out, verdict.reasons);
}

auto print_findings(std::ostream& out, findings const& found) -> void
{
    for (auto const& one : found)
    {
        auto const where = place_text(one.where);
        out << name_of(one.level) << ": " << where
            << (where.empty() ? "" : ": ") << one.message << '\n';
        if (!one.mend.empty())
        {
            out << "  mend: " << one.mend << '\n';
        }
    }
}

auto configuration_lines(configuration const& config)
    -> std::vector<std::string>
{
    auto lines = std::vector<std::string>{};
    for (auto const& [name, offered] : config.services)
    {
        lines.push_back(service_line(offered));
    }
    for (auto const& [name, of] : config.groups)
    {
        group_lines(of, lines);
    }
    for (auto const& [name, one] : config.selectors)
    {
        lines.push_back(selector_line(one));
    }
    for (auto const& [customer, share] : config.shares)
    {
        lines.push_back(
            "share " + customer.str() + ": weight " +
            std::to_string(share.weight));
    }
    std::sort(lines.begin(), lines.end());
    return lines;
}

auto print_difference(
    std::ostream& out, configuration const& from, configuration const& to)
    -> void
{
    auto const old_lines = configuration_lines(from);
    auto const new_lines = configuration_lines(to);
    print_missing_lines(out, '-', old_lines, new_lines);
    print_missing_lines(out, '+', new_lines, old_lines);
}

} // namespace sapphirereel::client
