/// \file
/// Defines whether a generation that arrives is run or refused.
#ifndef SAPPHIREREEL_COMPOSITION_GENERATION_RECEPTION_HPP
#define SAPPHIREREEL_COMPOSITION_GENERATION_RECEPTION_HPP

#include "sapphirereel/composition/generation_coordinator.hpp"

#include <optional>

namespace sapphirereel {

/// How a new request is received.
struct reception
{
    std::optional<refusal> reason;
    /// Whether it runs to see if a poison part still crashes endpoints.
    bool is_part_trial = false;
};

/// Decides whether a new request is refused immediately, and whether it is a
/// trial of its poison part.
[[nodiscard]] auto receive_new(
    generation_request const& request,
    decision_context const& context,
    time_point now) -> reception;

/// The final refusal of a request with a poison part; nothing for any other
/// request.
[[nodiscard]] auto poison_part_refusal(
    generation_request const& request, decision_context const& context)
    -> std::optional<refusal>;

} // namespace sapphirereel

#endif
