#include "sapphirereel/relay/copy_fetcher.hpp"

#include "sapphirereel/telemetry/clocks.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel::relay {
namespace {

constexpr auto status_ok = 200;
constexpr auto status_refused = 503;

/// Time without a piece after which a transfer is considered stalled.
constexpr auto stall_limit = duration{std::chrono::milliseconds{1'200}};

auto milliseconds_of(duration length) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length)
        .count();
}

auto next_in_report(peer_report const& report, keyed_stream stream)
    -> log_position
{
    return stream == keyed_stream::configuration ? report.configuration_next
                                                 : report.replicas_next;
}

/// Whether a daemon that has reached a position has all values of a copy.
auto covers(log_position reached, peer_copy const& copy) -> bool
{
    return std::all_of(
        copy.outlined.begin(), copy.outlined.end(),
        [&](auto const& each) { return each.position < reached; });
}

} // namespace

copy_fetcher::copy_fetcher(
    relay_state& state,
    listen_address own,
    piece_library& library,
    handlers callbacks)
    : state_(&state)
    , own_(std::move(own))
    , library_(&library)
    , handlers_(std::move(callbacks))
{}

auto copy_fetcher::fetch_if_behind(peer_report const& report, time_point now)
    -> bool
{
    end_stalled_transfer(now);
    if (transfer_ && covers(report.configuration_next, transfer_->copy()))
    {
        transfer_->add_source(report.ip);
    }
    if (waiting_ && covers(report.configuration_next, waiting_->copy))
    {
        waiting_->sources.insert(report.ip);
    }
    if (now < next_fetch_at_)
    {
        return false;
    }
    auto has_begun = false;
    for (auto const stream :
         {keyed_stream::configuration, keyed_stream::replicas})
    {
        if (misses(stream, next_in_report(report, stream)))
        {
            fetch(report.ip, stream, now);
            next_fetch_at_ = now + fetch_interval;
            has_begun = true;
        }
    }
    return has_begun;
}

auto copy_fetcher::misses(keyed_stream stream, log_position next) const -> bool
{
    auto reached = handlers_.position(stream);
    if (stream == keyed_stream::configuration && transfer_)
    {
        reached = std::max(reached, transfer_->copy().page.next);
    }
    if (stream == keyed_stream::configuration && waiting_)
    {
        reached = std::max(reached, waiting_->copy.page.next);
    }
    return !fetching_.contains(stream) && next > reached;
}

auto copy_fetcher::fetch(
    std::string const& ip, keyed_stream stream, time_point now) -> void
{
    state_->metrics.add(relay_counter::peer_fetches);
    fetching_.insert(stream);
    auto fields = http::field_list{{"Host", ip}};
    if (stream == keyed_stream::configuration)
    {
        fields.push_back({std::string{reads_outlines_field}, "1"});
    }
    buffered_call::start(
        state_->loop, state_->pool, listen_address{ip, own_.port}.endpoint(),
        http::write_request(
            "GET", copy_path({stream, handlers_.position(stream)}), fields, {}),
        call_limit::of_progress(fetch_timeout),
        [this, ip, stream, now](buffered_response const& answer) {
            fetching_.erase(stream);
            receive(ip, stream, answer, telemetry::monotonic_now() - now);
        });
}

auto copy_fetcher::receive(
    std::string const& ip,
    keyed_stream stream,
    buffered_response const& answer,
    duration took) -> void
{
    auto copy = answer && answer->head.status == status_ok
                    ? read_copy(answer->body)
                    : std::nullopt;
    if (!copy)
    {
        report_failure(ip, stream, answer, took);
        return;
    }
    state_->log.info(
        "peers", "fetched a peer's copy",
        {{"stream", std::string{name_of(stream)}},
         {"peer", ip},
         {"whole", copy->is_snapshot},
         {"bytes", answer->body.size()},
         {"after_ms", milliseconds_of(took)},
         {"missing", bytes_of(missing_pieces(*copy, *library_))},
         {"era", copy->page.next.era},
         {"next", copy->page.next.offset}});
    if (copy->outlined.empty())
    {
        handlers_.apply(stream, *copy);
        return;
    }
    collect(ip, std::move(*copy));
}

