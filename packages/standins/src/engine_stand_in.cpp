#include "sapphirereel/standins/engine_stand_in.hpp"

#include "sapphirereel/codec/sse.hpp"
#include "sapphirereel/standins/present_time.hpp"

#include <charconv>
#include <cstdlib>

namespace sapphirereel::standins {
namespace {

constexpr auto crash_exit_code = 70;
/// How often a waiting stream looks whether its reader is still there.
constexpr auto reader_check = std::chrono::milliseconds{100};

auto number_parameter(
    httplib::Request const& request,
    std::string const& name,
    std::uint64_t otherwise) -> std::uint64_t
{
    auto const text = request.get_param_value(name);
    auto value = otherwise;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

auto name_of_state(run_state state) -> char const*
{
    switch (state)
    {
    case run_state::waiting:
        return "waiting";
    case run_state::running:
        return "running";
    case run_state::paused:
        return "paused";
    case run_state::finished:
        return "finished";
    case run_state::cancelled:
        return "cancelled";
    }
    return "";
}

auto end_event(char const* type) -> std::string
{
    auto event = codec::sse_event{};
    event.event = type;
    event.data = "{}";
    return codec::write_sse(event);
}

auto heartbeat_event() -> std::string
{
    auto event = codec::sse_event{};
    event.comment = "heartbeat";
    return codec::write_sse(event);
}

} // namespace

struct engine_stand_in::open_stream
{
    attachment_ticket ticket;
    /// Index of the next token to write.
    std::uint64_t next = 0;
    std::uint64_t serial = 0;
    time_point written = {};
    bool ended = false;
};

auto engine_stand_in::start(engine_settings const& settings)
    -> result<std::unique_ptr<engine_stand_in>>
{
    auto stand_in =
        std::unique_ptr<engine_stand_in>{new engine_stand_in{settings}};
    auto server = http_server::start(
        settings.server, [&stand_in](httplib::Server& routes) {
            stand_in->define_routes(routes);
        });
    if (!server)
    {
        return tl::unexpected{server.error()};
    }
    stand_in->server_ = std::move(*server);
    stand_in->steps_ = std::thread{[raw = stand_in.get()] {
        raw->run_steps();
    }};
    return stand_in;
}

engine_stand_in::engine_stand_in(engine_settings const& settings)
    : settings_(settings)
    , batch_(settings.batch)
    , cache_(settings.cache)
    , orders_(settings.orders)
    , load_(settings.load_lag, present_time(), batch_.load())
{
    if (!settings_.on_crash)
    {
        settings_.on_crash = [] {
            std::_Exit(crash_exit_code);
        };
    }
}

engine_stand_in::~engine_stand_in()
{
    {
        auto const lock = std::lock_guard{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
    server_.reset();
    if (steps_.joinable())
    {
        steps_.join();
    }
}

auto engine_stand_in::address() const -> socket_address
{
    return server_->address();
}

auto engine_stand_in::set_faults(engine_faults const& faults) -> void
{
    {
        auto const lock = std::lock_guard{mutex_};
        faults_ = faults;
    }
    changed_.notify_all();
}

auto engine_stand_in::freeze(duration time) -> void
{
    auto const lock = std::lock_guard{mutex_};
    frozen_until_ = present_time() + time;
}

auto engine_stand_in::silence_open_streams() -> void
{
    auto const lock = std::lock_guard{mutex_};
    silenced_streams_ = streams_opened_;
}

auto engine_stand_in::state_of(run_id const& run) -> std::optional<run_state>
{
    auto const lock = std::lock_guard{mutex_};
    auto const* const found = batch_.find(run);
    return found ? std::optional{found->state} : std::nullopt;
}

auto engine_stand_in::load() -> batch_load
{
    auto const lock = std::lock_guard{mutex_};
    return batch_.load();
}

auto engine_stand_in::define_routes(httplib::Server& server) -> void
{
    server.set_pre_routing_handler([this](auto const& request, auto&) {
        if (request.path != "/faults" && !wait_while_silent())
        {
            drop_connection(request);
            return httplib::Server::HandlerResponse::Handled;
        }
        return httplib::Server::HandlerResponse::Unhandled;
    });
    define_run_routes(server);
    define_inspection_routes(server);
}

auto engine_stand_in::define_run_routes(httplib::Server& server) -> void
{
    server.Post("/v1/completions", [this](auto const& request, auto& response) {
        complete(request, response, false);
    });
    server.Post(
        "/v1/chat/completions", [this](auto const& request, auto& response) {
            complete(request, response, true);
        });
    server.Get(
        "/v1/runs/([^/]+)/stream", [this](auto const& request, auto& response) {
            attach(request, response);
        });
    server.Delete(
        "/v1/runs/([^/]+)", [this](auto const& request, auto& response) {
            cancel(request, response);
        });
    server.Post("/v1/orders", [this](auto const& request, auto& response) {
        order(request, response);
    });
}

auto engine_stand_in::define_inspection_routes(httplib::Server& server) -> void
{
    server.Get("/v1/load", [this](auto const&, auto& response) {
        reply(response, 200, report_load());
    });
    server.Get("/v1/cache-events", [this](auto const& request, auto& response) {
        auto const from = number_parameter(request, "from", 1);
        reply(response, 200, report_cache_events(from));
    });
    server.Post("/faults", [this](auto const& request, auto& response) {
        change_faults(nlohmann::json::parse(request.body));
        reply(response, 200, nlohmann::json::object());
    });
    server.Get("/standin/runs", [this](auto const&, auto& response) {
        reply(response, 200, list_runs());
    });
    server.Get("/standin/orders", [this](auto const&, auto& response) {
        auto const lock = std::lock_guard{mutex_};
        reply(response, 200, orders_.state());
    });
}

auto engine_stand_in::complete(
    httplib::Request const& request, httplib::Response& response, bool chat)
    -> void
{
    auto const body = nlohmann::json::parse(request.body);
    auto wanted = read_completion_request(body, chat, settings_.max_length);
    auto lock = std::unique_lock{mutex_};
    if (faults_.refuse || !orders_.serves(wanted.submission.model))
    {
        reply(response, 503, {{"error", "not served now"}});
        return;
    }
    auto& run = wanted.submission.run;
    if (run.empty())
    {
        run = run_id{"unnamed-" + std::to_string(++unnamed_runs_)};
    }
    auto const first = wanted.submission.resume_tokens;
    if (!batch_.submit(wanted.submission))
    {
        reply(response, 409, {{"error", "run exists"}});
        return;
    }
    auto const ticket = *attachments_.attach(run, wanted.attachment);
    lock.unlock();
    if (wanted.stream)
    {
        open(response, open_stream{ticket, first});
        return;
    }
    answer_whole(response, ticket);
}

auto engine_stand_in::attach(
    httplib::Request const& request, httplib::Response& response) -> void
{
    auto const run = run_id{request.matches[1].str()};
    auto const from = number_parameter(request, "from", 0);
    auto const number = number_parameter(request, "attachment", 1);
    auto lock = std::unique_lock{mutex_};
    auto const* const found = batch_.find(run);
    if (!found || from < found->submission.resume_tokens ||
        from > found->chain.index())
    {
        reply(response, 404, {{"error", "unknown run or token"}});
        return;
    }
    auto const ticket =
        attachments_.attach(run, number).value_or(attachment_ticket{run, 0});
    lock.unlock();
    open(response, open_stream{ticket, from});
}

auto engine_stand_in::cancel(
    httplib::Request const& request, httplib::Response& response) -> void
{
    auto const run = run_id{request.matches[1].str()};
    auto const lock = std::lock_guard{mutex_};
    if (!batch_.cancel(run, present_time()))
    {
        reply(response, 404, {{"error", "unknown run"}});
        return;
    }
    response.status = 204;
    changed_.notify_all();
}

auto engine_stand_in::order(
    httplib::Request const& request, httplib::Response& response) -> void
{
    auto const order = nlohmann::json::parse(request.body);
    auto const lock = std::lock_guard{mutex_};
    auto const answer = orders_.take(order);
    reply(response, answer.status, answer.body);
}

auto engine_stand_in::change_faults(nlohmann::json const& change) -> void
{
    auto const freeze_ms = change.value("freeze_ms", std::int64_t{0});
    if (freeze_ms > 0)
    {
        freeze(std::chrono::milliseconds{freeze_ms});
    }
    if (change.value("silence_open", false))
    {
        silence_open_streams();
    }
    {
        auto const lock = std::lock_guard{mutex_};
        faults_.silent = change.value("silent", faults_.silent);
        faults_.refuse = change.value("refuse", faults_.refuse);
    }
    changed_.notify_all();
}

auto engine_stand_in::report_load() -> nlohmann::json
{
    auto const lock = std::lock_guard{mutex_};
    auto const now = present_time();
    auto const& seen = load_.observe(now);
    auto const age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - seen.made);
    return {
        {"memory_tokens_used", seen.value.memory_tokens_used},
        {"memory_tokens_total", seen.value.memory_tokens_total},
        {"running", seen.value.running},
        {"waiting", seen.value.waiting},
        {"preemptions", seen.value.preemptions},
        {"models", orders_.models()},
        {"age_ms", age.count()}};
}

auto engine_stand_in::report_cache_events(std::uint64_t from) -> nlohmann::json
{
    auto const lock = std::lock_guard{mutex_};
    auto const page = cache_.events(from, present_time());
    auto events = nlohmann::json::array();
    for (auto const& event : page.events)
    {
        events.push_back(
            {{"number", event.number},
             {"kind", event.stored ? "stored" : "evicted"},
             {"prefix", event.prefix.str()}});
    }
    return {{"next", page.next}, {"events", std::move(events)}};
}

auto engine_stand_in::list_runs() -> nlohmann::json
{
    auto const lock = std::lock_guard{mutex_};
    auto runs = nlohmann::json::array();
    for (auto const& [name, run] : batch_.runs())
    {
        runs.push_back(
            {{"run", name.str()},
             {"prompt", prefix_digest(run.submission.prompt).str()},
             {"started", run.submission.resume_tokens},
             {"tokens", run.tokens.size()},
             {"state", name_of_state(run.state)}});
    }
    return runs;
}

auto engine_stand_in::open(httplib::Response& response, open_stream stream)
    -> void
{
    {
        auto const lock = std::lock_guard{mutex_};
        stream.serial = ++streams_opened_;
        stream.written = present_time();
    }
    auto const shared = std::make_shared<open_stream>(std::move(stream));
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, shared](std::size_t, httplib::DataSink& sink) {
            return write_next(*shared, sink);
        },
        [this, shared](bool) {
            auto const lock = std::lock_guard{mutex_};
            attachments_.detach(shared->ticket, present_time());
        });
}

auto engine_stand_in::answer_whole(
    httplib::Response& response, attachment_ticket const& ticket) -> void
{
    auto lock = std::unique_lock{mutex_};
    auto const ended = [&] {
        auto const* const run = batch_.find(ticket.run);
        return stopping_ || !run || run->has_ended();
    };
    changed_.wait(lock, ended);
    attachments_.detach(ticket, present_time());
    auto const* const run = batch_.find(ticket.run);
    if (!run || run->state != run_state::finished)
    {
        reply(response, 500, {{"error", "cancelled"}});
        return;
    }
    reply(response, 200, whole_answer(*run));
}

auto engine_stand_in::write_next(open_stream& stream, httplib::DataSink& sink)
    -> bool
{
    auto text = std::string{};
    {
        auto lock = std::unique_lock{mutex_};
        changed_.wait_for(
            lock, reader_check, [&] { return stopping_ || has_news(stream); });
        if (stopping_)
        {
            return false;
        }
        if (stream.serial <= silenced_streams_)
        {
            // A silent connection doesn't notice its reader's end either.
            return attachments_.stands(stream.ticket);
        }
        text = text_ready(stream);
    }
    if (text.empty())
    {
        return sink.is_writable();
    }
    if (!sink.write(text.data(), text.size()))
    {
        return false;
    }
    if (stream.ended)
    {
        sink.done();
    }
    return true;
}

auto engine_stand_in::text_ready(open_stream& stream) -> std::string
{
    auto const now = present_time();
    if (stalls(now))
    {
        return {};
    }
    auto const* const run = batch_.find(stream.ticket.run);
    stream.ended = true;
    if (!attachments_.stands(stream.ticket))
    {
        return end_event("superseded");
    }
    if (!run || run->state == run_state::cancelled)
    {
        return end_event("cancelled");
    }
    auto text = std::string{};
    while (stream.next < run->chain.index())
    {
        auto const position = stream.next - run->submission.resume_tokens;
        text += token_event_text(*run, position);
        ++stream.next;
    }
    stream.ended = run->has_ended();
    if (stream.ended)
    {
        text += closing_events_text(*run);
    }
    else if (text.empty() && now - stream.written >= settings_.heartbeat)
    {
        text = heartbeat_event();
    }
    if (!text.empty())
    {
        stream.written = now;
    }
    return text;
}

auto engine_stand_in::has_news(open_stream const& stream) const -> bool
{
    if (stream.serial <= silenced_streams_ || stalls(present_time()))
    {
        return false;
    }
    auto const* const run = batch_.find(stream.ticket.run);
    return !run || run->has_ended() || stream.next < run->chain.index() ||
           !attachments_.stands(stream.ticket);
}

auto engine_stand_in::stalls(time_point now) const -> bool
{
    return faults_.silent || now < frozen_until_;
}

auto engine_stand_in::wait_while_silent() -> bool
{
    auto lock = std::unique_lock{mutex_};
    while (!stopping_ && stalls(present_time()))
    {
        changed_.wait_for(lock, reader_check);
    }
    return !stopping_;
}

auto engine_stand_in::run_steps() -> void
{
    auto lock = std::unique_lock{mutex_};
    auto due = std::chrono::steady_clock::now();
    while (!stopping_)
    {
        auto const now = present_time();
        if (now >= frozen_until_)
        {
            step(now);
            changed_.notify_all();
        }
        due = std::max(
            due + settings_.token_time, std::chrono::steady_clock::now());
        changed_.wait_until(lock, due, [this] { return stopping_; });
    }
}

auto engine_stand_in::step(time_point now) -> void
{
    for (auto const& run : attachments_.orphans(now - settings_.orphan_grace))
    {
        batch_.cancel(run, now);
        attachments_.forget(run);
    }
    for (auto const& name : batch_.step(now))
    {
        auto const& prompt = batch_.find(name)->submission.prompt;
        auto const& marker = settings_.crash_marker;
        if (!marker.empty() && prompt.find(marker) != std::string::npos)
        {
            settings_.on_crash();
        }
        cache_.touch(prefix_digest(prompt), now);
    }
    batch_.forget_ended(now - settings_.keep_ended);
    load_.set(now, batch_.load());
}

} // namespace sapphirereel::standins
