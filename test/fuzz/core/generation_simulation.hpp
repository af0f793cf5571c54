/// \file
/// Defines a simulation of the generations of several entry daemons with fake
/// engines and a caller. Each token contains a hash of the text before it, so
/// that a token which is lost, repeated, reordered or from another run is
/// detected.
#ifndef SAPPHIREREEL_TEST_GENERATION_WORLD_HPP
#define SAPPHIREREEL_TEST_GENERATION_WORLD_HPP

#include "sapphirereel/core/generation.hpp"
#include "sapphirereel/core/rendezvous.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirereel::test {

/// Recovery mechanisms that a test may switch off.
struct enabled_mechanisms
{
    /// Late events have the number of their own stream.
    bool stream_numbers = true;
    /// An engine continues from exactly the text that it is given.
    bool exact_prefix = true;
    /// A run whose connection is lost is attached to before it is abandoned.
    bool attach_first = true;
};

/// One step of the simulation.
enum class simulation_step
{
    token,
    token_again,
    token_skipped,
    late_token,
    connection_lost,
    engine_killed,
    engine_revived,
    caller_resumes,
    time_passes
};
inline constexpr auto simulation_step_count = 9;

/// The token that an engine generates after some text.
inline auto token_after(std::string const& text, std::string const& engine)
    -> std::string
{
    auto const hash = rendezvous_weight(text, "prefix") % 100000;
    return " " + std::to_string(hash) + engine;
}

/// Whether every token was generated after exactly the text before it.
inline auto is_one_generation(std::vector<std::string> const& tokens) -> bool
{
    auto text = std::string{};
    for (auto const& token : tokens)
    {
        auto const expected = token_after(text, "");
        if (token.substr(0, expected.size()) != expected)
        {
            return false;
        }
        text += token;
    }
    return true;
}

class generation_simulation
{
public:
    explicit generation_simulation(
        std::uint64_t length, enabled_mechanisms mechanisms = {})
        : length_(length)
        , mechanisms_(mechanisms)
    {
        begin(std::nullopt);
    }

    auto step(simulation_step what, std::size_t choice) -> void
    {
        switch (what)
        {
        case simulation_step::token:
            deliver_token(choice);
            break;
        case simulation_step::token_again:
            repeat_token();
            break;
        case simulation_step::token_skipped:
            skip_token();
            break;
        case simulation_step::late_token:
            deliver_late_token();
            break;
        case simulation_step::connection_lost:
            lose_connection();
            break;
        case simulation_step::engine_killed:
            kill(choice % engines_.size());
            break;
        case simulation_step::engine_revived:
            engines_[choice % engines_.size()].alive = true;
            break;
        case simulation_step::caller_resumes:
            resume();
            break;
        case simulation_step::time_passes:
            advance_time();
            break;
        }
    }

    /// Ends all faults and runs the generation until it ends.
    auto run_to_end() -> void
    {
        for (auto& engine : engines_)
        {
            engine.alive = true;
        }
        auto const rounds = 4 * length_ + 200;
        for (auto i = std::uint64_t{0}; i < rounds && !ended(); ++i)
        {
            deliver_token(i);
            advance_time();
        }
    }

    [[nodiscard]] auto ended() const -> bool
    {
        return finished_ > 0 || refused_.has_value();
    }

    [[nodiscard]] auto tokens() const -> std::vector<std::string> const&
    {
        return tokens_;
    }

    [[nodiscard]] auto finished() const -> std::size_t
    {
        return finished_;
    }

    [[nodiscard]] auto refused() const -> std::optional<refusal> const&
    {
        return refused_;
    }

    /// Whether an engine and the daemon that had read its text may both be
    /// lost, and the text with them.
    [[nodiscard]] auto text_lost() const -> bool
    {
        return resumed_ > 0 && kills_ > 0;
    }

private:
    struct run
    {
        std::string text;
        std::uint64_t start = 0;
        std::vector<std::string> tokens;
        std::uint64_t attachment = 1;
    };

    struct engine
    {
        bool alive = true;
        std::map<run_id, run> runs;
    };

    struct stream
    {
        std::size_t engine = 0;
        run_id run;
        std::uint64_t next = 0;
    };

