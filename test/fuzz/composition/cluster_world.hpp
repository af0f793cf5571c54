/// \file
/// Defines three cores with fakes between them in one process: messages with
/// delays and cuts, a log with outages, engines and a plain service that
/// crash, callers who come back. Time is passed in.
#ifndef SAPPHIREREEL_TEST_CLUSTER_WORLD_HPP
#define SAPPHIREREEL_TEST_CLUSTER_WORLD_HPP

#include "fuzz/composition/event_clock.hpp"
#include "fuzz/composition/fake_platform.hpp"
#include "sapphirereel/composition/daemon_core.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sapphirereel::test {

inline constexpr auto core_count = std::size_t{3};
inline constexpr auto engine_count = std::size_t{3};
inline constexpr auto output_length = std::uint64_t{40};
inline constexpr auto token_time = std::chrono::milliseconds{60};

/// A caller of a generation, and what it has got.
struct world_caller
{
    std::string prompt;
    std::size_t core = 0;
    attachment_id attachment;
    std::vector<std::string> tokens;
    std::optional<resume_point> position;
    bool in_order = true;
    int ends = 0;
    std::optional<refusal> refused;
    std::vector<digest> parts;
};

/// A non-idempotent call under one name, sent to one or more daemons.
struct world_call
{
    digest name;
    int effects = 0;
    int answers = 0;
    int not_run = 0;
    int unknown = 0;
    int sent = 0;
};

class cluster_world
{
public:
    explicit cluster_world(std::uint64_t seed)
        : random_(seed)
    {
        for (auto i = std::size_t{0}; i < engine_count; ++i)
        {
            engines_[i].name = static_cast<char>('a' + i);
        }
        for (auto i = std::size_t{0}; i < core_count; ++i)
        {
            start_core(i);
        }
        repeat(std::chrono::milliseconds{50}, [this] { tick(); });
        repeat(std::chrono::milliseconds{40}, [this] { read_log(); });
        repeat(std::chrono::seconds{1}, [this] { tell_vm_list(); });
        repeat(token_time, [this] { give_tokens(); });
        run(std::chrono::seconds{3});
        propose("setup", initial_changes());
        run(std::chrono::seconds{2});
    }

    auto run(duration time) -> void
    {
        clock_.run_until(clock_.now() + time);
    }

    auto pick(std::size_t below) -> std::size_t
    {
        return random_() % below;
    }

    // What callers and operators do.

    auto ask_generation(std::string prompt, std::vector<digest> parts = {})
        -> std::size_t
    {
        callers_.push_back(
            {std::move(prompt), 0, {}, {}, {}, true, 0, {}, std::move(parts)});
        connect(callers_.size() - 1);
        return callers_.size() - 1;
    }

    auto close(std::size_t which) -> void
    {
        give(callers_[which].core, caller_closed{callers_[which].attachment});
    }

    auto call(std::string const& name) -> void
    {
        auto& of = calls_[digest{name}];
        of.name = digest{name};
        ++of.sent;
        auto arrived = call_arrived{};
        arrived.attachment = next_attachment();
        arrived.facts.service = service_name{"registru"};
        arrived.content.method = "POST";
        arrived.content.path = name;
        arrived.name = of.name;
        arrived.body = digest{"body of " + name};
        arrived.caller_named = true;
        arrived.arrived = civil();
        arrived.deadline = clock_.now() + std::chrono::seconds{30};
        call_of_[arrived.attachment] = of.name;
        give(some_core(), arrived);
    }

    auto propose(
        std::string const& id, std::vector<configuration_change> changes)
        -> void
    {
        auto const at = some_core();
        auto const based_on =
            cores_[at].core->configuration().in_force().offset;
        give(at, edit_proposed{{1}, {edit_id{id}, based_on, "op", changes}});
    }

    // What fails.

    auto kill_core(std::size_t at) -> void
    {
        if (live_cores() < 2 || !cores_[at].core)
        {
            return;
        }
        cores_[at].core.reset();
        cores_[at].waiting.clear();
        cores_[at].frozen = false;
        std::erase_if(streams_, [&](auto const& entry) {
            return entry.first.first == at;
        });
        clock_.after(std::chrono::seconds{4}, [this, at] { start_core(at); });
        for (auto i = std::size_t{0}; i < callers_.size(); ++i)
        {
            if (callers_[i].core == at && callers_[i].ends == 0)
            {
                clock_.after(
                    std::chrono::milliseconds{300}, [this, i] { connect(i); });
            }
        }
    }

