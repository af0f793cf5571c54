#include "sapphirereel/client/flag_parsing.hpp"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <algorithm>
#include <optional>
#include <utility>

namespace sapphirereel::client {
namespace {

/// Reads arguments one by one.
class flag_parser
{
public:
    explicit flag_parser(std::vector<std::string> const& arguments)
        : arguments_(arguments)
    {}

    auto run() && -> outcome<std::vector<std::string>>
    {
        while (next_ < arguments_.size())
        {
            read_argument(arguments_[next_++]);
        }
        if (!found_.empty())
        {
            return fail(std::move(found_));
        }
        return std::move(words_);
    }

private:
    auto read_argument(std::string const& argument) -> void
    {
        if (argument == "--")
        {
            flags_ended_ = true;
        }
        else if (flags_ended_ || argument.rfind("--", 0) != 0)
        {
            words_.push_back(argument);
        }
        else
        {
            read_flag(argument);
        }
    }

    auto read_flag(std::string const& argument) -> void
    {
        auto const equals = argument.find('=');
        auto const shown = argument.substr(0, equals);
        auto name = shown.substr(2);
        std::replace(name.begin(), name.end(), '-', '_');
        auto* const flag = absl::FindCommandLineFlag(name);
        if (flag == nullptr)
        {
            note(shown, "there is no such option", "see --help");
            return;
        }
        auto const value = equals == std::string::npos
                               ? implied_value(*flag)
                               : std::optional{argument.substr(equals + 1)};
        if (!value)
        {
            note(
                shown, "the option needs a value", "write " + shown + "=VALUE");
            return;
        }
        auto wrong = std::string{};
        if (!flag->ParseFrom(*value, &wrong))
        {
            note(
                shown, "'" + *value + "' is not understood. " + wrong,
                "see --help");
        }
    }

    /// True for a boolean flag, the next argument for any other.
    auto implied_value(absl::CommandLineFlag const& flag)
        -> std::optional<std::string>
    {
        if (flag.IsOfType<bool>())
        {
            return "true";
        }
        if (next_ == arguments_.size())
        {
            return std::nullopt;
        }
        return arguments_[next_++];
    }

    auto note(std::string flag, std::string message, std::string mend) -> void
    {
        found_.push_back(
            {{std::move(flag), 0, {}}, std::move(message), std::move(mend)});
    }

    std::vector<std::string> const& arguments_;
    std::size_t next_ = 0;
    bool flags_ended_ = false;
    std::vector<std::string> words_;
    findings found_;
};

} // namespace

auto parse_flags(std::vector<std::string> const& arguments)
    -> outcome<std::vector<std::string>>
{
    return flag_parser{arguments}.run();
}

} // namespace sapphirereel::client