    auto begin(std::optional<resume_point> resume) -> void
    {
        ++attachment_;
        auto request = generation_request{};
        request.attachment = attachment_id{attachment_};
        request.deadline = now_ + std::chrono::hours{1};
        request.resume = std::move(resume);
        auto settings = generation_settings{};
        settings.lost_engines = 1000;
        settings.attach_attempts = mechanisms_.attach_first ? 2 : 0;
        run_ids_.emplace_back("d" + std::to_string(attachment_));
        auto begun =
            generation::begin(request, settings, run_ids_.back(), now_);
        generations_.push_back(std::move(begun.value));
        perform(generations_.size() - 1, begun.actions);
    }

    [[nodiscard]] auto current() const -> std::size_t
    {
        return generations_.size() - 1;
    }

    auto perform(std::size_t which, generation_actions const& todo) -> void
    {
        for (auto const& one : todo)
        {
            std::visit([&](auto const& what) { apply(which, what); }, one);
        }
    }

    template <class Other>
    auto apply(std::size_t, Other const&) -> void
    {}

    auto apply(std::size_t which, find_place const& wanted) -> void
    {
        for (auto i = std::size_t{0}; i < engines_.size(); ++i)
        {
            auto const id = endpoint_id{std::to_string(i)};
            if (engines_[i].alive && !wanted.excluded.contains(id))
            {
                auto const place = run_place{id, {}, true};
                perform(
                    which, generations_[which].placed(
                               wanted.run, place, run_ids_[which], now_));
                return;
            }
        }
        auto const reason = refusal{};
        perform(
            which, generations_[which].not_placed(wanted.run, reason, now_));
    }

    auto apply(std::size_t which, start_run const& start) -> void
    {
        auto const at = std::stoul(start.place.endpoint.str());
        auto made = run{};
        if (start.resume)
        {
            made.text = start.resume->text;
            made.start = start.resume->tokens;
            if (!mechanisms_.exact_prefix && !made.text.empty())
            {
                made.text.pop_back();
            }
        }
        engines_[at].runs[start.run] = made;
        open(which, start.stream, {at, start.run, made.start});
    }

    auto apply(std::size_t which, attach_run const& attach) -> void
    {
        auto const at = std::stoul(attach.place.endpoint.str());
        auto& runs = engines_[at].runs;
        if (!engines_[at].alive)
        {
            end(which, attach.stream, run_end::refused_not_run);
            return;
        }
        auto const found = runs.find(attach.run);
        if (found == runs.end())
        {
            end(which, attach.stream, run_end::unknown_run);
            return;
        }
        if (attach.attachment_number < found->second.attachment)
        {
            end(which, attach.stream, run_end::superseded);
            return;
        }
        found->second.attachment = attach.attachment_number;
        supersede_others(which, attach.run);
        auto const from = std::max(attach.from, found->second.start);
        open(which, attach.stream, {at, attach.run, from});
    }

    auto apply(std::size_t, stop_stream const& stop) -> void
    {
        std::erase_if(streams_, [&](auto const& entry) {
            return entry.second.second == stop.stream;
        });
    }

    auto apply(std::size_t, cancel_run const& cancel) -> void
    {
        auto const at = std::stoul(cancel.place.endpoint.str());
        engines_[at].runs.erase(cancel.run);
    }

    auto apply(std::size_t which, deliver_chunk const& chunk) -> void
    {
        if (which != current())
        {
            return;
        }
        in_order_ = in_order_ && chunk.chunk.index == tokens_.size();
        tokens_.push_back(chunk.chunk.text);
        position_ = resume_point{
            chunk.run, chunk.place, chunk.chunk.index + 1,
            chunk.attachment_number, std::nullopt};
    }

    auto apply(std::size_t which, finish_generation const&) -> void
    {
        finished_ += which == current() ? 1 : 0;
    }

    auto apply(std::size_t which, refuse_generation const& refused) -> void
    {
        if (which == current())
        {
            refused_ = refused.reason;
        }
    }

    auto open(std::size_t which, stream_number number, stream const& made)
        -> void
    {
        last_stream_ = number;
        streams_[which] = {made, number};
    }

    auto end(std::size_t which, stream_number number, run_end how) -> void
    {
        streams_.erase(which);
        perform(
            which, generations_[which].ended(
                       number, {how, 0, {}}, run_ids_[which], now_));
    }