    auto freeze_core(std::size_t at, duration time) -> void
    {
        if (!cores_[at].core)
        {
            return;
        }
        cores_[at].frozen = true;
        auto const life = cores_[at].life;
        clock_.after(time, [this, at, life] {
            if (cores_[at].life != life || !cores_[at].core)
            {
                return;
            }
            cores_[at].frozen = false;
            auto waiting = std::exchange(cores_[at].waiting, {});
            for (auto const& what : waiting)
            {
                give(at, what);
            }
        });
    }

    auto cut(std::size_t from, std::size_t to, duration time) -> void
    {
        cuts_.insert({from, to});
        clock_.after(time, [this, from, to] { cuts_.erase({from, to}); });
    }

    auto stop_log(duration time) -> void
    {
        log_.down = true;
        clock_.after(time, [this] { log_.down = false; });
    }

    auto lose_log_answers(int count) -> void
    {
        log_.lost_answers = count;
    }

    auto crash_engine(std::size_t at) -> void
    {
        auto& engine = engines_[at];
        if (!engine.alive)
        {
            return;
        }
        ++engine.crashes;
        engine.alive = false;
        engine.runs.clear();
        end_streams_of(at);
        clock_.after(
            std::chrono::seconds{2}, [this, at] { engines_[at].alive = true; });
    }

    auto lose_call_answers(int count) -> void
    {
        lost_call_answers_ = count;
    }

    auto resume_elsewhere(std::size_t caller) -> void
    {
        if (callers_[caller].ends == 0)
        {
            connect(caller);
        }
    }

    auto set_deadly(std::string const& prompt) -> void
    {
        deadly_ = prompt;
    }

    /// Engines crash before the output of a prompt that contains this text.
    auto set_deadly_text(std::string const& text) -> void
    {
        deadly_text_ = text;
    }

    /// Reports of prompt parts reach a core from a daemon of another zone.
    auto tell_parts(std::size_t core, poison_part_reports const& reports)
        -> void
    {
        give(core, peer_envelope{daemon_id{"elsewhere"}, reports});
    }

    /// Messages on prompt parts that cores have sent to each other.
    [[nodiscard]] auto part_messages() const -> int
    {
        return part_messages_;
    }

    auto leave(std::size_t engine) -> void
    {
        give(some_core(), drain_asked{engine_id(engine)});
        left_at_[engine] = clock_.now();
    }

    // What is to be judged.

    [[nodiscard]] auto callers() const -> std::vector<world_caller> const&
    {
        return callers_;
    }

    [[nodiscard]] auto calls() const -> std::map<digest, world_call> const&
    {
        return calls_;
    }

    [[nodiscard]] auto crashes() const -> int
    {
        auto sum = 0;
        for (auto const& engine : engines_)
        {
            sum += engine.crashes;
        }
        return sum;
    }

    /// Longest time from the notice of an engine's leaving to the last start
    /// of a run on it.
    [[nodiscard]] auto latest_start_after_leaving() const -> duration
    {
        return latest_start_;
    }

    [[nodiscard]] auto reversions() const -> int
    {
        return reversions_;
    }

    [[nodiscard]] auto log() const -> fake_log const&
    {
        return log_;
    }

    /// Configurations in force in the cores that are awake.
    [[nodiscard]] auto offsets() const -> std::vector<log_offset>
    {
        auto all = std::vector<log_offset>{};
        for (auto const& one : cores_)
        {
            if (one.core && !one.frozen)
            {
                all.push_back(one.core->configuration().in_force().offset);
            }
        }
        return all;
    }

    static auto engine_id(std::size_t at) -> endpoint_id
    {
        return endpoint_id{"engine-" + std::to_string(at)};
    }

private:
    struct core_slot
    {
        std::optional<daemon_core> core;
        bool frozen = false;
        std::uint64_t life = 0;
        std::deque<event> waiting;
        log_offset seen;
    };

    struct open_stream
    {
        std::size_t engine = 0;
        run_id run;
        std::uint64_t next = 0;
    };
    using stream_key = std::pair<std::size_t, stream_number>;

    static auto peer_ip(std::size_t at) -> std::string
    {
        return "127.0.0." + std::to_string(11 + at);
    }

