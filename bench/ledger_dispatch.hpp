/// \file
/// Defines the dispatcher under test: entry daemons with the core's placement
/// and home daemons with its ledgers, a message delay apart.
#ifndef SAPPHIREREEL_BENCH_LEDGER_DISPATCH_HPP
#define SAPPHIREREEL_BENCH_LEDGER_DISPATCH_HPP

#include "cluster_run.hpp"

#include "sapphirereel/core/admission.hpp"
#include "sapphirereel/core/migration_policy.hpp"
#include "sapphirereel/core/placement.hpp"

#include <random>
#include <string>
#include <vector>

namespace sapphirereel::bench {

/// What is varied between runs.
struct ledger_dispatch_settings
{
    ledger_settings ledger;
    placement_settings placement;
    length_settings lengths;
    /// Tokens reserved for each output whatever was learned; 0: learn.
    int reserved_output = 0;
    double progress_period_seconds = 2;
    /// Whether streams are moved before an engine must preempt.
    bool relieves = false;
    admission_settings admission;
};

/// Carries messages between the core's modules.
class ledger_dispatch
{
public:
    ledger_dispatch(
        cluster& run,
        deployment const& of,
        ledger_dispatch_settings const& settings,
        std::uint64_t seed)
        : run_(run)
        , settings_(settings)
        , generator_(seed)
        , lengths_(
              static_cast<std::size_t>(of.daemons),
              length_estimator::create(settings.lengths).value())
    {
        for (auto i = 0; i < of.daemons; ++i)
        {
            searches_.push_back(
                placement::create(settings.placement, generator_()).value());
            admissions_.push_back(
                admission::create(settings.admission, generator_()).value());
        }
        for (auto i = 0; i < run.replicas(); ++i)
        {
            ledgers_.push_back(replica_ledger::create(settings.ledger).value());
            reliefs_.push_back(migration_policy::create({}).value());
        }
    }

    auto start() -> void
    {
        tick();
        report_progress();
        report_loads();
    }

    auto arrived(int index) -> void
    {
        auto const& state = run_.request(index);
        auto const customer = customer_id{std::to_string(state.asked.customer)};
        auto const reply = admission_of(index).admit(
            {name_of(index), customer, {}}, run_.now());
        if (!reply)
        {
            run_.refuse(index);
            return;
        }
        search(index);
    }

    auto lost(int index) -> void
    {
        run_.count_move(index);
        search(index);
    }

    auto ended(int index) -> void
    {
        auto const& state = run_.request(index);
        if (state.replica >= 0)
        {
            release(index, state.replica, state.attempt, state.done);
        }
    }

private:
    static constexpr duration tick_period = std::chrono::milliseconds(50);

    auto admission_of(int index) -> admission&
    {
        auto const entry = run_.request(index).entry;
        return admissions_[static_cast<std::size_t>(entry)];
    }

    auto home_of(int replica) const -> int
    {
        return replica % static_cast<int>(lengths_.size());
    }

    auto lengths_of(int replica) -> length_estimator&
    {
        return lengths_[static_cast<std::size_t>(home_of(replica))];
    }

    auto ledger_of(int replica) -> replica_ledger&
    {
        return ledgers_[static_cast<std::size_t>(replica)];
    }

    static auto name_of(int index) -> run_id
    {
        return run_id{std::to_string(index)};
    }

    static auto number_of(std::string const& name) -> int
    {
        return std::stoi(name);
    }

    auto offer_of(int index) -> stream_offer
    {
        auto const& state = run_.request(index);
        auto const prompt =
            state.asked.prompt_tokens + settings_.reserved_output;
        return {
            .run = name_of(index),
            .entry = daemon_id{std::to_string(state.entry)},
            .kind =
                {service_name{"lm"},
                 customer_id{std::to_string(state.asked.customer)}},
            .prompt_tokens = static_cast<std::uint32_t>(prompt),
            .output_tokens = static_cast<std::uint32_t>(state.delivered),
            .wait_ms = static_cast<std::uint32_t>(
                settings_.admission.longest_wait.count() / 1000)};
    }

    auto candidates() -> placement_candidates
    {
        auto all = placement_candidates{};
        for (auto i = 0; i < run_.replicas(); ++i)
        {
            if (run_.alive(i))
            {
                all.push_back(
                    {.replica = endpoint_id{std::to_string(i)},
                     .home = daemon_id{std::to_string(home_of(i))}});
            }
        }
        return all;
    }

    auto search(int index) -> void
    {
        if (run_.request(index).open())
        {
            begin(index, offer_of(index), candidates());
        }
    }

    auto begin(
        int index,
        stream_offer const& offer,
        placement_candidates const& candidates) -> void
    {
        auto const entry = run_.request(index).entry;
        auto& searches = searches_[static_cast<std::size_t>(entry)];
        carry_out(entry, searches.begin(offer, candidates, run_.now()));
    }

    /// Tries to move one stream away from a replica that fills up.
    auto relieve(int replica) -> void
    {
        auto& moves = reliefs_[static_cast<std::size_t>(replica)];
        auto const chosen =
            moves.choose(ledger_of(replica), lengths_of(replica), run_.now());
        if (!chosen)
        {
            return;
        }
        auto const index = number_of(chosen->str());
        auto elsewhere = candidates();
        auto const source = endpoint_id{std::to_string(replica)};
        std::erase_if(elsewhere, [&source](placement_candidate const& one) {
            return one.replica == source;
        });
        auto offer = offer_of(index);
        offer.wait_ms = 0;
        begin(index, offer, elsewhere);
    }

    auto carry_out(int entry, placement_actions const& actions) -> void
    {
        for (auto const& action : actions)
        {
            std::visit([&](auto const& one) { do_one(entry, one); }, action);
        }
    }

