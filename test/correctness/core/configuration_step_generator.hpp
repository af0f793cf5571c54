/// \file
/// Defines the RapidCheck generator and the printer of replica steps.
#ifndef SAPPHIREREEL_TEST_CONFIGURATION_STEP_GENERATOR_HPP
#define SAPPHIREREEL_TEST_CONFIGURATION_STEP_GENERATOR_HPP

#include "correctness/core/configuration_replica_harness.hpp"

#include <gtest/gtest.h>
#include <ostream>
#include <rapidcheck/gtest.h>

namespace sapphirereel {

inline auto operator<<(std::ostream& out, replica_step const& step)
    -> std::ostream&
{
    static constexpr auto names = std::array{
        "edit",
        "repeat_edit",
        "read",
        "reread",
        "prepare_snapshot",
        "append_snapshot",
        "append_malformed",
        "expire",
        "catch_up",
        "restart"};
    return out << names.at(static_cast<std::size_t>(step.kind)) << '('
               << step.replica_number << ',' << step.what << ')';
}

/// Sequences of steps in which reads and edits are most frequent.
inline auto step_sequences() -> rc::Gen<std::vector<replica_step>>
{
    using k = step_kind;
    auto const kinds = rc::gen::weightedElement<step_kind>(
        {{4, k::edit},
         {1, k::repeat_edit},
         {6, k::read},
         {1, k::reread},
         {2, k::prepare_snapshot},
         {2, k::append_snapshot},
         {1, k::append_malformed},
         {2, k::expire},
         {2, k::catch_up},
         {1, k::restart}});
    return rc::gen::container<std::vector<replica_step>>(
        rc::gen::build<replica_step>(
            rc::gen::set(&replica_step::kind, kinds),
            rc::gen::set(
                &replica_step::replica_number,
                rc::gen::inRange<std::size_t>(0, 3)),
            rc::gen::set(
                &replica_step::what, rc::gen::inRange<std::size_t>(0, 12))));
}

} // namespace sapphirereel

#endif
