/// \file
/// Defines the fake log and the call_ledger of at_most_once_simulation: the
/// log's records, the calls that ran and the answers that callers received.
#ifndef SAPPHIREREEL_TEST_FUZZ_CORE_AT_MOST_ONCE_FAKES_HPP
#define SAPPHIREREEL_TEST_FUZZ_CORE_AT_MOST_ONCE_FAKES_HPP

#include "fuzz/core/at_most_once_steps.hpp"
#include "sapphirereel/core/at_most_once.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphirereel::test {

inline auto to_wall_time(time_point time) -> wall_time
{
    using std::chrono::milliseconds;
    constexpr std::int64_t base_ms = 1'790'000'000'000;
    auto const since =
        std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
    return wall_time{base_ms + since.count()};
}

/// The stream `claims` with records dropped after the retention.
class fake_claim_log
{
public:
    auto append(claim_batch const& batch, time_point now) -> log_offset
    {
        auto const offset = log_offset{next_++};
        records_.push_back({offset, to_wall_time(now), batch});
        return offset;
    }

    auto page(log_offset from, time_point now) -> claim_page
    {
        auto const limit = to_wall_time(now - simulation_settings().retention);
        std::erase_if(records_, [limit](claim_log_record const& record) {
            return record.appended < limit;
        });
        claim_page page;
        page.next = log_offset{next_};
        page.first = records_.empty() ? page.next : records_.front().offset;
        page.read_at = to_wall_time(now);
        for (auto const& record : records_)
        {
            if (record.offset >= from)
            {
                page.records.push_back(record);
            }
        }
        return page;
    }

    /// Drops the oldest records before the retention has passed.
    auto trim(std::size_t count) -> void
    {
        auto const dropped = std::min(count, records_.size());
        records_.erase(
            records_.begin(),
            records_.begin() + static_cast<std::ptrdiff_t>(dropped));
    }

private:
    std::vector<claim_log_record> records_;
    std::uint64_t next_ = 1;
};

struct in_flight_append
{
    daemon_id from;
    append_claims append;
    bool answered = false;
};

struct in_flight_page
{
    daemon_id to;
    claim_page page;
};

struct in_flight_message
{
    daemon_id from;
    send_claim_message sent;
};

struct in_flight_call
{
    daemon_id at;
    digest name;
    digest body;
    bool run = false;
};

inline auto arrival_of(std::size_t name, bool other_body, time_point now)
    -> call_arrival
{
    call_arrival arrival;
    arrival.name = digest{"name" + std::to_string(name)};
    arrival.body = digest{other_body ? "body2" : "body1"};
    arrival.arrived = to_wall_time(now);
    return arrival;
}

/// One caller's request and the answers it received.
struct simulated_caller
{
    digest name;
    digest body;
    daemon_id at;
    int answers = 0;
    std::optional<call_answer> replied;
    std::optional<refusal> refused;

    [[nodiscard]] auto refused_as(disposition outcome) const -> bool
    {
        return refused && refused->outcome == outcome;
    }
};

inline auto answer_of(digest const& name, digest const& body) -> call_answer
{
    return call_answer{200, {}, name.str() + "/" + body.str()};
}

/// Records effects and answers, and collects violations of the at-most-once
/// guarantee.
class call_ledger
{
public:
    auto add_effect(digest const& name) -> void
    {
        effects_.push_back(name);
    }

    auto add_caller(simulated_caller caller) -> call_attachment
    {
        callers_.push_back(std::move(caller));
        return call_attachment{callers_.size() - 1};
    }

    auto add_answer(reply_call const& reply) -> void
    {
        auto& caller = callers_.at(reply.attachment.value);
        caller.replied = reply.answer;
        ++caller.answers;
    }

    auto add_answer(refuse_call const& refuse) -> void
    {
        auto& caller = callers_.at(refuse.attachment.value);
        caller.refused = refuse.reason;
        ++caller.answers;
    }

    auto add_violation(std::string violation) -> void
    {
        violations_.push_back(std::move(violation));
    }

    /// Checks one daemon's counters against the answers that it gave.
    auto check_counts(
        at_most_once_counts const& counts,
        std::uint64_t answers,
        bool all_released) -> void
    {
        auto const refused_as = counts.replied + counts.not_run +
                                counts.outcome_unknown + counts.final_refusals;
        if (refused_as != answers)
        {
            add_violation("answers were not counted");
        }
        if (!all_released)
        {
            add_violation("content was not released");
        }
    }

    auto check(std::set<daemon_id> const& live_ids) -> void
    {
        for (auto const& caller : callers_)
        {
            check_caller(caller, live_ids.contains(caller.at));
        }
        for (auto const& name : std::set(effects_.begin(), effects_.end()))
        {
            if (std::count(effects_.begin(), effects_.end(), name) > 1)
            {
                add_violation("more than one effect");
            }
        }
    }

    [[nodiscard]] auto violations() const -> std::vector<std::string> const&
    {
        return violations_;
    }

    [[nodiscard]] auto effects() const -> std::size_t
    {
        return effects_.size();
    }

    [[nodiscard]] auto callers() const -> std::vector<simulated_caller> const&
    {
        return callers_;
    }

private:
    auto check_caller(simulated_caller const& caller, bool at_live_daemon)
        -> void
    {
        if (caller.answers > 1 || (at_live_daemon && caller.answers != 1))
        {
            add_violation(
                "a caller got " + std::to_string(caller.answers) + " answers");
        }
        auto const expected = answer_of(caller.name, caller.body);
        if (caller.replied && *caller.replied != expected)
        {
            add_violation("an answer of another call");
        }
        auto const ran =
            std::count(effects_.begin(), effects_.end(), caller.name) > 0;
        if (ran && caller.refused_as(disposition::not_run))
        {
            add_violation("reported as not run, but ran");
        }
    }

    std::vector<simulated_caller> callers_;
    std::vector<digest> effects_;
    std::vector<std::string> violations_;
};

} // namespace sapphirereel::test

#endif
