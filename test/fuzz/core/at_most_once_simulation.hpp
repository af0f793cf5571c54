/// \file
/// Defines at_most_once_simulation: several daemons, a log service, an endpoint
/// and callers, driven by a list of steps in which messages may be delayed,
/// lost or reordered and daemons may be replaced. It collects violations of the
/// at-most-once guarantee.
#ifndef SAPPHIREREEL_TEST_FUZZ_CORE_AT_MOST_ONCE_SIMULATION_HPP
#define SAPPHIREREEL_TEST_FUZZ_CORE_AT_MOST_ONCE_SIMULATION_HPP

#include "fuzz/core/at_most_once_fakes.hpp"
#include "fuzz/core/at_most_once_steps.hpp"
#include "sapphirereel/core/at_most_once.hpp"
#include "sapphirereel/core/internal/at_most_once_answer_steps.hpp"
#include "sapphirereel/core/internal/at_most_once_caller_steps.hpp"
#include "sapphirereel/core/internal/at_most_once_claim_steps.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphirereel::test {

template <class Mechanisms>
class at_most_once_simulation
{
public:
    static constexpr std::size_t daemons = 3;
    static constexpr std::size_t names = 3;

    at_most_once_simulation()
    {
        for (std::size_t slot = 0; slot < daemons; ++slot)
        {
            start_daemon(slot);
        }
    }

    /// Runs the steps and lets the system settle, then repeats every name at
    /// every daemon and lets it settle again. Returns the violations.
    auto run(std::vector<test_step> const& steps) -> std::vector<std::string>
    {
        for (auto const& step : steps)
        {
            perform(step);
        }
        settle();
        for (std::size_t i = 0; i < names * daemons; ++i)
        {
            call(i % names, i / names, false, false);
        }
        settle();
        check();
        return ledger_.violations();
    }

    /// Number of callers that were told that the outcome is unknown.
    [[nodiscard]] auto unknown_outcomes() const -> std::size_t
    {
        auto const& callers = ledger_.callers();
        return static_cast<std::size_t>(std::count_if(
            callers.begin(), callers.end(), [](simulated_caller const& caller) {
                return caller.refused_as(disposition::outcome_unknown);
            }));
    }

    [[nodiscard]] auto effects() const -> std::size_t
    {
        return ledger_.effects();
    }

private:
    using machine = basic_at_most_once<Mechanisms>;

    struct running_daemon
    {
        daemon_id id;
        std::optional<machine> calls;
        std::map<digest, digest> contents;
        std::uint64_t answers_given = 0;
    };

    auto start_daemon(std::size_t slot) -> void
    {
        auto& daemon = daemons_[slot];
        daemon.id = daemon_id{"d" + std::to_string(++last_daemon_)};
        daemon.calls =
            machine::create(daemon.id, simulation_settings()).value();
        daemon.contents.clear();
        daemon.answers_given = 0;
    }

    auto find(daemon_id const& id) -> running_daemon*
    {
        for (auto& daemon : daemons_)
        {
            if (daemon.id == id)
            {
                return &daemon;
            }
        }
        return nullptr;
    }

    template <class Input>
    auto deliver(daemon_id const& id, Input const& input) -> void
    {
        if (auto* daemon = find(id))
        {
            perform_outputs(*daemon, daemon->calls->on(input, now_));
        }
    }

    auto perform(test_step const& step) -> void
    {
        switch (step.kind)
        {
        case step_kind::call:
            call(step.a % names, step.b % daemons, step.b >= 220, false);
            break;
        case step_kind::declined_call:
            call(step.a % names, step.b % daemons, false, true);
            break;
        case step_kind::wait:
            wait(step.a);
            break;
        case step_kind::tick:
            tick(step.a % daemons);
            break;
        case step_kind::end_append:
            end_append(step.a, step.b);
            break;
        case step_kind::read_log:
            deliver(daemons_[step.a % daemons].id, page_for(step.a % daemons));
            break;
        case step_kind::hold_page:
            pages_.push_back(
                {daemons_[step.a % daemons].id, page_for(step.a % daemons)});
            break;
        case step_kind::deliver_page:
            deliver_page(step.a);
            break;
        case step_kind::deliver_message:
            deliver_message(step.a, true);
            break;
        case step_kind::drop_message:
            deliver_message(step.a, false);
            break;
        case step_kind::run_call:
            run_call(step.a);
            break;
        case step_kind::answer_call:
            answer_call(step.a, step.b);
            break;
        case step_kind::replace_daemon:
            // A new daemon relies on the retention in the settings, which a
            // trimmed log does not keep.
            if (!trimmed_)
            {
                start_daemon(step.a % daemons);
            }
            break;
        case step_kind::show_live:
            show_live(step.a);
            break;
        case step_kind::trim_log:
            trim(step.a);
            break;
        case step_kind::fault_free_round:
            settle_round();
            break;
        }
    }

