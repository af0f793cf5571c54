/// \file
/// Defines reading INI text into entries with their lines, without knowledge
/// of what the keys mean.
#ifndef SAPPHIREREEL_DAEMON_SETTINGS_INI_HPP
#define SAPPHIREREEL_DAEMON_SETTINGS_INI_HPP

#include "sapphirereel/core/finding.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::daemon::internal {

/// A section of an INI text, at the line of its header.
struct ini_section
{
    std::string name;
    int line = 0;
    auto operator<=>(ini_section const&) const = default;
};

/// A key with its value, at its line. A key given twice has two entries.
struct ini_entry
{
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
    auto operator<=>(ini_entry const&) const = default;
};

/// All that an INI text holds, and what is wrong with its form.
struct ini_content
{
    std::vector<ini_section> sections;
    std::vector<ini_entry> entries;
    findings errors;
};

/// Reads INI text. Lines that cannot be read give findings; the others are
/// read all the same. `source` names the text in findings.
auto read_ini(std::string_view text, std::string const& source) -> ini_content;

} // namespace sapphirereel::daemon::internal

#endif
