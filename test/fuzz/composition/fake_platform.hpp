/// \file
/// Defines fakes of what several cores share: the log, engines and plain
/// endpoints. They count what the promises are about.
#ifndef SAPPHIREREEL_TEST_FAKE_PLATFORM_HPP
#define SAPPHIREREEL_TEST_FAKE_PLATFORM_HPP

#include "fuzz/core/generation_simulation.hpp"
#include "sapphirereel/composition/action.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sapphirereel::test {

/// An append-only log of two streams, with outages and lost answers.
struct fake_log
{
    std::vector<configuration_entry> configuration;
    std::vector<claim_log_record> claims;
    bool down = false;
    /// Appends that still take effect without an answer.
    int lost_answers = 0;

    auto append(append_record const& record, wall_time civil) -> append_result
    {
        auto result = append_result{record.token, append_outcome::refused, {}};
        if (down)
        {
            return result;
        }
        result.offset = std::visit(
            [&](auto const& body) { return put(body, civil); }, record.body);
        result.outcome = append_outcome::appended;
        if (lost_answers > 0)
        {
            --lost_answers;
            result.outcome = append_outcome::unanswered;
        }
        return result;
    }

    auto configuration_from(log_offset from, wall_time civil) const
        -> configuration_page
    {
        return {
            {1}, {configuration.size() + 1}, rest(configuration, from), civil};
    }

    auto claims_from(log_offset from, wall_time civil) const -> claim_page
    {
        return {{1}, {claims.size() + 1}, rest(claims, from), civil};
    }

private:
    auto put(claim_batch const& batch, wall_time civil) -> log_offset
    {
        auto const offset = log_offset{claims.size() + 1};
        claims.push_back({offset, civil, batch});
        return offset;
    }

    template <class Record>
    auto put(Record const& record, wall_time civil) -> log_offset
    {
        auto const offset = log_offset{configuration.size() + 1};
        configuration.push_back({offset, civil, record});
        return offset;
    }

    template <class Record>
    static auto rest(std::vector<Record> const& all, log_offset from)
        -> std::vector<Record>
    {
        auto const first = std::min<std::size_t>(
            std::max<std::uint64_t>(from.value, 1) - 1, all.size());
        return {all.begin() + static_cast<std::ptrdiff_t>(first), all.end()};
    }
};

/// One engine. Each token of a run is derived from the text before it.
struct fake_engine
{
    struct run
    {
        std::string text;
        std::uint64_t start = 0;
        std::vector<std::string> tokens;
        std::uint64_t attachment = 1;
    };

    char name = 'a';
    bool alive = true;
    /// Unused; cluster_world::set_deadly sets the content that crashes engines.
    std::string deadly;
    int crashes = 0;
    std::map<run_id, run> runs;

    auto token_at(run_id const& id, std::uint64_t index) -> run_chunk
    {
        auto& current = runs.at(id);
        while (current.start + current.tokens.size() <= index)
        {
            current.tokens.push_back(
                token_after(current.text, std::string(1, name)));
            current.text += current.tokens.back();
        }
        return {index, true, {}, current.tokens[index - current.start]};
    }
};

} // namespace sapphirereel::test

#endif