    auto call(
        std::size_t name, std::size_t slot, bool other_body, bool declined)
        -> void
    {
        auto const creation_time =
            first_use_.try_emplace(name, now_).first->second;
        auto const has_birth = name != 0;
        // A caller stops using a name without creation time after the name
        // lifetime.
        if (!has_birth &&
            now_ - creation_time > simulation_settings().name_lifetime)
        {
            return;
        }
        auto& daemon = daemons_[slot];
        auto arrival = arrival_of(name, other_body, now_);
        if (has_birth)
        {
            arrival.creation_time = to_wall_time(creation_time);
        }
        if (declined)
        {
            arrival.declined = refusal{};
        }
        arrival.attachment = ledger_.add_caller(
            {arrival.name, arrival.body, daemon.id, 0, {}, {}});
        daemon.contents.try_emplace(arrival.name, arrival.body);
        deliver(daemon.id, arrival);
    }

    auto wait(std::uint8_t choice) -> void
    {
        now_ += wait_time(choice);
    }

    auto tick(std::size_t slot) -> void
    {
        perform_outputs(daemons_[slot], daemons_[slot].calls->tick(now_));
    }

    auto end_append(std::uint8_t which, std::uint8_t how) -> void
    {
        if (appends_.empty())
        {
            return;
        }
        auto const chosen = appends_.begin() + which % appends_.size();
        auto const sent = *chosen;
        constexpr int ways = 6;
        auto const way = how % ways;
        auto const refused = way == 4 && !sent.answered;
        auto const appended_later = way == 5 && !sent.answered;
        append_result answer{sent.append.token, append_outcome::appended, {}};
        if (refused || appended_later)
        {
            answer.outcome =
                refused ? append_outcome::refused : append_outcome::unanswered;
        }
        else
        {
            answer.offset = log_.append(sent.append.batch, now_);
            answer.outcome = way == 3 ? append_outcome::unanswered
                                      : append_outcome::appended;
        }
        if (appended_later)
        {
            chosen->answered = true;
        }
        else
        {
            appends_.erase(chosen);
        }
        if (!sent.answered)
        {
            deliver(sent.from, answer);
        }
    }

    auto page_for(std::size_t slot) -> claim_page
    {
        return log_.page(daemons_[slot].calls->next_offset(), now_);
    }

    auto deliver_page(std::uint8_t which) -> void
    {
        if (pages_.empty())
        {
            return;
        }
        auto const chosen = pages_.begin() + which % pages_.size();
        auto const page = *chosen;
        pages_.erase(chosen);
        deliver(page.to, page.page);
    }

    auto deliver_message(std::uint8_t which, bool arrives) -> void
    {
        if (messages_.empty())
        {
            return;
        }
        auto const chosen = messages_.begin() + which % messages_.size();
        auto const message = *chosen;
        messages_.erase(chosen);
        if (arrives)
        {
            deliver(
                message.sent.to,
                claim_message_arrival{message.from, message.sent.message});
        }
    }

