#include "sapphirereel/client/exit_code.hpp"

#include <utility>

namespace sapphirereel::client {

auto fail(
    exit_code code, std::string where, std::string message, std::string mend)
    -> tl::unexpected<failure>
{
    return tl::unexpected(failure{
        code,
        {{{std::move(where), 0, {}}, std::move(message), std::move(mend)}}});
}

auto fail(findings reasons) -> tl::unexpected<failure>
{
    return tl::unexpected(failure{exit_code::usage, std::move(reasons)});
}

} // namespace sapphirereel::client
