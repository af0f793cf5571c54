#include "sapphirereel/core/poison_request.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sapphirereel {
namespace {

constexpr auto daemon_count = 3;
constexpr auto engine_count = 4;
constexpr auto rounds = 200;

/// A request, its entry daemon, and the engine that runs it.
struct running_request
{
    digest content;
    std::size_t entry = 0;
    bool poison = false;
    bool suspect = false;
    int engine = -1;
    bool completed = false;
    bool refused = false;
};

/// Several entry daemons and their engines. Gossip arrives late, at one daemon
/// at a time.
class simulated_cluster
{
public:
    explicit simulated_cluster(int requests)
    {
        for (auto i = 0; i < daemon_count; ++i)
        {
            daemons_.push_back(poison_request_detector::create({}).value());
        }
        for (auto i = 0; i < requests; ++i)
        {
            requests_.push_back(
                {.content = digest{std::to_string(i)},
                 .entry = static_cast<std::size_t>(i) % daemon_count,
                 .poison = i == 0});
        }
    }

    auto round() -> void
    {
        for (auto& request : requests_)
        {
            place(request);
        }
        gossip_to_one();
        finish_one();
        crash();
    }

    [[nodiscard]] auto requests() const -> std::vector<running_request> const&
    {
        return requests_;
    }

    [[nodiscard]] auto crashes() const -> int
    {
        return crashes_;
    }

private:
    auto place(running_request& request) -> void
    {
        auto const idle =
            request.engine < 0 && !request.completed && !request.refused;
        if (!idle)
        {
            return;
        }
        auto const verdict = daemons_[request.entry].verdict(request.content);
        request.refused = verdict == poison_verdict::poison;
        request.suspect = verdict == poison_verdict::isolate;
        auto const engine = *rc::gen::inRange(0, engine_count);
        auto const taken = std::any_of(
            requests_.begin(), requests_.end(), [&](auto const& other) {
                return other.engine == engine && other.suspect;
            });
        if (!request.refused && !(request.suspect && taken))
        {
            request.engine = engine;
        }
    }

    auto finish_one() -> void
    {
        auto const count = static_cast<int>(requests_.size());
        auto& request =
            requests_[static_cast<std::size_t>(*rc::gen::inRange(0, count))];
        if (request.engine < 0 || request.poison)
        {
            return;
        }
        request.engine = -1;
        request.completed = true;
        if (auto message =
                daemons_[request.entry].record_completion(request.content, {}))
        {
            cleared_messages_.push_back(*message);
        }
    }

    auto crash() -> void
    {
        auto const& poisonous = requests_.front();
        if (poisonous.engine < 0 || !*rc::gen::arbitrary<bool>())
        {
            return;
        }
        auto const engine = poisonous.engine;
        auto const name = digest{"death" + std::to_string(crashes_++)};
        for (auto& request : requests_)
        {
            if (request.engine != engine)
            {
                continue;
            }
            // Each entry daemon reports its own streams only.
            request.engine = -1;
            auto const message = crash_message{name, {request.content}};
            daemons_[request.entry].record_crash(message, {});
            crash_messages_.push_back(message);
        }
    }

    auto gossip_to_one() -> void
    {
        auto const reached =
            static_cast<std::size_t>(*rc::gen::inRange(0, daemon_count));
        for (auto const& message : crash_messages_)
        {
            daemons_[reached].record_crash(message, {});
        }
        for (auto const& message : cleared_messages_)
        {
            daemons_[reached].cleared(message, {});
        }
    }

    std::vector<poison_request_detector> daemons_;
    std::vector<running_request> requests_;
    std::vector<crash_message> crash_messages_;
    std::vector<cleared_message> cleared_messages_;
    int crashes_ = 0;
};

RC_GTEST_PROP(
    poison_request_detector, poison_request_is_refused_after_two_crashes, ())
{
    auto system = simulated_cluster{*rc::gen::inRange(2, 10)};
    for (auto i = 0; i < rounds; ++i)
    {
        system.round();
    }
    RC_ASSERT(system.crashes() <= 2);
    for (auto const& request : system.requests())
    {
        RC_ASSERT(request.poison || !request.refused);
    }
    RC_ASSERT(system.requests().front().refused);
}

RC_GTEST_PROP(poison_request_detector, verdicts_do_not_depend_on_the_order, ())
{
    auto const messages = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 5)));
    auto const deliver = [](poison_request_detector& daemon,
                            std::pair<int, int> crash_and_content) {
        daemon.record_crash(
            {digest{std::to_string(crash_and_content.first)},
             {digest{std::to_string(crash_and_content.second)}}},
            {});
    };
    auto forward = poison_request_detector::create({}).value();
    auto backward = poison_request_detector::create({}).value();
    for (auto const& crash_and_content : messages)
    {
        deliver(forward, crash_and_content);
    }
    backward.cleared({digest{"0"}, {digest{"0"}}}, {});
    forward.cleared({digest{"0"}, {digest{"0"}}}, {});
    std::for_each(
        messages.rbegin(), messages.rend(), [&](auto const& crash_and_content) {
            deliver(backward, crash_and_content);
        });
    for (auto i = 0; i < 5; ++i)
    {
        auto const content = digest{std::to_string(i)};
        RC_ASSERT(forward.verdict(content) == backward.verdict(content));
    }
}

} // namespace
} // namespace sapphirereel