    auto run_call(std::uint8_t which) -> void
    {
        auto const ready = runs_where(false);
        if (ready.empty())
        {
            return;
        }
        auto const chosen = ready[which % ready.size()];
        auto const sent = runs_[chosen];
        auto* daemon = find(sent.at);
        auto const allowed =
            daemon != nullptr && daemon->calls->may_dispatch(sent.name, now_);
        if (allowed)
        {
            runs_[chosen].run = true;
            note_effect(sent);
            return;
        }
        runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(chosen));
        deliver(
            sent.at,
            call_result{sent.name, call_progress::not_sent, {}, refusal{}});
    }

    auto runs_where(bool run) const -> std::vector<std::size_t>
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < runs_.size(); ++i)
        {
            if (runs_[i].run == run)
            {
                found.push_back(i);
            }
        }
        return found;
    }

    auto note_effect(in_flight_call const& sent) -> void
    {
        auto const submitted_at = submitted_at_.find({sent.at, sent.name});
        if (submitted_at == submitted_at_.end())
        {
            ledger_.add_violation("an effect without a claim");
        }
        else if (
            now_ - submitted_at->second > simulation_settings().dispatch_window)
        {
            ledger_.add_violation("an effect later than its window");
        }
        ledger_.add_effect(sent.name);
    }

    auto answer_call(std::uint8_t which, std::uint8_t how) -> void
    {
        auto const run = runs_where(true);
        if (run.empty())
        {
            return;
        }
        auto const chosen = run[which % run.size()];
        auto const sent = runs_[chosen];
        runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(chosen));
        constexpr int ways = 6;
        call_result outcome{sent.name, call_progress::unknown, {}, {}};
        if (how % ways != 0)
        {
            outcome.progress = call_progress::answered;
            outcome.answer = answer_of(sent.name, sent.body);
        }
        deliver(sent.at, outcome);
    }

    auto show_live(std::uint8_t choice) -> void
    {
        live_daemons live;
        for (auto const& daemon : daemons_)
        {
            live.daemons.push_back(daemon.id);
        }
        // Occasionally one live daemon is reported as dead.
        if (choice % 4 == 3)
        {
            live.daemons.erase(live.daemons.begin() + choice % int{daemons});
        }
        deliver(daemons_[choice / 4 % daemons].id, live);
    }

    // Simulates a log that retains less than configured. A daemon that has
    // never read the log could not detect that, so every daemon reads it first.
    auto trim(std::uint8_t count) -> void
    {
        trimmed_ = true;
        for (std::size_t slot = 0; slot < daemons; ++slot)
        {
            deliver(daemons_[slot].id, page_for(slot));
        }
        log_.trim(count % 8);
    }

    auto perform_outputs(running_daemon& daemon, claim_outputs const& outputs)
        -> void
    {
        for (auto const& output : outputs)
        {
            std::visit(
                [this, &daemon](auto const& o) {
                    this->perform_output(daemon, o);
                },
                output);
        }
    }

    auto perform_output(running_daemon& daemon, append_claims const& append)
        -> void
    {
        for (auto const& entry : append.batch.entries)
        {
            if (entry.kind == claim_kind::run)
            {
                submitted_at_.try_emplace({daemon.id, entry.name}, now_);
            }
        }
        appends_.push_back({daemon.id, append});
    }

    auto perform_output(running_daemon& daemon, dispatch_call const& dispatch)
        -> void
    {
        auto const content = daemon.contents.find(dispatch.name);
        if (content == daemon.contents.end())
        {
            ledger_.add_violation("a dispatch of released content");
            return;
        }
        runs_.push_back({daemon.id, dispatch.name, content->second});
    }

    auto perform_output(running_daemon& daemon, release_call const& release)
        -> void
    {
        daemon.contents.erase(release.name);
    }

    template <class Answer>
    auto perform_output(running_daemon& daemon, Answer const& answer) -> void
    {
        ledger_.add_answer(answer);
        ++daemon.answers_given;
    }

    auto perform_output(running_daemon& daemon, send_claim_message const& sent)
        -> void
    {
        messages_.push_back({daemon.id, sent});
    }

    /// Completes every append, page, message and call without further faults
    /// until no caller can be waiting any more.
    auto settle() -> void
    {
        using std::chrono::milliseconds;
        constexpr int rounds = 80;
        constexpr auto round_time = milliseconds{300};
        for (std::uint8_t slot = 0; slot < daemons; ++slot)
        {
            show_live(static_cast<std::uint8_t>(slot * 4));
        }
        for (int round = 0; round < rounds; ++round)
        {
            now_ += round_time;
            settle_round();
        }
    }

    auto settle_round() -> void
    {
        while (!appends_.empty())
        {
            end_append(0, 0);
        }
        for (std::size_t slot = 0; slot < daemons; ++slot)
        {
            deliver(daemons_[slot].id, page_for(slot));
            tick(slot);
        }
        while (!pages_.empty())
        {
            deliver_page(0);
        }
        while (!messages_.empty())
        {
            deliver_message(0, true);
        }
        while (!runs_.empty())
        {
            run_call(0);
            answer_call(0, 1);
        }
    }

    auto check() -> void
    {
        std::set<daemon_id> live_ids;
        for (auto const& daemon : daemons_)
        {
            live_ids.insert(daemon.id);
            ledger_.check_counts(
                daemon.calls->counts(), daemon.answers_given,
                daemon.contents.empty());
        }
        ledger_.check(live_ids);
    }

    time_point now_{};
    std::array<running_daemon, daemons> daemons_;
    int last_daemon_ = 0;
    std::map<std::size_t, time_point> first_use_;
    std::map<std::pair<daemon_id, digest>, time_point> submitted_at_;
    std::vector<in_flight_append> appends_;
    std::vector<in_flight_page> pages_;
    std::vector<in_flight_message> messages_;
    std::vector<in_flight_call> runs_;
    fake_claim_log log_;
    call_ledger ledger_;
    bool trimmed_ = false;
};

} // namespace sapphirereel::test

#endif
