/// \file
/// Defines the internal assertion, which aborts the program when an invariant
/// is violated. Errors in user input are findings instead.
#ifndef SAPPHIREREEL_CORE_INVARIANT_HPP
#define SAPPHIREREEL_CORE_INVARIANT_HPP

#include <string_view>

namespace sapphirereel {

/// Aborts the program and prints the name of the invariant unless `holds`.
auto require_invariant(bool holds, std::string_view invariant) -> void;

} // namespace sapphirereel

#endif
