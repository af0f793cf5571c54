/// \file
/// Defines membership_network: a simulated network of daemons that exchange
/// membership messages, with one-way link failures, process pauses and crashes.
#ifndef SAPPHIREREEL_TEST_CORRECTNESS_CORE_MEMBERSHIP_NETWORK_HPP
#define SAPPHIREREEL_TEST_CORRECTNESS_CORE_MEMBERSHIP_NETWORK_HPP

#include "sapphirereel/codec/membership_codec.hpp"
#include "sapphirereel/core/membership.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sapphirereel::test {

class membership_network
{
public:
    explicit membership_network(std::size_t daemons)
    {
        for (std::size_t i = 0; i < daemons; ++i)
        {
            vms_.push_back({"entry", ip(i), zone_name{"z"}, region_name{"r"}});
            start(i);
        }
    }

    /// Starts a new process on the VM, which replaces any earlier one.
    auto start(std::size_t vm) -> void
    {
        member self;
        self.id = daemon_id{"d" + std::to_string(++last_id_)};
        self.peer_address = {ip(vm), membership_settings{}.peer_port};
        self.caller_address = {ip(vm), 80};
        nodes_.insert_or_assign(
            ip(vm), membership::create({}, self, ++last_id_, now_).value());
        handle_outputs(ip(vm), nodes_.at(ip(vm)).on(vms_, now_));
    }

    auto kill(std::size_t vm) -> void
    {
        nodes_.erase(ip(vm));
    }

    auto cut(std::size_t from, std::size_t to) -> void
    {
        cuts_.insert({ip(from), ip(to)});
    }

    auto heal() -> void
    {
        cuts_.clear();
    }

    auto pause(std::size_t vm) -> void
    {
        paused_.insert(ip(vm));
    }

    auto resume(std::size_t vm) -> void
    {
        paused_.erase(ip(vm));
    }

    auto at(std::size_t vm) -> membership&
    {
        return nodes_.at(ip(vm));
    }

    auto run(std::chrono::seconds time) -> void
    {
        constexpr auto step = std::chrono::milliseconds{100};
        for (auto const end = now_ + time; now_ < end; now_ += step)
        {
            tick_all();
            deliver();
        }
    }

    /// Runs for up to a minute until all views agree; returns whether they do.
    auto run_until_views_agree() -> bool
    {
        constexpr int limit = 60;
        for (int i = 0; i < limit && !views_agree(); ++i)
        {
            run(std::chrono::seconds{1});
        }
        return views_agree();
    }

    /// Makes all daemons known to each other at once, without join messages.
    auto join_all() -> void
    {
        join_answer all;
        for (auto const& [address, node] : nodes_)
        {
            all.members.push_back(node.self());
        }
        for (auto& [address, node] : nodes_)
        {
            for (auto const& from : {all.members.front(), all.members.back()})
            {
                handle_outputs(address, node.on({from, all, {}, 0}, now_));
            }
        }
        in_flight_.clear();
    }

    auto leave(std::size_t vm) -> void
    {
        handle_outputs(ip(vm), at(vm).leave(now_));
        deliver();
    }

    /// State of the daemon `subject` as reported by the daemon on VM `viewer`;
    /// dead if unknown.
    auto reported_state(std::size_t viewer, daemon_id const& subject)
        -> member_state
    {
        auto const found = at(viewer).find(subject);
        return found ? found->state : member_state::dead;
    }

    /// Whether the live members of every running daemon are exactly the running
    /// daemons.
    auto views_agree() -> bool
    {
        std::set<daemon_id> running;
        for (auto const& [address, node] : nodes_)
        {
            running.insert(node.self().id);
        }
        for (auto const& [address, node] : nodes_)
        {
            auto const live = node.live();
            if (std::set(live.begin(), live.end()) != running)
            {
                return false;
            }
        }
        return true;
    }

    /// Bytes of all messages sent so far, in MessagePack.
    std::size_t sent_bytes = 0;
    /// Number of times that a daemon declared another dead.
    std::size_t dead_declarations = 0;

private:
    struct message_in_flight
    {
        std::string from;
        std::string to;
        membership_message message;
    };

    static auto ip(std::size_t vm) -> std::string
    {
        constexpr std::size_t block = 250;
        return "127.0." + std::to_string(vm / block) + "." +
               std::to_string(1 + vm % block);
    }

    auto tick_all() -> void
    {
        for (auto& [address, node] : nodes_)
        {
            if (!paused_.contains(address))
            {
                handle_outputs(address, node.tick(now_));
            }
        }
    }

    auto handle_outputs(
        std::string const& from, membership_outputs const& outputs) -> void
    {
        for (auto const& output : outputs)
        {
            if (auto const* sent =
                    std::get_if<send_membership_message>(&output))
            {
                in_flight_.push_back({from, sent->to.ip, sent->message});
            }
            else
            {
                auto const& changed = std::get<member_changed>(output).now;
                dead_declarations +=
                    changed.state == member_state::dead ? 1 : 0;
            }
        }
    }

    // Messages to a paused process are kept until it resumes.
    auto deliver() -> void
    {
        std::vector<message_in_flight> waiting;
        while (!in_flight_.empty())
        {
            auto const batch = std::exchange(in_flight_, {});
            for (auto const& one : batch)
            {
                count(one.message);
                if (paused_.contains(one.to))
                {
                    waiting.push_back(one);
                }
                else if (
                    nodes_.contains(one.to) &&
                    !cuts_.contains({one.from, one.to}))
                {
                    handle_outputs(
                        one.to, nodes_.at(one.to).on(one.message, now_));
                }
            }
        }
        in_flight_ = std::move(waiting);
    }

    auto count(membership_message const& message) -> void
    {
        if (count_bytes)
        {
            sent_bytes +=
                nlohmann::json::to_msgpack(nlohmann::json(message)).size();
        }
    }

public:
    /// Whether messages are encoded to count their bytes.
    bool count_bytes = false;

private:
    time_point now_{};
    std::uint64_t last_id_ = 0;
    std::map<std::string, membership> nodes_;
    std::vector<vm_hint> vms_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::set<std::string> paused_;
    std::vector<message_in_flight> in_flight_;
};

} // namespace sapphirereel::test

#endif
