#include "sapphirereel/core/at_most_once.hpp"

#include "sapphirereel/core/internal/at_most_once_answer_steps.hpp"
#include "sapphirereel/core/internal/at_most_once_caller_steps.hpp"
#include "sapphirereel/core/internal/at_most_once_claim_steps.hpp"

namespace sapphirereel {

template class basic_at_most_once<all_mechanisms>;

} // namespace sapphirereel
