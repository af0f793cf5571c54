/// \file
/// Defines a cluster of daemon and stand-in processes on loopback addresses
/// that no other test uses.
#ifndef SAPPHIREREEL_SUPPORT_DAEMON_CLUSTER_HPP
#define SAPPHIREREEL_SUPPORT_DAEMON_CLUSTER_HPP

#include "sapphirereel/core/configuration.hpp"
#include "support/daemon/child_process.hpp"

#include <chrono>
#include <fstream>
#include <httplib.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

namespace sapphirereel::testing {

/// Waits until a condition holds. CTest's own limit ends a wait that never
/// does.
template <class Condition>
auto await(Condition condition) -> void
{
    while (!condition())
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
}

/// How many engines a cluster has, more of their flags, and more lines of the
/// daemons' section `[callers]`.
struct cluster_settings
{
    int engines = 2;
    std::vector<std::string> engine_flags = {};
    std::string caller_settings = {};
};

/// Three daemons, engines, one plain service and the platform.
class cluster
{
public:
    static constexpr auto daemons = 3;

    explicit cluster(cluster_settings settings = {})
        : settings_(std::move(settings))
    {
        start_stand_ins();
        for (auto i = 0; i < daemons; ++i)
        {
            start_daemon(i);
        }
        publish();
    }

    ~cluster()
    {
        processes_.clear();
        std::filesystem::remove_all(folder_);
    }

    cluster(cluster const&) = delete;
    auto operator=(cluster const&) -> cluster& = delete;

    [[nodiscard]] auto daemon(int i) const -> socket_address
    {
        return {ip(11 + i), 7100};
    }

    [[nodiscard]] auto engine(int i) const -> socket_address
    {
        return {ip(21 + i), 8000};
    }

    [[nodiscard]] auto plain() const -> socket_address
    {
        return {ip(31), 8000};
    }

    [[nodiscard]] auto log() const -> socket_address
    {
        return {ip(2), 9100};
    }

    auto daemon_process(int i) -> child_process&
    {
        return *processes_.at("daemon-" + std::to_string(i));
    }

    auto engine_process(int i) -> child_process&
    {
        return *processes_.at("engine-" + std::to_string(i));
    }

    /// Asks an address; null if there is no answer.
    static auto ask(
        socket_address const& address,
        std::string const& method,
        std::string const& path,
        nlohmann::json const& body = nullptr) -> nlohmann::json
    {
        auto client = httplib::Client{address.ip, address.port};
        client.set_read_timeout(std::chrono::seconds{30});
        auto request = httplib::Request{};
        request.method = method;
        request.path = path;
        request.body = body.is_null() ? std::string{} : body.dump();
        auto const answer = client.send(request);
        return answer ? nlohmann::json::parse(answer->body, nullptr, false)
                      : nlohmann::json{};
    }

    /// Sets faults at a stand-in.
    static auto fault(socket_address const& address, nlohmann::json const& what)
        -> void
    {
        ask(address, "POST", "/faults", what);
    }

    /// How often a named call took effect at the plain service.
    [[nodiscard]] auto effects(std::string const& name) const -> std::uint64_t
    {
        auto count = std::uint64_t{0};
        for (auto const& one : ask(plain(), "GET", "/standin/effects"))
        {
            auto const same = one.at("name") == name;
            count += same ? one.at("count").get<std::uint64_t>() : 0;
        }
        return count;
    }

    /// The engine on which a run is running, or -1.
    [[nodiscard]] auto busy_engine() const -> int
    {
        for (auto i = 0; i < settings_.engines; ++i)
        {
            for (auto const& run : ask(engine(i), "GET", "/standin/runs"))
            {
                if (run.at("state") == "running")
                {
                    return i;
                }
            }
        }
        return -1;
    }

private:
    [[nodiscard]] auto ip(int host) const -> std::string
    {
        auto const pid = static_cast<unsigned>(::getpid());
        return "127." + std::to_string(1 + pid / 256 % 254) + "." +
               std::to_string(pid % 256) + "." + std::to_string(host);
    }

    static auto text_of(socket_address const& address) -> std::string
    {
        return address.ip + ":" + std::to_string(address.port);
    }

    auto start(
        std::string const& name,
        std::string const& program,
        std::vector<std::string> words,
        socket_address const& address) -> void
    {
        processes_[name] =
            std::make_unique<child_process>(program, std::move(words));
        await([&] {
            auto client = httplib::Client{address.ip, address.port};
            return static_cast<bool>(client.Get("/operator/status"));
        });
    }

    auto start_stand_in(
        std::string const& name,
        std::string const& program,
        socket_address const& address) -> void
    {
        start(name, program, {"--listen=" + text_of(address)}, address);
    }

