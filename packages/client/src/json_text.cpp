#include "sapphirereel/client/json_text.hpp"

#include "sapphirereel/client/text_table.hpp"

#include <algorithm>
#include <cctype>
#include <set>

namespace sapphirereel::client {
namespace {

using nlohmann::json;

auto is_address(json const& value) -> bool
{
    return value.is_object() && value.size() == 2 && value.contains("ip") &&
           value.contains("port");
}

auto is_plain(json const& value) -> bool
{
    return value.is_primitive() || is_address(value);
}

/// Whether the value fits one line.
auto is_single(json const& value) -> bool
{
    return is_plain(value) ||
           (value.is_array() &&
            std::all_of(value.begin(), value.end(), is_plain));
}

/// One line for a value; nested ones stay JSON.
auto single_text(json const& value) -> std::string
{
    if (value.is_null())
    {
        return "-";
    }
    if (value.is_string())
    {
        return value.get<std::string>();
    }
    if (is_address(value))
    {
        return single_text(value["ip"]) + ":" + single_text(value["port"]);
    }
    if (!value.is_array() || !is_single(value))
    {
        return value.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    auto items = std::vector<std::string>{};
    for (auto const& item : value)
    {
        items.push_back(single_text(item));
    }
    return items.empty() ? "-" : join(items, ",");
}

auto title(std::string key) -> std::string
{
    for (auto& c : key)
    {
        c = c == '_' ? ' '
                     : static_cast<char>(
                           std::toupper(static_cast<unsigned char>(c)));
    }
    return key;
}

auto column_keys(json const& rows) -> std::vector<std::string>
{
    auto keys = std::set<std::string>{};
    for (auto const& row : rows)
    {
        for (auto const& [key, value] : row.items())
        {
            keys.insert(key);
        }
    }
    return {keys.begin(), keys.end()};
}

auto print_rows(std::ostream& out, json const& rows, std::string const& indent)
    -> void
{
    auto const keys = column_keys(rows);
    auto titles = std::vector<std::string>{};
    std::transform(keys.begin(), keys.end(), std::back_inserter(titles), title);
    auto table = text_table{titles};
    for (auto const& row : rows)
    {
        auto cells = std::vector<std::string>{};
        for (auto const& key : keys)
        {
            cells.push_back(row.contains(key) ? single_text(row[key]) : "");
        }
        table.add(std::move(cells));
    }
    table.print(out, indent);
}

auto is_table(json const& value) -> bool
{
    return value.is_array() && !value.empty() &&
           std::all_of(value.begin(), value.end(), [](json const& row) {
               return row.is_object();
           });
}

auto print_single_values(
    std::ostream& out, json const& object, std::string const& indent) -> void
{
    auto width = std::size_t{0};
    for (auto const& [key, value] : object.items())
    {
        width = is_single(value) ? std::max(width, key.size()) : width;
    }
    for (auto const& [key, value] : object.items())
    {
        if (is_single(value))
        {
            out << indent << key << std::string(width - key.size() + 2, ' ')
                << single_text(value) << '\n';
        }
    }
}

} // namespace

auto print_json_text(
    std::ostream& out, json const& value, std::string const& indent) -> void
{
    if (is_table(value))
    {
        print_rows(out, value, indent);
        return;
    }
    if (!value.is_object())
    {
        out << indent << single_text(value) << '\n';
        return;
    }
    print_single_values(out, value, indent);
    for (auto const& [key, nested] : value.items())
    {
        if (!is_single(nested))
        {
            out << indent << key << ":\n";
            print_json_text(out, nested, indent + "  ");
        }
    }
}

} // namespace sapphirereel::client