    auto civil() const -> wall_time
    {
        auto const since =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                clock_.now().time_since_epoch());
        return wall_time{1'790'000'000'000 + since.count()};
    }

    auto next_attachment() -> attachment_id
    {
        return attachment_id{++last_attachment_};
    }

    auto start_core(std::size_t at) -> void
    {
        auto settings = core_settings{};
        auto& slot = cores_[at];
        ++slot.life;
        auto const name =
            "d" + std::to_string(at) + "-" + std::to_string(slot.life);
        settings.seed = random_();
        settings.generations.seed = random_();
        settings.self.id = daemon_id{name};
        settings.self.caller_address = {peer_ip(at), 8000};
        settings.self.peer_address = {peer_ip(at), 7450};
        settings.self.zone = zone_name{"zone-" + std::to_string(at)};
        settings.self.region = region_name{"region"};
        slot.core.emplace(*daemon_core::create(settings, clock_.now()));
        slot.seen = {};
    }

    auto repeat(duration period, std::function<void()> const& what) -> void
    {
        clock_.after(period, [this, period, what] {
            what();
            repeat(period, what);
        });
    }

    [[nodiscard]] auto live_cores() const -> std::size_t
    {
        auto const lives = [](core_slot const& one) {
            return one.core.has_value();
        };
        return static_cast<std::size_t>(
            std::count_if(cores_.begin(), cores_.end(), lives));
    }

    auto some_core() -> std::size_t
    {
        while (true)
        {
            auto const at = pick(core_count);
            if (cores_[at].core && !cores_[at].frozen)
            {
                return at;
            }
            if (pick(16) == 0)
            {
                return first_core();
            }
        }
    }

    [[nodiscard]] auto first_core() const -> std::size_t
    {
        auto at = std::size_t{0};
        while (!cores_[at].core)
        {
            ++at;
        }
        return at;
    }

    /// Hands an event to a core, or keeps it until the core wakes.
    auto give(std::size_t at, event const& what) -> void
    {
        auto& slot = cores_[at];
        if (!slot.core)
        {
            return;
        }
        if (slot.frozen)
        {
            slot.waiting.push_back(what);
            return;
        }
        for (auto const& one : slot.core->step(what, clock_.now()))
        {
            std::visit([&](auto const& done) { perform(at, done); }, one);
        }
        auto const offset = slot.core->configuration().in_force().offset;
        reversions_ += offset < slot.seen ? 1 : 0;
        slot.seen = offset;
    }

    /// The same, soon, unless the core has ended by then.
    auto give_later(std::size_t at, event what, duration wait) -> void
    {
        auto const life = cores_[at].life;
        clock_.after(wait, [this, at, life, what = std::move(what)] {
            if (cores_[at].life == life)
            {
                give(at, what);
            }
        });
    }

    auto hop() -> duration
    {
        return std::chrono::microseconds{500 + pick(4000)};
    }

    auto tick() -> void
    {
        for (auto i = std::size_t{0}; i < core_count; ++i)
        {
            // A frozen process has no timer.
            if (!cores_[i].frozen)
            {
                give(i, clock_ticked{civil()});
            }
        }
    }

    auto read_log() -> void
    {
        for (auto i = std::size_t{0}; i < core_count && !log_.down; ++i)
        {
            auto& slot = cores_[i];
            if (!slot.core || slot.frozen)
            {
                continue;
            }
            auto const configuration = log_.configuration_from(
                slot.core->configuration().read_from(), civil());
            auto const claims =
                log_.claims_from(slot.core->next_claim(), civil());
            give_later(i, configuration, hop());
            give_later(i, claims, hop());
        }
    }

    auto tell_vm_list() -> void
    {
        auto vms = std::vector<vm_hint>{};
        for (auto i = std::size_t{0}; i < core_count; ++i)
        {
            vms.push_back(
                {"entry-" + std::to_string(i), peer_ip(i),
                 zone_name{"zone-" + std::to_string(i)}, region_name{"region"},
                 vm_state::live});
        }
        for (auto i = std::size_t{0}; i < core_count; ++i)
        {
            if (!cores_[i].frozen)
            {
                give(i, vm_list_arrived{vms});
            }
        }
    }

    auto connect(std::size_t which) -> void
    {
        auto& caller = callers_[which];
        caller.core = some_core();
        caller.attachment = next_attachment();
        caller_of_[caller.attachment] = which;
        auto request = generation_request{};
        request.attachment = caller.attachment;
        request.facts.model = model_name{"m"};
        request.content = digest{caller.prompt};
        request.body = caller.prompt;
        request.prompt_parts = caller.parts;
        request.prompt_tokens = 20;
        request.deadline = clock_.now() + std::chrono::seconds{60};
        request.resume = caller.position;
        if (request.resume)
        {
            request.resume->attachment_number = caller.attachment.value + 1;
        }
        give(caller.core, generation_arrived{request});
    }

    template <class Other>
    auto perform(std::size_t, Other const&) -> void
    {}

    auto perform(std::size_t at, send_peer const& send) -> void
    {
        part_messages_ +=
            std::holds_alternative<poison_part_reports>(send.message) ? 1 : 0;
        for (auto to = std::size_t{0}; to < core_count; ++to)
        {
            auto const reached =
                send.to.ip == peer_ip(to) && !cuts_.contains({at, to});
            if (reached && cores_[at].core)
            {
                auto const from = cores_[at].core->self().id;
                give_later(to, peer_envelope{from, send.message}, hop());
            }
        }
    }

    auto perform(std::size_t at, append_record const& record) -> void
    {
        give_later(at, log_.append(record, civil()), hop());
    }

    auto perform(std::size_t at, open_run const& open) -> void
    {
        auto const engine = engine_at(open.start.place.endpoint);
        auto const left = left_at_.find(engine);
        if (left != left_at_.end())
        {
            latest_start_ =
                std::max<duration>(latest_start_, clock_.now() - left->second);
        }
        if (!engines_[engine].alive)
        {
            end(at, open.start.stream, run_end::refused_not_run);
            return;
        }
        auto run = fake_engine::run{};
        if (open.start.resume)
        {
            run.text = open.start.resume->text;
            run.start = open.start.resume->tokens;
        }
        engines_[engine].runs[open.start.run] = run;
        streams_[{at, open.start.stream}] = {engine, open.start.run, run.start};
        if (!deadly_text_.empty() &&
            open.body.find(deadly_text_) != std::string::npos)
        {
            crash_engine(engine);
            return;
        }
        if (!deadly_.empty() && open.body == deadly_)
        {
            clock_.after(std::chrono::milliseconds{150}, [this, engine] {
                crash_engine(engine);
            });
        }
    }

    auto perform(std::size_t at, attach_run const& attach) -> void
    {
        auto const engine = engine_at(attach.place.endpoint);
        if (!engines_[engine].alive)
        {
            end(at, attach.stream, run_end::refused_not_run);
            return;
        }
        auto const found = engines_[engine].runs.find(attach.run);
        if (found == engines_[engine].runs.end())
        {
            end(at, attach.stream, run_end::unknown_run);
            return;
        }
        if (attach.attachment_number < found->second.attachment)
        {
            end(at, attach.stream, run_end::superseded);
            return;
        }
        found->second.attachment = attach.attachment_number;
        supersede(attach.run);
        auto const from = std::max(attach.from, found->second.start);
        streams_[{at, attach.stream}] = {engine, attach.run, from};
    }

    auto perform(std::size_t at, stop_stream const& stop) -> void
    {
        streams_.erase({at, stop.stream});
    }

    auto perform(std::size_t, cancel_run const& cancel) -> void
    {
        engines_[engine_at(cancel.place.endpoint)].runs.erase(cancel.run);
    }

    auto perform(std::size_t at, send_call const& send) -> void
    {
        auto const ran = clock_.now() < send.not_after;
        auto ended = call_ended{send.number, call_progress::not_sent, {}};
        if (ran)
        {
            ++calls_[name_of(send)].effects;
            ended.progress = lost_call_answers_-- > 0 ? call_progress::unknown
                                                      : call_progress::answered;
            ended.answer = {200, {}, "done"};
        }
        give_later(at, ended, std::chrono::milliseconds{30});
    }

    /// The test uses the call's path as its name.
    static auto name_of(send_call const& send) -> digest
    {
        return digest{send.content.path};
    }

    auto perform(std::size_t at, deliver_chunk const& chunk) -> void
    {
        auto* const caller = caller_at(at, chunk.attachment);
        if (caller == nullptr || !chunk.chunk.is_token)
        {
            return;
        }
        caller->in_order =
            caller->in_order && chunk.chunk.index == caller->tokens.size();
        caller->tokens.push_back(chunk.chunk.text);
        caller->position = resume_point{
            chunk.run, chunk.place, chunk.chunk.index + 1,
            chunk.attachment_number, std::nullopt};
    }

    auto perform(std::size_t at, finish_generation const& done) -> void
    {
        if (auto* const caller = caller_at(at, done.attachment))
        {
            ++caller->ends;
        }
    }

    auto perform(std::size_t at, refuse_caller const& refused) -> void
    {
        if (auto* const caller = caller_at(at, refused.attachment))
        {
            ++caller->ends;
            caller->refused = refused.reason;
        }
        auto const call = call_of_.find(refused.attachment);
        if (call == call_of_.end())
        {
            return;
        }
        auto& of = calls_[call->second];
        of.not_run += refused.reason.outcome == disposition::not_run ? 1 : 0;
        of.unknown += refused.reason.outcome != disposition::not_run ? 1 : 0;
    }

    auto perform(std::size_t, answer_caller const& answered) -> void
    {
        auto const call = call_of_.find(answered.attachment);
        if (call != call_of_.end())
        {
            ++calls_[call->second].answers;
        }
    }

    /// The caller, if this is the connection that it reads now.
    auto caller_at(std::size_t at, attachment_id attachment) -> world_caller*
    {
        auto const found = caller_of_.find(attachment);
        if (found == caller_of_.end())
        {
            return nullptr;
        }
        auto& caller = callers_[found->second];
        auto const current =
            caller.core == at && caller.attachment == attachment;
        return current ? &caller : nullptr;
    }

    static auto engine_at(endpoint_id const& id) -> std::size_t
    {
        return static_cast<std::size_t>(id.str().back() - '0');
    }

    auto end(std::size_t at, stream_number stream, run_end how) -> void
    {
        streams_.erase({at, stream});
        give_later(at, stream_ended{stream, {how, 0, {}}}, hop());
    }

    auto supersede(run_id const& run) -> void
    {
        auto const streams = streams_;
        for (auto const& [key, stream] : streams)
        {
            if (stream.run == run)
            {
                end(key.first, key.second, run_end::superseded);
            }
        }
    }

    auto end_streams_of(std::size_t engine) -> void
    {
        auto const streams = streams_;
        for (auto const& [key, stream] : streams)
        {
            if (stream.engine == engine)
            {
                end(key.first, key.second, run_end::lost);
            }
        }
    }

    auto give_tokens() -> void
    {
        auto const streams = streams_;
        for (auto const& [key, stream] : streams)
        {
            auto const found = streams_.find(key);
            if (found == streams_.end())
            {
                continue;
            }
            if (stream.next >= output_length)
            {
                end(key.first, key.second, run_end::finished);
                continue;
            }
            auto const index = found->second.next++;
            auto const chunk =
                engines_[stream.engine].token_at(stream.run, index);
            give(key.first, chunk_arrived{key.second, chunk});
        }
    }

    static auto initial_changes() -> std::vector<configuration_change>
    {
        auto engines = service{};
        engines.name = service_name{"lm"};
        engines.kind = service_kind::engine;
        engines.models = {model_name{"m"}};
        engines.resumes_prefix = true;
        auto plain = service{};
        plain.name = service_name{"registru"};
        plain.non_idempotent_methods = {"POST"};
        auto of_engines = group{group_name{"ge"}, engines.name, {}, {}};
        for (auto i = std::size_t{0}; i < engine_count; ++i)
        {
            auto const ip = "127.0.1." + std::to_string(i + 1);
            auto const zone = zone_name{"zone-" + std::to_string(i)};
            of_engines.endpoints.push_back(
                {engine_id(i), {ip, 9000}, zone, {}});
        }
        auto of_plain = group{group_name{"gp"}, plain.name, {}, {}};
        of_plain.endpoints.push_back(
            {endpoint_id{"plain-0"},
             {"127.0.2.1", 9000},
             zone_name{"zone-0"},
             {}});
        return {
            put_service{engines}, put_service{plain}, put_group{of_engines},
            put_group{of_plain}};
    }

    std::mt19937_64 random_;
    event_clock clock_;
    fake_log log_;
    std::vector<core_slot> cores_ = std::vector<core_slot>(core_count);
    std::vector<fake_engine> engines_ = std::vector<fake_engine>(engine_count);
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::map<stream_key, open_stream> streams_;
    std::vector<world_caller> callers_;
    std::map<attachment_id, std::size_t> caller_of_;
    std::map<digest, world_call> calls_;
    std::map<attachment_id, digest> call_of_;
    std::map<std::size_t, time_point> left_at_;
    duration latest_start_{0};
    std::uint64_t last_attachment_ = 0;
    int lost_call_answers_ = 0;
    int reversions_ = 0;
    int part_messages_ = 0;
    std::string deadly_;
    std::string deadly_text_;
};

} // namespace sapphirereel::test

#endif
