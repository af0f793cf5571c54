#include "sapphirereel/daemon/caller_server.hpp"

#include "sapphirereel/codec/openai_answer_body.hpp"
#include "sapphirereel/daemon/connection_queue.hpp"
#include "sapphirereel/daemon/generation_response.hpp"
#include "sapphirereel/daemon/http_answers.hpp"
#include "sapphirereel/telemetry/clocks.hpp"

#include <nlohmann/json.hpp>
#include <set>
#include <sys/socket.h>
#include <utility>

namespace sapphirereel::daemon {

namespace {

/// Connections that may wait to be accepted. The library's own backlog of 5
/// loses callers who connect at once.
constexpr auto accept_backlog = 4096;

constexpr auto name_header = "Idempotency-Key";
constexpr auto daemon_header = "Sapphirereel-Daemon";

auto seconds_of(duration time) -> std::time_t
{
    return std::chrono::duration_cast<std::chrono::seconds>(time).count();
}

auto microseconds_of(duration time) -> std::time_t
{
    return (time % std::chrono::seconds{1}).count();
}

auto too_many_connections() -> refusal
{
    return {
        refusal_cause::overloaded, disposition::not_run,
        "this daemon has too many connections; ask for other addresses",
        std::chrono::seconds{2}};
}

auto limits_of(caller_settings const& callers) -> body_limits
{
    return {
        static_cast<std::size_t>(callers.max_body_bytes),
        static_cast<std::size_t>(callers.max_bodies_bytes)};
}

auto address_text(socket_address const& address) -> std::string
{
    return address.ip + ":" + std::to_string(address.port);
}

auto cannot_listen(socket_address const& address) -> findings
{
    return {
        {{"settings", 0, "daemon.caller_address"},
         "cannot listen on " + address_text(address),
         "give an address of this VM and a free port"}};
}

} // namespace

auto caller_server::open(
    settings const& settings,
    core_loop& loop,
    caller_table& callers,
    operator_parts operators,
    std::uint64_t seed) -> result<std::unique_ptr<caller_server>>
{
    auto made = std::unique_ptr<caller_server>{
        new caller_server{settings, loop, callers, operators, seed}};
    if (!made->bind())
    {
        return tl::unexpected(cannot_listen(settings.identity.caller_address));
    }
    return made;
}

caller_server::caller_server(
    settings const& settings,
    core_loop& loop,
    caller_table& callers,
    operator_parts operators,
    std::uint64_t seed)
    : settings_(settings)
    , loop_(loop)
    , callers_(callers)
    , names_(seed)
    , bodies_(limits_of(settings.callers))
{
    configure();
    add_routes();
    add_operator_routes(server_, operators, bodies_);
    add_unread_routes(server_);
}

caller_server::~caller_server()
{
    server_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

auto caller_server::start() -> void
{
    thread_ = std::thread{[this] {
        server_.listen_after_bind();
    }};
}

auto caller_server::configure() -> void
{
    auto const& callers = settings_.callers;
    auto const limits = connection_limits{
        static_cast<std::size_t>(callers.max_connections),
        static_cast<std::size_t>(callers.max_queued_connections)};
    server_.new_task_queue = [limits] {
        return new connection_queue{limits};
    };
    server_.set_keep_alive_max_count(
        static_cast<std::size_t>(callers.keep_alive_requests));
    server_.set_keep_alive_timeout(seconds_of(callers.keep_alive_timeout));
    server_.set_read_timeout(
        seconds_of(callers.read_timeout),
        microseconds_of(callers.read_timeout));
    server_.set_write_timeout(
        seconds_of(callers.write_timeout),
        microseconds_of(callers.write_timeout));
    server_.set_payload_max_length(
        static_cast<std::size_t>(callers.max_body_bytes));
    server_.set_tcp_nodelay(true);
    server_.set_socket_options([this](int socket) {
        auto const on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        listening_socket_ = socket;
    });
    server_.set_pre_routing_handler(
        [](httplib::Request const& request, httplib::Response& response) {
            if (refuse_unreadable(request, response))
            {
                return httplib::Server::HandlerResponse::Handled;
            }
            if (!refusing_thread())
            {
                return httplib::Server::HandlerResponse::Unhandled;
            }
            response.set_header("Connection", "close");
            write_refusal(too_many_connections(), response);
            return httplib::Server::HandlerResponse::Handled;
        });
}

auto caller_server::bind() -> bool
{
    auto const& address = settings_.identity.caller_address;
    if (address.port == 0)
    {
        port_ = server_.bind_to_any_port(address.ip);
    }
    else
    {
        auto const bound = server_.bind_to_port(address.ip, address.port);
        port_ = bound ? address.port : -1;
    }
    return port_ > 0 && ::listen(listening_socket_, accept_backlog) == 0;
}

auto caller_server::add_routes() -> void
{
    server_.Post(
        "/v1/chat/completions",
        bodies_.whole(
            [this](
                httplib::Request const& request, httplib::Response& response) {
                generate(codec::openai_kind::chat, request, response);
            }));
    server_.Post(
        "/v1/completions", bodies_.whole([this](
                                             httplib::Request const& request,
                                             httplib::Response& response) {
            generate(codec::openai_kind::text, request, response);
        }));
    server_.Get(
        "/v1/models",
        [this](httplib::Request const&, httplib::Response& response) {
            answer_models(response);
        });
    server_.Get(
        "/addresses",
        [this](httplib::Request const&, httplib::Response& response) {
            answer_addresses(response);
        });
    auto const pass_on =
        [this](httplib::Request const& request, httplib::Response& response) {
            call(request, response);
        };
    constexpr auto services = "/services/.*";
    server_.Get(services, pass_on);
    server_.Post(services, bodies_.whole(pass_on));
    server_.Put(services, bodies_.whole(pass_on));
    server_.Patch(services, bodies_.whole(pass_on));
    server_.Delete(services, bodies_.whole(pass_on));
    // The library takes this one for a deletion without a stated length.
    server_.Delete(services, pass_on);
    server_.Options(services, pass_on);
}

auto caller_server::context() -> intake_context
{
    auto const civil = telemetry::civil_now();
    return {
        settings_.identity.secret, settings_.limits.default_deadline,
        telemetry::monotonic_now(), civil, names_.next(civil)};
}

auto caller_server::generate(
    codec::openai_kind kind,
    httplib::Request const& request,
    httplib::Response& response) -> void
{
    auto intake = read_generation(kind, request, context());
    if (!intake)
    {
        write_findings(intake.error(), response);
        return;
    }
    response.set_header(name_header, intake->name.str());
    response.set_header(daemon_header, settings_.identity.name);
    auto const opened = callers_.open();
    intake->request.attachment = opened.attachment;
    auto caller = generation_caller{
        opened.attachment,
        opened.channel,
        kind,
        intake->parsed.include_usage,
        intake->request.facts.service,
        intake->request.content,
        settings_.identity.secret,
        settings_.callers.heartbeat_interval};
    auto close = [this](attachment_id attachment, bool finished) {
        callers_.close(attachment);
        if (!finished)
        {
            loop_.post(caller_closed{attachment});
        }
    };
    auto const buffered = intake->request.buffered;
    loop_.post(generation_arrived{std::move(intake->request)});
    if (buffered)
    {
        gather_generation(caller, close, response);
        return;
    }
    stream_generation(std::move(caller), std::move(close), response);
}

auto caller_server::call(
    httplib::Request const& request, httplib::Response& response) -> void
{
    auto intake = read_call(request, context());
    if (!intake)
    {
        write_findings(intake.error(), response);
        return;
    }
    response.set_header(name_header, intake->name.str());
    response.set_header(daemon_header, settings_.identity.name);
    auto const opened = callers_.open();
    intake->arrived.attachment = opened.attachment;
    loop_.post(std::move(intake->arrived));
    auto item = std::optional<caller_item>{};
    while (!item)
    {
        item = opened.channel->pop(std::chrono::seconds{1});
    }
    callers_.close(opened.attachment);
    if (auto const* answer = std::get_if<answer_caller>(&*item))
    {
        write_answer(answer->answer, response);
    }
    else if (auto const* refused = std::get_if<refuse_caller>(&*item))
    {
        write_refusal(refused->reason, response);
    }
}

auto caller_server::answer_addresses(httplib::Response& response) -> void
{
    auto const answer =
        loop_.ask([](daemon_core& core) { return core.addresses(); });
    auto list = nlohmann::json::array();
    for (auto const& address : answer.addresses)
    {
        list.push_back(address_text(address));
    }
    auto const validity =
        std::chrono::duration_cast<std::chrono::seconds>(answer.validity);
    write_json(
        nlohmann::json{{"addresses", list}, {"valid_for_s", validity.count()}}
            .dump(),
        response);
}

auto caller_server::answer_models(httplib::Response& response) -> void
{
    auto const models = loop_.ask([](daemon_core& core) {
        auto all = std::set<model_name>{};
        for (auto const& [name, one] : core.configuration().config().services)
        {
            all.insert(one.models.begin(), one.models.end());
        }
        return std::vector<model_name>{all.begin(), all.end()};
    });
    write_json(codec::models_body(models), response);
}

} // namespace sapphirereel::daemon
