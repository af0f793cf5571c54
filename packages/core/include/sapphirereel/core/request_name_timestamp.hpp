/// \file
/// Defines how the creation time of a request name is read. A name that is a
/// version 7 UUID encodes the time at which it was generated.
#ifndef SAPPHIREREEL_CORE_REQUEST_NAME_TIMESTAMP_HPP
#define SAPPHIREREEL_CORE_REQUEST_NAME_TIMESTAMP_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <optional>

namespace sapphirereel {

/// Creation time that the name encodes, or nothing when the name is not a
/// version 7 UUID in its 36-character form.
/// Example: `01890a5d-ac96-774b-bcce-b302099a8057` was generated at
/// 1688096058518.
auto request_name_timestamp(request_name const& name)
    -> std::optional<wall_time>;

} // namespace sapphirereel

#endif
