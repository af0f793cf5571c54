/// \file
/// Defines how the birth time of a request name is read. A name in the form
/// of a UUID of version 7 carries the time at which it was made.
#ifndef SAPPHIREREEL_CORE_REQUEST_NAME_TIMESTAMP_HPP
#define SAPPHIREREEL_CORE_REQUEST_NAME_TIMESTAMP_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <optional>

namespace sapphirereel {

/// Birth time that the name carries, or nothing when the name is not a UUID
/// of version 7 in its 36-character form.
/// Example: `01890a5d-ac96-774b-bcce-b302099a8057` was made at 1688096058518.
auto request_name_timestamp(request_name const& name)
    -> std::optional<wall_time>;

} // namespace sapphirereel

#endif