    auto do_one(int entry, send_reserve const& sent) -> void
    {
        run_.count_message();
        run_.events().after(run_.settings().hop, [this, entry, sent] {
            auto const replica = number_of(sent.message.replica.str());
            auto const outcome = ledger_of(replica).offer(
                sent.message.offer, lengths_of(replica), run_.now());
            reply(entry, replica, sent.message.offer.run, outcome);
        });
    }

    auto grant(int replica) -> void
    {
        auto const granted =
            ledger_of(replica).grants(lengths_of(replica), run_.now());
        for (auto const& one : granted)
        {
            reply(
                number_of(one.offer.entry.str()), replica, one.offer.run,
                one.place);
        }
    }

    auto reply(
        int entry, int replica, run_id const& run, offer_reply const& outcome)
        -> void
    {
        auto message = reserve_reply_message{
            .replica = endpoint_id{std::to_string(replica)},
            .run = run,
            .accepted = outcome.has_value()};
        if (outcome)
        {
            message.headroom = static_cast<float>(outcome->headroom);
        }
        else
        {
            message.cause = outcome.error().cause;
            message.queued = outcome.error().queued;
            message.retry_after_ms = static_cast<std::uint32_t>(
                outcome.error().retry_after.count() / 1000);
        }
        auto const home = daemon_id{std::to_string(home_of(replica))};
        run_.count_message();
        run_.events().after(run_.settings().hop, [this, entry, home, message] {
            carry_out(
                entry, searches_[static_cast<std::size_t>(entry)].replied(
                           home, message, run_.now()));
        });
    }

    auto do_one(int /*entry*/, send_release const& sent) -> void
    {
        run_.count_message();
        run_.events().after(run_.settings().hop, [this, sent] {
            auto const replica = number_of(sent.message.replica.str());
            ledger_of(replica).release(sent.message.run);
            grant(replica);
        });
    }

    auto do_one(int /*entry*/, stream_placed const& placed) -> void
    {
        auto const index = number_of(placed.run.str());
        auto const replica = number_of(placed.replica.str());
        if (!run_.request(index).open() || !run_.alive(replica))
        {
            release(index, replica, 0, false);
            search(index);
            return;
        }
        if (run_.request(index).replica >= 0)
        {
            release(index, run_.request(index).replica, 0, false);
            run_.withdraw(index);
            run_.count_move(index);
        }
        admission_of(index).placed(placed.run, run_.now());
        run_.dispatch(index, replica);
    }

    auto do_one(int /*entry*/, stream_not_placed const& outcome) -> void
    {
        auto const index = number_of(outcome.run.str());
        auto const& state = run_.request(index);
        if (state.replica >= 0)
        {
            // It stays where it runs.
            return;
        }
        if (state.delivered == 0)
        {
            admission_of(index).not_placed(outcome.run);
            run_.refuse(index);
            return;
        }
        auto spread = std::uniform_real_distribution<double>(0.5, 1.5);
        auto const wait = in_seconds(outcome.retry_after) * spread(generator_);
        run_.events().after(
            from_seconds(wait), [this, index] { search(index); });
    }

    auto release(int index, int replica, int /*attempt*/, bool completed)
        -> void
    {
        auto const tokens = run_.request(index).delivered;
        run_.count_message();
        run_.events().after(
            run_.settings().hop, [this, index, replica, tokens, completed] {
                auto const known = ledger_of(replica).release(name_of(index));
                if (known)
                {
                    lengths_of(replica).record(
                        known->offer.kind,
                        {.from =
                             static_cast<double>(known->offer.output_tokens),
                         .to = static_cast<double>(tokens),
                         .completed = completed},
                        run_.now());
                }
                grant(replica);
            });
    }

    auto tick() -> void
    {
        for (auto entry = std::size_t{0}; entry < searches_.size(); ++entry)
        {
            carry_out(
                static_cast<int>(entry), searches_[entry].tick(run_.now()));
        }
        for (auto replica = 0; replica < run_.replicas(); ++replica)
        {
            grant(replica);
        }
        run_.events().after(tick_period, [this] { tick(); });
    }

    auto report_progress() -> void
    {
        for (auto replica = 0; replica < run_.replicas(); ++replica)
        {
            auto& ledger = ledger_of(replica);
            auto names = std::vector<run_id>{};
            for (auto const& [run, stream] : ledger.streams())
            {
                names.push_back(run);
            }
            for (auto const& run : names)
            {
                auto const& state = run_.request(number_of(run.str()));
                if (state.replica == replica && settings_.reserved_output == 0)
                {
                    ledger.progress(
                        run, static_cast<std::uint32_t>(state.delivered),
                        run_.now());
                }
            }
        }
        run_.events().after(
            from_seconds(settings_.progress_period_seconds),
            [this] { report_progress(); });
    }

    auto report_loads() -> void
    {
        for (auto replica = 0; replica < run_.replicas(); ++replica)
        {
            auto const& load = run_.load(replica);
            if (settings_.relieves && run_.alive(replica))
            {
                relieve(replica);
            }
            ledger_of(replica).report(
                {.memory_tokens_used = load.memory_used,
                 .memory_tokens_total = run_.settings().engine.memory_tokens,
                 .age = run_.now() - load.sampled_at},
                run_.now());
        }
        run_.events().after(
            from_seconds(run_.settings().report_period_seconds),
            [this] { report_loads(); });
    }

    cluster& run_;
    ledger_dispatch_settings settings_;
    std::mt19937_64 generator_;
    std::vector<placement> searches_;
    std::vector<admission> admissions_;
    std::vector<length_estimator> lengths_;
    std::vector<replica_ledger> ledgers_;
    std::vector<migration_policy> reliefs_;
};

} // namespace sapphirereel::bench

#endif