auto copy_fetcher::report_failure(
    std::string const& ip,
    keyed_stream stream,
    buffered_response const& answer,
    duration took) -> void
{
    auto const is_refused = answer && answer->head.status == status_refused;
    state_->metrics.add(
        is_refused ? relay_counter::peer_fetches_refused
                   : relay_counter::peer_fetches_failed);
    state_->log.info(
        "peers", "failed to fetch a peer's copy",
        {{"stream", std::string{name_of(stream)}},
         {"peer", ip},
         {"why", is_refused ? "refused"
                 : answer   ? "no valid copy"
                            : answer.error().detail},
         {"bytes", answer ? answer->body.size() : answer.error().body_bytes},
         {"after_ms", milliseconds_of(took)}});
}

auto copy_fetcher::collect(std::string const& ip, peer_copy copy) -> void
{
    if (copy.page.next <= handlers_.position(keyed_stream::configuration))
    {
        return;
    }
    // Small records are urgent and do not wait behind a large value.
    handlers_.apply_early(copy);
    auto const needed = bytes_of(missing_pieces(copy, *library_));
    auto const is_first =
        !transfer_ || transfer_->copy().page.next <=
                          handlers_.position(keyed_stream::configuration);
    // What needs least comes first: a version is never put off for newer ones
    // without end, and a small change does not wait behind a large one.
    if (is_first || needed <= transfer_->missing_bytes())
    {
        begin_transfer(std::move(copy), {ip});
        return;
    }
    waiting_ = {std::move(copy), {ip}};
}

auto copy_fetcher::begin_transfer(
    peer_copy copy, std::set<std::string> const& sources) -> void
{
    if (transfer_)
    {
        transfer_->cancel();
    }
    if (waiting_ && waiting_->copy.page.next <= copy.page.next)
    {
        waiting_.reset();
    }
    transfer_began_ = telemetry::monotonic_now();
    transfer_ = piece_transfer::start(
        *state_, own_, *library_, std::move(copy),
        {[this] { handlers_.advanced(); },
         [this] {
             transfer_completed();
         }});
    if (transfer_->missing_bytes() == 0)
    {
        transfer_completed();
        return;
    }
    for (auto const& ip : sources)
    {
        transfer_->add_source(ip);
    }
}

auto copy_fetcher::transfer_completed() -> void
{
    auto const ended = std::exchange(transfer_, nullptr);
    auto const copy = with_values(ended->copy(), *library_);
    state_->log.info(
        "peers",
        copy ? "collected a peer's copy in pieces"
             : "dropped a peer's copy whose pieces do not make up its value",
        {{"received", ended->received_bytes()},
         {"after_ms",
          milliseconds_of(telemetry::monotonic_now() - transfer_began_)},
         {"era", ended->copy().page.next.era},
         {"next", ended->copy().page.next.offset}});
    if (copy)
    {
        handlers_.apply(keyed_stream::configuration, *copy);
    }
    begin_waiting();
}

auto copy_fetcher::begin_waiting() -> void
{
    auto const next = std::exchange(waiting_, std::nullopt);
    auto const is_newer =
        next &&
        next->copy.page.next > handlers_.position(keyed_stream::configuration);
    if (is_newer && !transfer_)
    {
        begin_transfer(next->copy, next->sources);
    }
}

auto copy_fetcher::end_stalled_transfer(time_point now) -> void
{
    if (!transfer_ || now - transfer_->advanced_at() < stall_limit)
    {
        return;
    }
    state_->log.warning(
        "peers", "no peer sends the pieces of a copy",
        {{"missing", transfer_->missing_bytes()},
         {"received", transfer_->received_bytes()},
         {"next", transfer_->copy().page.next.offset}});
    std::exchange(transfer_, nullptr)->cancel();
    begin_waiting();
}

} // namespace sapphirereel::relay
