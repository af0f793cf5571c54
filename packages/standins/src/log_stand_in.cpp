#include "sapphirereel/standins/log_stand_in.hpp"

#include "sapphirereel/standins/present_time.hpp"

#include <charconv>

namespace sapphirereel::standins {
namespace {

constexpr auto max_record_bytes = std::size_t{1} << 20;
constexpr auto max_page_records = std::uint64_t{1000};
constexpr auto max_wait = std::chrono::seconds{30};

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

auto to_json(stream_page const& page) -> nlohmann::json
{
    auto records = nlohmann::json::array();
    for (auto const& record : page.records)
    {
        records.push_back(
            {{"offset", record.offset.value},
             {"appended_ms", record.appended.milliseconds},
             {"body", record.body}});
    }
    return {
        {"first", page.first.value},
        {"next", page.next.value},
        {"records", std::move(records)}};
}

auto is_utf8_text(std::string const& text) -> bool
{
    try
    {
        static_cast<void>(nlohmann::json(text).dump());
        return true;
    }
    catch (nlohmann::json::exception const&)
    {
        return false;
    }
}

} // namespace

auto log_stand_in::start(log_settings const& settings)
    -> result<std::unique_ptr<log_stand_in>>
{
    auto stand_in = std::unique_ptr<log_stand_in>{new log_stand_in{settings}};
    auto server = http_server::start(
        settings.server, [&stand_in](httplib::Server& routes) {
            stand_in->define_routes(routes);
        });
    if (!server)
    {
        return tl::unexpected{server.error()};
    }
    stand_in->server_ = std::move(*server);
    return stand_in;
}

log_stand_in::log_stand_in(log_settings const& settings)
    : retention_(settings.retention)
    , store_(settings.retention)
    , appends_(
          settings.appends_per_second,
          std::chrono::seconds{1},
          settings.appends_per_second)
{}

log_stand_in::~log_stand_in()
{
    {
        auto const lock = std::lock_guard{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
}

auto log_stand_in::address() const -> socket_address
{
    return server_->address();
}

auto log_stand_in::set_faults(log_faults const& faults) -> void
{
    {
        auto const lock = std::lock_guard{mutex_};
        faults_ = faults;
    }
    changed_.notify_all();
}

auto log_stand_in::set_retention(log_retention const& retention) -> void
{
    auto const lock = std::lock_guard{mutex_};
    retention_ = retention;
    store_.set_retention(retention);
}

auto log_stand_in::records(stream_name const& stream) -> std::vector<log_record>
{
    auto const lock = std::lock_guard{mutex_};
    auto const all = std::numeric_limits<std::size_t>::max();
    return store_.read(stream, log_offset{}, all, present_wall_time()).records;
}

auto log_stand_in::define_routes(httplib::Server& server) -> void
{
    auto const* const records = R"(/v1/streams/([^/]+)/records)";
    server.Post(records, [this](auto const& request, auto& response) {
        append(request, response);
    });
    server.Get(records, [this](auto const& request, auto& response) {
        read(request, response);
    });
    server.Post("/faults", [this](auto const& request, auto& response) {
        change_faults(nlohmann::json::parse(request.body));
        reply(response, 200, nlohmann::json::object());
    });
    server.Get(
        "/standin/streams/([^/]+)",
        [this](auto const& request, auto& response) {
            auto const stream = stream_name{request.matches[1].str()};
            auto const all = this->records(stream);
            reply(response, 200, to_json(stream_page{{}, {}, all}));
        });
}

auto log_stand_in::append(
    httplib::Request const& request, httplib::Response& response) -> void
{
    delay();
    auto const lock = std::lock_guard{mutex_};
    if (fails(request, response))
    {
        return;
    }
    if (request.body.size() > max_record_bytes || !is_utf8_text(request.body))
    {
        reply(response, 400, {{"error", "a record is UTF-8 up to 1 MiB"}});
        return;
    }
    if (!appends_.take(present_time()))
    {
        reply(response, 429, {{"error", "append rate"}});
        return;
    }
    auto const stream = stream_name{request.matches[1].str()};
    auto const offset =
        store_.append(stream, request.body, present_wall_time());
    changed_.notify_all();
    if (faults_.lose_answers > 0)
    {
        --faults_.lose_answers;
        drop_connection(request);
        return;
    }
    reply(response, 201, {{"offset", offset.value}});
}

auto log_stand_in::read(
    httplib::Request const& request, httplib::Response& response) -> void
{
    delay();
    auto const stream = stream_name{request.matches[1].str()};
    auto const from = log_offset{number_parameter(request, "from", 1)};
    auto const limit = std::min(
        number_parameter(request, "limit", max_page_records), max_page_records);
    auto const wait = std::min<std::chrono::milliseconds>(
        std::chrono::milliseconds{number_parameter(request, "wait_ms", 0)},
        max_wait);
    auto lock = std::unique_lock{mutex_};
    auto page = stream_page{};
    changed_.wait_for(lock, wait, [&] {
        page = store_.read(stream, from, limit, present_wall_time());
        return !page.records.empty() || faults_.down || faults_.unavailable ||
               stopping_;
    });
    if (!fails(request, response))
    {
        reply(response, 200, to_json(page));
    }
}

auto log_stand_in::change_faults(nlohmann::json const& change) -> void
{
    {
        auto const lock = std::lock_guard{mutex_};
        faults_.down = change.value("down", faults_.down);
        faults_.unavailable = change.value("unavailable", faults_.unavailable);
        faults_.delay_ms = change.value("delay_ms", faults_.delay_ms);
        faults_.lose_answers =
            change.value("lose_answers", faults_.lose_answers);
        retention_.max_records =
            change.value("retain_records", retention_.max_records);
        retention_.max_age = std::chrono::milliseconds{
            change.value("retain_ms", retention_.max_age.count())};
        store_.set_retention(retention_);
    }
    changed_.notify_all();
}

auto log_stand_in::delay() -> void
{
    auto lock = std::unique_lock{mutex_};
    auto const wait = std::chrono::milliseconds{faults_.delay_ms};
    changed_.wait_for(lock, wait, [this] { return stopping_; });
}

auto log_stand_in::fails(
    httplib::Request const& request, httplib::Response& response) -> bool
{
    if (faults_.down)
    {
        drop_connection(request);
        return true;
    }
    if (faults_.unavailable)
    {
        reply(response, 503, {{"error", "unavailable"}});
        return true;
    }
    return false;
}

} // namespace sapphirereel::standins
