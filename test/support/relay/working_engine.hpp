/// \file
/// Defines model replicas that generate events one by one, keep copies of runs,
/// take orders that move runs, and may break a stream off and work on.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_WORKING_ENGINE_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_WORKING_ENGINE_HPP

#include "support/relay/relay_fixture.hpp"

#include <charconv>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphirereel::relay::test {

/// Events of a whole stream, and the time that each takes.
inline constexpr auto events_of_run = 60;
inline constexpr auto time_of_event = duration{std::chrono::milliseconds{8}};

/// How a replica takes an order to move a run.
enum class order_taking
{
    /// As the platform's pages say.
    in_order,
    /// It answers that the order is not known (400).
    unknown_order,
    /// It never answers.
    silent,
    /// It closes the first connection, as one with too many connections does.
    closed_once,
    /// Its answers have a status that is none.
    broken_answer,
    /// It carries orders out, and answers them, when callers have long left.
    late,
    /// It never answers the first order of a run.
    silent_once,
    /// It says that it has no room, and does not stop the run.
    refused,
    /// It closes each connection without an answer.
    closed
};

/// How a replica takes a question for its runs.
enum class report_taking
{
    /// It names the runs that it has.
    in_order,
    /// It answers that the question is not known (404).
    unknown,
    /// It never answers.
    silent
};

