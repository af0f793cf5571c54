#include "sapphirereel/standins/engine_batch.hpp"

#include <algorithm>

namespace sapphirereel::standins {
namespace {

/// Whether a run goes before another.
auto goes_before(engine_run const* a, engine_run const* b) -> bool
{
    auto const priority_a = a->submission.priority;
    auto const priority_b = b->submission.priority;
    return priority_a != priority_b ? priority_a > priority_b
                                    : a->arrival < b->arrival;
}

auto is_complete(engine_run const& run) -> bool
{
    return run.chain.index() >= run.submission.length;
}

auto end_run(engine_run& run, run_state state, time_point now) -> void
{
    run.state = state;
    run.ended = now;
}

} // namespace

auto engine_run::has_ended() const -> bool
{
    return state == run_state::finished || state == run_state::cancelled;
}

auto engine_run::memory_tokens() const -> std::uint64_t
{
    return prompt_tokens(submission.prompt) + chain.index();
}

engine_batch::engine_batch(batch_settings settings)
    : settings_(settings)
{}

auto engine_batch::submit(run_submission submission) -> bool
{
    if (runs_.contains(submission.run))
    {
        return false;
    }
    auto chain = generation_chain{submission.prompt};
    chain.resume(submission.resume_text, submission.resume_tokens);
    auto const name = submission.run;
    auto run = engine_run{std::move(submission), std::move(chain), ++arrivals_};
    runs_.emplace(name, std::move(run));
    return true;
}

auto engine_batch::cancel(run_id const& run, time_point now) -> bool
{
    auto const found = runs_.find(run);
    if (found == runs_.end())
    {
        return false;
    }
    if (!found->second.has_ended())
    {
        end_run(found->second, run_state::cancelled, now);
    }
    return true;
}

auto engine_batch::step(time_point now) -> std::vector<run_id>
{
    auto entered = admit();
    make_room(now);
    prefill();
    decode(now);
    return entered;
}

auto engine_batch::forget_ended(time_point before) -> void
{
    std::erase_if(runs_, [before](auto const& entry) {
        return entry.second.has_ended() && entry.second.ended < before;
    });
}

auto engine_batch::find(run_id const& run) const -> engine_run const*
{
    auto const found = runs_.find(run);
    return found == runs_.end() ? nullptr : &found->second;
}

auto engine_batch::load() const -> batch_load
{
    auto load = batch_load{0, settings_.memory_tokens, 0, 0, preemptions_};
    for (auto const& [name, run] : runs_)
    {
        if (run.state == run_state::running)
        {
            load.memory_tokens_used += run.memory_tokens();
            ++load.running;
        }
        else if (!run.has_ended())
        {
            ++load.waiting;
        }
    }
    return load;
}

auto engine_batch::runs() const -> std::map<run_id, engine_run> const&
{
    return runs_;
}

auto engine_batch::admit() -> std::vector<run_id>
{
    auto queue = in_state(run_state::waiting);
    auto const paused = in_state(run_state::paused);
    queue.insert(queue.end(), paused.begin(), paused.end());
    std::sort(queue.begin(), queue.end(), goes_before);
    auto entered = std::vector<run_id>{};
    for (auto* run : queue)
    {
        if (!fits(*run))
        {
            break;
        }
        run->state = run_state::running;
        run->prefill_left = run->memory_tokens();
        entered.push_back(run->submission.run);
    }
    return entered;
}

auto engine_batch::make_room(time_point now) -> void
{
    auto running = in_state(run_state::running);
    std::sort(running.begin(), running.end(), goes_before);
    auto const overfull = [&] {
        auto const growth = running.size();
        return load().memory_tokens_used + growth > settings_.memory_tokens;
    };
    while (running.size() > 1 && overfull())
    {
        running.back()->state = run_state::paused;
        running.pop_back();
        ++preemptions_;
    }
    if (!running.empty() && overfull())
    {
        running.back()->submission.finish_reason = "length";
        end_run(*running.back(), run_state::finished, now);
    }
}

auto engine_batch::prefill() -> void
{
    auto running = in_state(run_state::running);
    std::sort(running.begin(), running.end(), goes_before);
    auto budget = settings_.prefill_tokens;
    for (auto* run : running)
    {
        auto const computed = std::min(budget, run->prefill_left);
        run->prefill_left -= computed;
        budget -= computed;
    }
}

auto engine_batch::decode(time_point now) -> void
{
    for (auto* run : in_state(run_state::running))
    {
        if (run->prefill_left > 0)
        {
            continue;
        }
        if (!is_complete(*run))
        {
            run->tokens.push_back(run->chain.next());
        }
        if (is_complete(*run))
        {
            end_run(*run, run_state::finished, now);
        }
    }
}

auto engine_batch::in_state(run_state state) -> std::vector<engine_run*>
{
    auto found = std::vector<engine_run*>{};
    for (auto& [name, run] : runs_)
    {
        if (run.state == state)
        {
            found.push_back(&run);
        }
    }
    return found;
}

auto engine_batch::fits(engine_run const& run) const -> bool
{
    auto const now = load();
    auto const growth = now.running + 1;
    auto const needed = now.memory_tokens_used + run.memory_tokens() + growth;
    auto const has_room = needed <= settings_.memory_tokens;
    return now.running < settings_.max_running &&
           (has_room || now.running == 0);
}

} // namespace sapphirereel::standins
