/// \file
/// Defines a table of text with aligned columns for terminals.
#ifndef SAPPHIREREEL_CLIENT_TEXT_TABLE_HPP
#define SAPPHIREREEL_CLIENT_TEXT_TABLE_HPP

#include <ostream>
#include <string>
#include <vector>

namespace sapphirereel::client {

/// Rows of cells; the first row holds the titles.
/// Example: `text_table{{"NAME", "WEIGHT"}}.add({"c", "3"}).print(out)`.
class text_table
{
public:
    explicit text_table(std::vector<std::string> titles);

    auto add(std::vector<std::string> cells) -> text_table&;

    /// Prints the rows, each after `indent`. An empty cell prints as `-`.
    auto print(std::ostream& out, std::string const& indent = {}) const -> void;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// The texts with a separator between them.
auto join(std::vector<std::string> const& texts, std::string const& separator)
    -> std::string;

/// The names of identifiers, separated by commas.
template <class Names>
auto join_names(Names const& names) -> std::string
{
    auto texts = std::vector<std::string>{};
    for (auto const& name : names)
    {
        texts.push_back(name.str());
    }
    return join(texts, ",");
}

} // namespace sapphirereel::client

#endif
