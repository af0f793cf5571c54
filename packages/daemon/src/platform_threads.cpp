#include "sapphirereel/daemon/platform_threads.hpp"

#include "sapphirereel/codec/claim_codec.hpp"
#include "sapphirereel/codec/configuration_codec.hpp"
#include "sapphirereel/telemetry/clocks.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel::daemon {

namespace {

auto const configuration_stream = stream_name{"config"};
auto const claim_stream = stream_name{"claims"};

/// Most records of one page.
constexpr auto page_records = std::size_t{500};

/// Wait before a log that could not be read is read again.
constexpr auto read_backoff = duration{std::chrono::milliseconds{250}};

auto timeouts_of(platform_settings const& settings) -> platform::timeouts
{
    return {settings.connect_timeout, settings.request_timeout};
}

auto outcome_of(platform::append_status status) -> append_outcome
{
    switch (status)
    {
    case platform::append_status::appended:
        return append_outcome::appended;
    case platform::append_status::refused:
        return append_outcome::refused;
    case platform::append_status::unanswered:
        break;
    }
    return append_outcome::unanswered;
}

auto hints_of(std::vector<platform::listed_vm> const& list)
    -> std::vector<vm_hint>
{
    auto hints = std::vector<vm_hint>{};
    for (auto const& one : list)
    {
        auto const state = one.state == platform::vm_state::live
                               ? vm_state::live
                               : vm_state::leaving;
        hints.push_back({one.name, one.ip, one.zone, one.region, state});
    }
    return hints;
}

auto configuration_page_of(platform::log_page const& page) -> configuration_page
{
    auto entries = std::vector<configuration_entry>{};
    for (auto const& record : page.records)
    {
        entries.push_back(decode_configuration_entry(record));
    }
    return {page.first, page.next, std::move(entries), telemetry::civil_now()};
}

auto claim_page_of(platform::log_page const& page) -> claim_page
{
    auto records = std::vector<claim_log_record>{};
    for (auto const& record : page.records)
    {
        records.push_back(
            {record.offset, record.appended, read_claim_batch(record.body)});
    }
    return {page.first, page.next, std::move(records), telemetry::civil_now()};
}

} // namespace

log_writer::log_writer(
    platform::log_client log, stream_name stream, core_loop& loop)
    : log_(std::move(log))
    , stream_(std::move(stream))
    , loop_(loop)
    , thread_([this] { work(); })
{}

log_writer::~log_writer()
{
    {
        auto const lock = std::lock_guard{mutex_};
        closed_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

auto log_writer::append(waiting_append record) -> void
{
    {
        auto const lock = std::lock_guard{mutex_};
        waiting_.push_back(std::move(record));
    }
    wake_.notify_one();
}

auto log_writer::work() -> void
{
    auto lock = std::unique_lock{mutex_};
    while (true)
    {
        wake_.wait(lock, [this] { return closed_ || !waiting_.empty(); });
        if (closed_)
        {
            return;
        }
        auto const record = std::move(waiting_.front());
        waiting_.pop_front();
        lock.unlock();
        auto const done = log_.append(stream_, record.body);
        loop_.post(
            append_result{record.token, outcome_of(done.status), done.offset});
        lock.lock();
    }
}

platform_threads::platform_threads(
    platform_settings const& settings, core_loop& loop)
    : settings_(settings)
    , loop_(loop)
    , log_(settings.log_address, timeouts_of(settings))
    , vms_(settings.vm_list_address, timeouts_of(settings))
    , configuration_writer_(log_, configuration_stream, loop)
    , claim_writer_(log_, claim_stream, loop)
{}

platform_threads::~platform_threads()
{
    closed_ = true;
    wake_.notify_all();
    for (auto& reader : readers_)
    {
        reader.join();
    }
}

auto platform_threads::start() -> void
{
    readers_.emplace_back([this] { read_configuration(); });
    readers_.emplace_back([this] { read_claims(); });
    readers_.emplace_back([this] { read_vm_list(); });
}

auto platform_threads::perform(append_record const& what) -> void
{
    if (auto const* batch = std::get_if<claim_batch>(&what.body))
    {
        claim_writer_.append({what.token, write_claim_batch(*batch)});
        return;
    }
    auto const record =
        std::holds_alternative<configuration_edit>(what.body)
            ? configuration_record{std::get<configuration_edit>(what.body)}
            : configuration_record{std::get<configuration_snapshot>(what.body)};
    configuration_writer_.append(
        {what.token, encode_configuration_record(record)});
}

auto platform_threads::read_configuration() -> void
{
    // The first page comes at once, also from an empty stream: until then the
    // daemon cannot tell what was configured or claimed.
    auto wait = duration{0};
    while (!closed_)
    {
        auto const from = loop_.ask(
            [](daemon_core& core) { return core.configuration().read_from(); });
        auto const page =
            log_.read(configuration_stream, from, page_records, wait);
        if (!page)
        {
            pause(read_backoff);
            continue;
        }
        loop_.post(configuration_page_of(*page));
        wait = settings_.log_poll_wait;
    }
}

auto platform_threads::read_claims() -> void
{
    auto wait = duration{0};
    while (!closed_)
    {
        auto const from =
            loop_.ask([](daemon_core& core) { return core.next_claim(); });
        auto const page = log_.read(claim_stream, from, page_records, wait);
        if (!page)
        {
            pause(read_backoff);
            continue;
        }
        loop_.post(claim_page_of(*page));
        wait = settings_.log_poll_wait;
    }
}

auto platform_threads::read_vm_list() -> void
{
    while (!closed_)
    {
        if (auto const list = vms_.read())
        {
            loop_.post(vm_list_arrived{hints_of(*list)});
        }
        pause(settings_.vm_list_interval);
    }
}

auto platform_threads::pause(duration time) -> void
{
    auto lock = std::unique_lock{mutex_};
    wake_.wait_for(lock, time, [this] { return closed_.load(); });
}

} // namespace sapphirereel::daemon
