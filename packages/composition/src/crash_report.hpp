/// \file
/// Defines what a daemon records and reports to others of crashes and of
/// requests that turned out not to cause any.
#ifndef SAPPHIREREEL_COMPOSITION_CRASH_REPORT_HPP
#define SAPPHIREREEL_COMPOSITION_CRASH_REPORT_HPP

#include "sapphirereel/composition/generation_coordinator.hpp"

namespace sapphirereel {

/// Names a crash. Daemons that observe the same one derive the same name,
/// except when their clocks differ across an interval boundary.
[[nodiscard]] auto name_crash(endpoint_id const& endpoint, wall_time seen)
    -> digest;

/// Records that an endpoint has run a request without a crash. Informs the
/// other daemons if that clears the request of suspicion.
auto report_completion(
    digest const& content,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void;

} // namespace sapphirereel

#endif