/// Time after which late orders are carried out.
inline constexpr auto time_of_late_order =
    duration{std::chrono::milliseconds{2'000}};

/// A run at one replica.
struct engine_run
{
    std::string request_id;
    std::size_t replica = 0;
    int first_event = 0;
    int events = 0;
    time_point began{};
    std::optional<time_point> ended = std::nullopt;
};

/// Replicas of one engine on the test's event loop.
class working_engine
{
public:
    working_engine(relay_fixture& world, std::size_t replicas)
        : world_(&world)
    {
        for (auto at = std::size_t{0}; at < replicas; ++at)
        {
            replicas_.emplace_back(
                world.loop, [this, at](auto from, auto& asked) {
                    serve(at, std::move(from), asked);
                });
            world.add(fmt::format("e{}", at), "engine", replicas_.back());
        }
    }

    /// The event within which the stream of the first run breaks off.
    std::optional<int> break_within;

    /// Whether the first run works on when its connection has ended.
    bool works_on = true;

    /// Whether the replica of the first run ends with its stream.
    bool crashes = false;

    order_taking orders = order_taking::in_order;
    std::size_t orders_taken = 0;

    report_taking reports = report_taking::in_order;
    std::size_t reports_asked = 0;

    /// Requests that each report says to wait.
    int waiting = 0;

    /// Time that each event of a run takes.
    duration event_time = time_of_event;

    std::deque<engine_run> runs;

    /// Longest time for which a replica still worked on a request after it had
    /// begun at another one.
    [[nodiscard]] auto longest_overlap(time_point now) const -> duration
    {
        auto longest = duration{0};
        for (auto at = std::size_t{1}; at < runs.size(); ++at)
        {
            auto const ended = runs[at - 1].ended.value_or(now);
            longest = std::max(longest, ended - runs[at].began);
        }
        return longest;
    }

private:
    struct active_run
    {
        std::size_t number;
        std::shared_ptr<caller_session> to;
        std::string holder;
        asio::steady_timer timer;
        bool is_cut = false;
    };

    using request_type = http::request const;

    static auto field(request_type& asked, std::string_view name) -> std::string
    {
        return std::string{http::find(asked.fields, name).value_or("")};
    }

    auto serve(
        std::size_t at,
        std::shared_ptr<caller_session> const& from,
        request_type& asked) -> void
    {
        if (asked.target == "/-/kv-move")
        {
            take_order(from, asked);
            return;
        }
        if (asked.target == "/-/report")
        {
            report(at, *from);
            return;
        }
        auto const resumed = field(asked, "Kv-From");
        auto first = 0;
        if (auto const last = field(asked, "Last-Event-Id"); !last.empty())
        {
            std::from_chars(last.data(), last.data() + last.size(), first);
        }
        if (!resumed.empty() && copies_.erase(resumed) == 0)
        {
            auto fields = signed_fields(asked);
            fields.push_back({"X-Sapphirereel-Not-Executed", "1"});
            from->respond(503, fields, {});
            return;
        }
        auto const id = field(asked, "X-Sapphirereel-Request-Id");
        runs.push_back({id, at, first, first, telemetry::monotonic_now()});
        from->begin_stream(200, "OK", signed_fields(asked));
        auto const run = std::make_shared<active_run>(active_run{
            runs.size() - 1, from, field(asked, "X-Sapphirereel-Kv-Backup"),
            asio::steady_timer{world_->loop}});
        active_.push_back(run);
        from->on_disconnect([this, run] {
            run->is_cut = true;
            if (!works_on || run->number > 0)
            {
                end(*run);
            }
        });
        generate(run);
    }

    auto generate(std::shared_ptr<active_run> const& run) -> void
    {
        run->timer.expires_after(event_time);
        run->timer.async_wait([this, run](std::error_code error) {
            if (!error && !runs[run->number].ended)
            {
                add_event(run);
            }
        });
    }

    auto add_event(std::shared_ptr<active_run> const& run) -> void
    {
        auto const number = ++runs[run->number].events;
        if (!run->holder.empty())
        {
            copies_.insert(fmt::format(
                "{}/{}", run->holder, runs[run->number].request_id));
        }
        auto const event = fmt::format("id: {}\ndata: e{}\n\n", number, number);
        auto const breaks = run->number == 0 && break_within == number;
        if (breaks)
        {
            break_off(*run, event);
        }
        else if (!run->is_cut)
        {
            run->to->stream(event);
        }
        if (number < events_of_run)
        {
            generate(run);
            return;
        }
        if (!run->is_cut && !runs[run->number].ended)
        {
            run->to->finish_stream();
        }
        end(*run);
    }

    auto break_off(active_run& run, std::string const& event) -> void
    {
        run.is_cut = true;
        run.to->on_disconnect({});
        run.to->stream(event.substr(0, 7));
        run.to->close_incomplete();
        if (crashes)
        {
            auto& replica = replicas_[runs[run.number].replica];
            replica.close();
        }
        if (crashes || !works_on)
        {
            end(run);
        }
    }

    auto end(active_run& run) -> void
    {
        if (!runs[run.number].ended)
        {
            runs[run.number].ended = telemetry::monotonic_now();
            run.timer.cancel();
        }
    }

    auto report(std::size_t at, caller_session& from) -> void
    {
        ++reports_asked;
        if (reports == report_taking::silent)
        {
            return;
        }
        if (reports == report_taking::unknown)
        {
            from.respond(404, {}, {});
            return;
        }
        auto listed = nlohmann::json::array();
        for (auto const& each : runs)
        {
            if (each.replica == at && !each.ended)
            {
                listed.push_back({each.request_id, 10, each.events, 5});
            }
        }
        from.respond(
            200, {},
            nlohmann::json{{"runs", listed}, {"waiting", waiting}}.dump());
    }

    auto take_order(
        std::shared_ptr<caller_session> const& from, request_type& asked)
        -> void
    {
        ++orders_taken;
        auto const order = nlohmann::json::parse(asked.body);
        switch (orders)
        {
        case order_taking::silent:
            return;
        case order_taking::late:
            carry_out_late(from, order);
            return;
        case order_taking::unknown_order:
            from->respond(400, {}, {});
            return;
        case order_taking::broken_answer:
            from->respond(600, {}, {});
            return;
        case order_taking::refused:
            from->respond(503, {}, "{}");
            return;
        case order_taking::closed:
            from->abort();
            return;
        case order_taking::closed_once:
            orders_taken == 1 ? from->abort() : carry_out(*from, order);
            return;
        case order_taking::silent_once:
            if (orders_taken > 1)
            {
                carry_out(*from, order);
            }
            return;
        case order_taking::in_order:
            carry_out(*from, order);
            return;
        }
    }

    auto carry_out_late(
        std::shared_ptr<caller_session> const& from,
        nlohmann::json const& order) -> void
    {
        auto const timer = std::make_shared<asio::steady_timer>(world_->loop);
        timer->expires_after(time_of_late_order);
        timer->async_wait([this, timer, from, order](std::error_code error) {
            if (!error)
            {
                carry_out(*from, order);
            }
        });
    }

    auto carry_out(caller_session& from, nlohmann::json const& order) -> void
    {
        for (auto const& run : active_)
        {
            auto const& known = runs[run->number];
            if (known.request_id == order.at("id") && !known.ended)
            {
                stop(from, *run, order);
                return;
            }
        }
        from.respond(404, {}, {});
    }

    /// Stops a run; its copy is at the destination and bears its source.
    auto stop(
        caller_session& from, active_run& run, nlohmann::json const& order)
        -> void
    {
        auto const& known = runs[run.number];
        auto const handle = fmt::format("h{}", run.number);
        copies_.insert(fmt::format(
            "{}:{}/{}", process_loopback_ip(), replicas_[known.replica].port,
            handle));
        if (order.at("last") == true)
        {
            if (!run.is_cut)
            {
                run.to->on_disconnect({});
                run.to->close_incomplete();
            }
            end(run);
        }
        from.respond(
            200, {},
            nlohmann::json{{"handle", handle}, {"create-rev", known.events}}
                .dump());
    }

    relay_fixture* world_;
    std::deque<fake_replica> replicas_;
    std::vector<std::shared_ptr<active_run>> active_;
    /// Locations of copies, as in the field `Kv-From`.
    std::set<std::string> copies_;
};

} // namespace sapphirereel::relay::test

#endif
