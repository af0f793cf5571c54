#include "correctness/core/configuration_step_generator.hpp"

namespace sapphirereel {
namespace {

RC_GTEST_PROP(configuration_replicas, agree_over_every_interleaving, ())
{
    auto const steps = *step_sequences();
    auto const violation = replica_run<configuration_log>{}.run(steps);
    RC_ASSERT(violation.value_or("") == "");
}

} // namespace
} // namespace sapphirereel