    auto supersede_others(std::size_t which, run_id const& taken) -> void
    {
        auto const streams = streams_;
        for (auto const& [other, held] : streams)
        {
            if (other != which && held.first.run == taken)
            {
                end(other, held.second, run_end::superseded);
            }
        }
    }

    auto deliver_token(std::size_t choice) -> void
    {
        if (streams_.empty())
        {
            return;
        }
        auto chosen = streams_.begin();
        std::advance(chosen, choice % streams_.size());
        auto const which = chosen->first;
        auto& [held, number] = chosen->second;
        auto& run = engines_[held.engine].runs[held.run];
        if (held.next >= length_)
        {
            end(which, number, run_end::finished);
            return;
        }
        auto const index = held.next++;
        auto const chunk = chunk_at(run, index, held.engine);
        last_[which] = {number, chunk};
        perform(
            which,
            generations_[which].chunk(number, chunk, run_ids_[which], now_));
    }

    auto chunk_at(run& of, std::uint64_t index, std::size_t engine) -> run_chunk
    {
        while (of.start + of.tokens.size() <= index)
        {
            // Engines sample different tokens: two that continue the same
            // generation share only the text before a token.
            auto const token = token_after(
                of.text, std::string(1, static_cast<char>('a' + engine)));
            of.tokens.push_back(token);
            of.text += token;
        }
        return {index, true, {}, of.tokens[index - of.start]};
    }

    auto repeat_token() -> void
    {
        auto const found = last_.find(current());
        if (found != last_.end())
        {
            auto const [number, chunk] = found->second;
            perform(
                current(), generations_[current()].chunk(
                               number, chunk, run_ids_[current()], now_));
        }
    }

    auto skip_token() -> void
    {
        auto const found = streams_.find(current());
        if (found != streams_.end() && found->second.first.next + 1 < length_)
        {
            ++found->second.first.next;
        }
    }

    /// Delivers a token of an abandoned run on its old connection.
    auto deliver_late_token() -> void
    {
        auto const& generation = generations_[current()];
        auto const late = stream_number{last_stream_.value - 1};
        auto const number =
            mechanisms_.stream_numbers || !streams_.contains(current())
                ? late
                : streams_[current()].second;
        auto const chunk =
            run_chunk{generation.next_index(), true, {}, " from another run"};
        perform(
            current(), generations_[current()].chunk(
                           number, chunk, run_ids_[current()], now_));
    }

    auto lose_connection() -> void
    {
        auto const found = streams_.find(current());
        if (found != streams_.end())
        {
            end(current(), found->second.second, run_end::lost);
        }
    }

    auto kill(std::size_t at) -> void
    {
        ++kills_;
        engines_[at].alive = false;
        engines_[at].runs.clear();
        auto const streams = streams_;
        for (auto const& [which, held] : streams)
        {
            if (held.first.engine == at)
            {
                end(which, held.second, run_end::lost);
            }
        }
    }

    auto resume() -> void
    {
        if (position_ && !ended())
        {
            ++resumed_;
            auto resumed = *position_;
            resumed.attachment_number = attachment_ + 1;
            begin(resumed);
        }
    }

    auto advance_time() -> void
    {
        now_ += std::chrono::milliseconds{250};
        for (auto i = std::size_t{0}; i < generations_.size(); ++i)
        {
            perform(i, generations_[i].tick(run_ids_[i], now_));
        }
    }

public:
    [[nodiscard]] auto in_order() const -> bool
    {
        return in_order_;
    }

private:
    std::uint64_t length_;
    enabled_mechanisms mechanisms_;
    time_point now_{};
    std::vector<engine> engines_ = std::vector<engine>(3);
    std::vector<run_id_generator> run_ids_;
    std::vector<generation> generations_;
    std::map<std::size_t, std::pair<stream, stream_number>> streams_;
    std::map<std::size_t, std::pair<stream_number, run_chunk>> last_;
    stream_number last_stream_;
    std::uint64_t attachment_ = 0;
    std::vector<std::string> tokens_;
    std::optional<resume_point> position_;
    std::size_t finished_ = 0;
    std::optional<refusal> refused_;
    std::size_t kills_ = 0;
    std::size_t resumed_ = 0;
    bool in_order_ = true;
};

} // namespace sapphirereel::test

#endif
