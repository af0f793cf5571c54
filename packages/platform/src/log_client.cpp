#include "sapphirereel/platform/log_client.hpp"

#include "http.hpp"

#include <optional>

namespace sapphirereel::platform {
namespace {

auto records_path(stream_name const& stream) -> std::string
{
    return "/v1/streams/" + stream.str() + "/records";
}

auto read_offset(nlohmann::json const& value) -> log_offset
{
    return log_offset{value.get<std::uint64_t>()};
}

auto read_record(nlohmann::json const& value) -> log_record
{
    return log_record{
        read_offset(value.at("offset")),
        wall_time{value.at("appended_ms").get<std::int64_t>()},
        value.at("body").get<std::string>()};
}

auto read_page(nlohmann::json const& value) -> log_page
{
    auto page = log_page{
        read_offset(value.at("first")), read_offset(value.at("next")), {}};
    for (auto const& record : value.at("records"))
    {
        page.records.push_back(read_record(record));
    }
    return page;
}

template <class Decode>
auto decode_body(std::string const& body, Decode decode)
    -> tl::expected<decltype(decode(nlohmann::json{})), std::string>
{
    try
    {
        return decode(nlohmann::json::parse(body));
    }
    catch (nlohmann::json::exception const& error)
    {
        return tl::unexpected{std::string{error.what()}};
    }
}

auto failed_append(calls::call_error const& error) -> append_outcome
{
    auto const status = internal::was_not_sent(error)
                            ? append_status::refused
                            : append_status::unanswered;
    return {status, {}, error.detail};
}

/// A client's error and an overload are said before the append, but other
/// failures of the service leave it open.
auto is_refusal(int status) -> bool
{
    return (status >= 400 && status < 500) || status == 503;
}

auto answered_append(http::response const& answer) -> append_outcome
{
    auto const status = "status " + std::to_string(answer.head.status);
    if (is_refusal(answer.head.status))
    {
        return {append_status::refused, {}, status};
    }
    if (answer.head.status != 201)
    {
        return {append_status::unanswered, {}, status};
    }
    auto const offset = decode_body(answer.body, [](auto const& value) {
        return read_offset(value.at("offset"));
    });
    if (!offset)
    {
        return {append_status::unanswered, {}, offset.error()};
    }
    return {append_status::appended, *offset, {}};
}

auto fail_read(log_failure failure, std::string detail)
    -> tl::unexpected<log_error>
{
    return tl::unexpected{log_error{failure, std::move(detail)}};
}

/// Whether a page is in order and holds nothing from before `from`.
auto is_consistent(log_page const& page, log_offset from) -> bool
{
    auto previous = log_offset{from.value == 0 ? 0 : from.value - 1};
    for (auto const& record : page.records)
    {
        if (record.offset <= previous || record.offset >= page.next)
        {
            return false;
        }
        previous = record.offset;
    }
    return page.first <= page.next;
}

} // namespace

log_client::log_client(socket_address address, timeouts limits)
    : address_(std::move(address))
    , limits_(limits)
{}

auto log_client::append(stream_name const& stream, std::string_view body) const
    -> append_outcome
{
    if (body.size() > max_record_bytes)
    {
        return {append_status::refused, {}, "record too large"};
    }
    auto call = internal::open_call(address_, limits_);
    auto const answer = call.fetch(
        {"POST",
         records_path(stream),
         {{"Content-Type", "text/plain; charset=utf-8"}},
         std::string{body}});
    return answer ? answered_append(*answer) : failed_append(answer.error());
}

auto log_client::read(
    stream_name const& stream,
    log_offset from,
    std::size_t limit,
    duration wait) const -> tl::expected<log_page, log_error>
{
    auto call = internal::open_call(address_, limits_, wait);
    auto const wait_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    auto const path = records_path(stream) +
                      "?from=" + std::to_string(from.value) +
                      "&limit=" + std::to_string(limit) +
                      "&wait_ms=" + std::to_string(wait_ms.count());
    auto const answer = call.fetch({"GET", path});
    if (!answer)
    {
        auto const failure = internal::was_not_sent(answer.error())
                                 ? log_failure::unreachable
                                 : log_failure::unanswered;
        return fail_read(failure, answer.error().detail);
    }
    if (answer->head.status != 200)
    {
        return fail_read(
            log_failure::rejected,
            "status " + std::to_string(answer->head.status));
    }
    auto page = decode_body(answer->body, read_page);
    if (!page)
    {
        return fail_read(log_failure::malformed, page.error());
    }
    if (!is_consistent(*page, from))
    {
        return fail_read(log_failure::malformed, "offsets out of order");
    }
    return std::move(*page);
}

} // namespace sapphirereel::platform