    auto start_stand_ins() -> void
    {
        start_stand_in("log", "standin_log", log());
        start_stand_in("vms", "standin_vm_list", vm_list());
        start_stand_in("weights", "standin_weight_store", weights());
        start_stand_in("plain", "standin_plain", plain());
        for (auto i = 0; i < settings_.engines; ++i)
        {
            start_engine(i);
        }
        auto vms = nlohmann::json::array();
        for (auto i = 0; i < daemons; ++i)
        {
            vms.push_back(
                {{"name", "entry-" + std::to_string(i)},
                 {"ip", daemon(i).ip},
                 {"zone", "brasov-a"},
                 {"region", "ro-centru"},
                 {"state", "live"}});
        }
        ask(vm_list(), "PUT", "/v1/vms", {{"vms", vms}});
    }

    [[nodiscard]] auto vm_list() const -> socket_address
    {
        return {ip(2), 9200};
    }

    [[nodiscard]] auto weights() const -> socket_address
    {
        return {ip(2), 9300};
    }

public:
    /// Starts an engine, or starts it again.
    auto start_engine(int i) -> void
    {
        auto words = settings_.engine_flags;
        words.push_back("--listen=" + text_of(engine(i)));
        start(
            "engine-" + std::to_string(i), "standin_engine", std::move(words),
            engine(i));
    }

    /// Starts a daemon, or starts it again.
    auto start_daemon(int i) -> void
    {
        auto const name = "entry-" + std::to_string(i);
        auto const path = folder_ / (name + ".ini");
        auto file = std::ofstream{path};
        file << "[daemon]\nname = " << name
             << "\nzone = brasov-a\nregion = ro-centru\ncaller_address = "
             << text_of(daemon(i)) << "\npeer_address = " << daemon(i).ip
             << ":7101\nsecret = " << std::string(64, 'a')
             << "\n[platform]\nlog_address = " << text_of(log())
             << "\nvm_list_address = " << text_of(vm_list())
             << "\nweight_store_address = " << text_of(weights())
             << "\nvm_list_interval = 200ms\n"
             << "[callers]\naddress_validity = 1s\n"
             << settings_.caller_settings << "[log]\nlevel = error\n";
        file.close();
        start(
            "daemon-" + std::to_string(i), "sapphirereeld",
            {"--settings=" + path.string()}, daemon(i));
    }

    /// Waits until a daemon has an offset of the configuration in force.
    auto await_in_force(int i, std::uint64_t offset) const -> void
    {
        await([&] {
            auto const seen = ask(daemon(i), "GET", "/operator/configuration");
            return seen.is_object() &&
                   seen.value("offset", std::uint64_t{0}) >= offset;
        });
    }

    /// The engines that a signal or a crash did not end.
    [[nodiscard]] auto live_engines() const -> int
    {
        auto count = 0;
        for (auto i = 0; i < settings_.engines; ++i)
        {
            count += ask(engine(i), "GET", "/v1/load").is_object() ? 1 : 0;
        }
        return count;
    }

private:
    auto publish() -> void
    {
        auto members = nlohmann::json::array();
        for (auto i = 0; i < settings_.engines; ++i)
        {
            members.push_back(
                {{"id", "lm-" + std::to_string(i)},
                 {"address", text_of(engine(i))},
                 {"zone", "brasov-a"}});
        }
        auto const changes = nlohmann::json::array(
            {{{"change", "put_service"},
              {"service",
               {{"name", "lm-trasee"},
                {"kind", "engine"},
                {"models", {"m"}},
                {"checks_fencing", true},
                {"resumes_prefix", true}}}},
             {{"change", "put_service"},
              {"service",
               {{"name", "registru"},
                {"kind", "plain"},
                {"checks_fencing", false},
                {"resumes_prefix", false},
                {"non_idempotent_methods", {"POST"}}}}},
             {{"change", "put_group"},
              {"group",
               {{"name", "engines"},
                {"service", "lm-trasee"},
                {"endpoints", members}}}},
             {{"change", "put_group"},
              {"group",
               {{"name", "registers"},
                {"service", "registru"},
                {"endpoints",
                 {{{"id", "registru-1"},
                   {"address", text_of(plain())},
                   {"zone", "brasov-a"}}}}}}}});
        auto const verdict =
            ask(daemon(0), "POST", "/operator/edits",
                {{"id", "first"},
                 {"based_on", 0},
                 {"author", "test"},
                 {"changes", changes}});
        for (auto i = 0; i < daemons; ++i)
        {
            await_in_force(i, verdict.value("offset", std::uint64_t{1}));
        }
    }

    cluster_settings settings_;
    std::filesystem::path folder_ = make_folder();
    std::map<std::string, std::unique_ptr<child_process>> processes_;

    static auto make_folder() -> std::filesystem::path
    {
        auto path = std::filesystem::temp_directory_path() /
                    ("sapphirereel-" + std::to_string(::getpid()));
        std::filesystem::create_directories(path);
        return path;
    }
};

} // namespace sapphirereel::testing

#endif
