/// \file
/// Defines which stream of a run stands, and which runs nobody reads.
#ifndef SAPPHIREREEL_STANDINS_RUN_ATTACHMENTS_HPP
#define SAPPHIREREEL_STANDINS_RUN_ATTACHMENTS_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sapphirereel::standins {

/// One stream's hold on a run.
struct attachment_ticket
{
    run_id run;
    std::uint64_t serial = 0;
    auto operator<=>(attachment_ticket const&) const = default;
};

/// Holds of streams on runs. The one with the highest number stands, and the
/// later of two with the same.
class run_attachments
{
public:
    /// Takes a run over; nothing if a higher number stands.
    auto attach(run_id const& run, std::uint64_t number)
        -> std::optional<attachment_ticket>;

    /// Whether no later stream took the run over.
    [[nodiscard]] auto stands(attachment_ticket const& ticket) const -> bool;

    auto detach(attachment_ticket const& ticket, time_point now) -> void;

    /// Runs that nobody has read since a moment.
    [[nodiscard]] auto orphans(time_point since) const -> std::vector<run_id>;

    auto forget(run_id const& run) -> void;

private:
    struct hold
    {
        std::uint64_t number = 0;
        std::uint64_t serial = 0;
        std::optional<time_point> detached;
    };

    std::map<run_id, hold> holds_;
};

} // namespace sapphirereel::standins

#endif
