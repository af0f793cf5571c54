#include "sapphirereel/client/text_table.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel::client {
namespace {

constexpr auto column_gap = std::size_t{2};

auto shown(std::string const& cell) -> std::string
{
    return cell.empty() ? "-" : cell;
}

} // namespace

text_table::text_table(std::vector<std::string> titles)
    : rows_{std::move(titles)}
{}

auto text_table::add(std::vector<std::string> cells) -> text_table&
{
    rows_.push_back(std::move(cells));
    return *this;
}

auto text_table::print(std::ostream& out, std::string const& indent) const
    -> void
{
    auto widths = std::vector<std::size_t>(rows_.front().size(), 0);
    for (auto const& row : rows_)
    {
        for (auto i = std::size_t{0}; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], shown(row[i]).size());
        }
    }
    for (auto const& row : rows_)
    {
        auto line = indent;
        for (auto i = std::size_t{0}; i < row.size(); ++i)
        {
            auto const cell = shown(row[i]);
            line += cell;
            if (i + 1 < row.size())
            {
                line.append(widths[i] - cell.size() + column_gap, ' ');
            }
        }
        out << line << '\n';
    }
}

auto join(std::vector<std::string> const& texts, std::string const& separator)
    -> std::string
{
    auto joined = std::string{};
    for (auto const& text : texts)
    {
        joined += joined.empty() ? "" : separator;
        joined += text;
    }
    return joined;
}

} // namespace sapphirereel::client
