#include "sapphirereel/codec/json_number.hpp"

#include <cmath>

namespace sapphirereel::codec {
namespace {

/// The number of a double that holds a whole one without loss.
auto exact_whole_number(double value) -> std::optional<std::uint64_t>
{
    auto const is_exact =
        value >= 0 && value <= static_cast<double>(max_exact_whole_number) &&
        std::trunc(value) == value;
    return is_exact ? std::optional{static_cast<std::uint64_t>(value)}
                    : std::nullopt;
}

} // namespace

auto whole_number(nlohmann::json const& value, std::uint64_t most)
    -> std::optional<std::uint64_t>
{
    auto number = std::optional<std::uint64_t>{};
    if (value.is_number_unsigned())
    {
        number = value.get<std::uint64_t>();
    }
    else if (value.is_number_float())
    {
        number = exact_whole_number(value.get<double>());
    }
    return number && *number <= most ? number : std::nullopt;
}

} // namespace sapphirereel::codec
