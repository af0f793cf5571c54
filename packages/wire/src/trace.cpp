#include "sapphirereel/wire/trace.hpp"

#include "sapphirereel/wire/settings_codec.hpp"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace sapphirereel {

namespace {

/// Updates the outcome with the events and actions of a trace.
class outcome_counter
{
public:
    explicit outcome_counter(replay_outcome& outcome)
        : outcome_(outcome)
    {}

    auto count(event const& input) -> void
    {
        if (auto const* arrived = std::get_if<generation_arrived>(&input))
        {
            auto const& request = arrived->request;
            open_.insert(request.attachment);
            next_[request.attachment] =
                request.resume ? request.resume->next_index : 0;
        }
        else if (auto const* call = std::get_if<call_arrived>(&input))
        {
            open_.insert(call->attachment);
        }
        else if (auto const* closed = std::get_if<caller_closed>(&input))
        {
            open_.erase(closed->attachment);
        }
        outcome_.open = open_.size();
    }

    auto count(action const& performed) -> void
    {
        std::visit([this](auto const& output) { add(output); }, performed);
        outcome_.open = open_.size();
    }

private:
    template <class Other>
    auto add(Other const&) -> void
    {}

    auto add(deliver_chunk const& output) -> void
    {
        if (!output.chunk.is_token)
        {
            return;
        }
        ++outcome_.tokens;
        auto& next = next_[output.attachment];
        auto const in_order = output.chunk.index == next;
        if (!in_order || !open_.contains(output.attachment))
        {
            ++outcome_.misplaced_tokens;
        }
        next = output.chunk.index + 1;
    }

    auto add(discard_buffered const& output) -> void
    {
        next_[output.attachment] = 0;
    }

    auto add(finish_generation const& output) -> void
    {
        ++outcome_.finished;
        end(output.attachment);
    }

    auto add(answer_caller const& output) -> void
    {
        ++outcome_.finished;
        end(output.attachment);
    }

    auto add(refuse_caller const& output) -> void
    {
        ++outcome_.refused;
        end(output.attachment);
    }

    auto add(send_call const&) -> void
    {
        ++outcome_.calls_sent;
    }

    auto add(edit_decided const& output) -> void
    {
        auto const accepted = output.verdict.kind == verdict_kind::accepted;
        auto const rejected = output.verdict.kind == verdict_kind::rejected;
        outcome_.edits_accepted += accepted ? 1 : 0;
        outcome_.edits_rejected += rejected ? 1 : 0;
    }

    auto end(attachment_id attachment) -> void
    {
        open_.erase(attachment);
        if (!ended_.insert(attachment).second)
        {
            ++outcome_.ended_twice;
        }
    }

    replay_outcome& outcome_;
    std::set<attachment_id> open_;
    std::set<attachment_id> ended_;
    std::map<attachment_id, std::uint64_t> next_;
};

auto dump_json(nlohmann::json const& json) -> std::string
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto malformed(std::size_t line, std::string message) -> findings
{
    return {
        {{"trace", static_cast<int>(line), {}},
         std::move(message),
         "record the trace again"}};
}

/// One parsed line of a trace after the header.
struct recorded_step
{
    event input;
    time_point at;
    nlohmann::json performed;
};

auto read_step(std::string const& line) -> recorded_step
{
    auto const json = nlohmann::json::parse(line);
    return {
        json.at("event").get<event>(), json.at("at").get<time_point>(),
        json.at("actions")};
}

} // namespace

auto trace_header(core_settings const& settings, time_point started)
    -> std::string
{
    return dump_json({{"settings", settings}, {"at", started}});
}

auto trace_line(event const& input, time_point at, actions const& performed)
    -> std::string
{
    return dump_json({{"at", at}, {"event", input}, {"actions", performed}});
}

auto replay(std::istream& lines) -> result<replay_outcome>
{
    auto outcome = replay_outcome{};
    auto counter = outcome_counter{outcome};
    auto core = std::optional<daemon_core>{};
    auto line = std::string{};
    auto number = std::size_t{0};
    while (std::getline(lines, line))
    {
        ++number;
        try
        {
            if (!core)
            {
                auto const header = nlohmann::json::parse(line);
                auto created = daemon_core::create(
                    header.at("settings").get<core_settings>(),
                    header.at("at").get<time_point>());
                if (!created)
                {
                    return tl::unexpected(created.error());
                }
                core.emplace(std::move(*created));
                continue;
            }
            auto const step = read_step(line);
            ++outcome.events;
            counter.count(step.input);
            auto const performed = core->step(step.input, step.at);
            for (auto const& output : performed)
            {
                counter.count(output);
            }
            if (dump_json(performed) != dump_json(step.performed))
            {
                ++outcome.differing;
                outcome.first_difference = outcome.first_difference == 0
                                               ? number
                                               : outcome.first_difference;
            }
        }
        catch (nlohmann::json::exception const& problem)
        {
            return tl::unexpected(malformed(number, problem.what()));
        }
    }
    if (!core)
    {
        return tl::unexpected(malformed(0, "the trace is empty"));
    }
    return outcome;
}

auto describe(replay_outcome const& outcome) -> std::string
{
    auto text = std::string{};
    auto const line = [&text](std::string const& caption, std::size_t count) {
        text += caption + ": " + std::to_string(count) + "\n";
    };
    line("events", outcome.events);
    line(
        "steps with actions that differ from the recorded ones",
        outcome.differing);
    if (outcome.first_difference != 0)
    {
        line("line of the first difference", outcome.first_difference);
    }
    line("tokens delivered", outcome.tokens);
    line("tokens out of order, duplicated or late", outcome.misplaced_tokens);
    line("requests answered", outcome.finished);
    line("requests refused", outcome.refused);
    line("requests ended twice", outcome.ended_twice);
    line("requests open at the end", outcome.open);
    line("calls sent to endpoints", outcome.calls_sent);
    line("edits accepted", outcome.edits_accepted);
    line("edits rejected", outcome.edits_rejected);
    return text;
}

} // namespace sapphirereel
