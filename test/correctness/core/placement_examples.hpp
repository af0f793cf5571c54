/// \file
/// Defines offers, ledgers and candidates shared by the tests of placement.
#ifndef SAPPHIREREEL_TEST_CORRECTNESS_CORE_PLACEMENT_EXAMPLES_HPP
#define SAPPHIREREEL_TEST_CORRECTNESS_CORE_PLACEMENT_EXAMPLES_HPP

#include "sapphirereel/core/placement.hpp"

#include <string>

namespace sapphirereel {

inline auto example_offer(
    std::string const& run,
    std::string const& customer = "c",
    std::uint32_t prompt_tokens = 100) -> stream_offer
{
    return {
        .run = run_id{run},
        .entry = daemon_id{"entry"},
        .kind = {service_name{"lm"}, customer_id{customer}},
        .prompt_tokens = prompt_tokens};
}

inline auto example_ledger(double capacity) -> replica_ledger
{
    return replica_ledger::create(
               {.assumed_capacity = capacity, .prefill_rate = 1e9})
        .value();
}

inline auto example_lengths() -> length_estimator
{
    return length_estimator::create({}).value();
}

inline auto example_candidate(std::string const& name, std::string const& home)
    -> placement_candidate
{
    return {.replica = endpoint_id{name}, .home = daemon_id{home}};
}

} // namespace sapphirereel

#endif
