#include "sapphirereel/relay/send_permit.hpp"

#include <algorithm>
#include <msgpack.hpp>
#include <tuple>

namespace sapphirereel::relay {
namespace {

/// First elements of the messages; peer reports begin with their version, which
/// is lower.
constexpr auto request_tag = std::uint32_t{201};
constexpr auto response_tag = std::uint32_t{202};

/// Longest text of a message in bytes.
constexpr auto max_text_bytes = std::size_t{256};

/// Most elements of a message's list.
constexpr auto max_elements = std::size_t{16};

/// Permits that accumulate while nobody asks for them.
constexpr auto max_burst = 1.0;

/// Permits that are issued to running requests beyond the rate.
constexpr auto running_reserve = 3.0;

/// Lowest rate at which permits are issued. A replica that takes nothing is
/// still asked now and then, to notice the end of its limit.
constexpr auto min_rate = 0.1;

/// Time after which a request for a permit counts as lost, and the pause until
/// the next one, as the home may be gone.
constexpr auto response_timeout = duration{std::chrono::milliseconds{60}};
constexpr auto pause_after_timeout = duration{std::chrono::milliseconds{200}};

/// Longest time for which a daemon does not ask again after a denial: other
/// daemons' demand and the rate may change.
constexpr auto max_pause = duration{std::chrono::milliseconds{1'000}};

/// Time without requests after which an issuer's state is dropped. A new bucket
/// is empty, so that a bucket that was dropped does no harm.
constexpr auto bucket_retention = duration{std::chrono::seconds{60}};

using request_fields = std::tuple<
    std::uint32_t,
    std::string,
    std::uint64_t,
    std::string,
    double,
    std::uint8_t>;
using response_fields = std::tuple<
    std::uint32_t,
    std::uint64_t,
    std::string,
    std::uint64_t,
    std::uint8_t>;

auto use_of(std::uint8_t number) -> permit_use
{
    return number == 0 ? permit_use::request : permit_use::running;
}

/// Whether the bytes begin with the head of a MessagePack list of fewer than 16
/// elements.
auto is_short_list(std::string_view bytes) -> bool
{
    constexpr auto list_bits = 0x90U;
    constexpr auto kind_mask = 0xf0U;
    return !bytes.empty() &&
           (static_cast<unsigned char>(bytes.front()) & kind_mask) == list_bits;
}

template <class Fields>
auto pack_fields(Fields const& fields) -> std::string
{
    auto buffer = msgpack::sbuffer{};
    msgpack::pack(buffer, fields);
    return {buffer.data(), buffer.size()};
}

auto read_message(msgpack::object const& from) -> std::optional<permit_message>
{
    if (from.type != msgpack::type::ARRAY || from.via.array.size == 0)
    {
        return std::nullopt;
    }
    auto const tag = from.via.array.ptr[0].as<std::uint32_t>();
    auto const size = from.via.array.size;
    if (tag == request_tag && size == std::tuple_size_v<request_fields>)
    {
        auto const fields = from.as<request_fields>();
        return permit_request{
            std::get<1>(fields), std::get<2>(fields),
            endpoint_id{std::get<3>(fields)}, std::get<4>(fields),
            use_of(std::get<5>(fields))};
    }
    if (tag == response_tag && size == std::tuple_size_v<response_fields>)
    {
        auto const fields = from.as<response_fields>();
        auto const wait = std::min<std::uint64_t>(
            std::get<3>(fields),
            static_cast<std::uint64_t>(
                std::chrono::microseconds{std::chrono::hours{1}}.count()));
        return permit_response{
            std::get<1>(fields), endpoint_id{std::get<2>(fields)},
            std::chrono::microseconds{wait}, use_of(std::get<4>(fields))};
    }
    return std::nullopt;
}

} // namespace

auto write_permit_message(permit_message const& message) -> std::string
{
    if (auto const* const asked = std::get_if<permit_request>(&message))
    {
        return pack_fields(request_fields{
            request_tag, asked->ip, asked->number, asked->replica.str(),
            asked->rate, static_cast<std::uint8_t>(asked->use)});
    }
    auto const& response = std::get<permit_response>(message);
    auto const wait =
        std::chrono::duration_cast<std::chrono::microseconds>(response.wait);
    return pack_fields(response_fields{
        response_tag, response.number, response.replica.str(),
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, wait.count())),
        static_cast<std::uint8_t>(response.use)});
}

auto read_permit_message(std::string_view bytes)
    -> std::optional<permit_message>
{
    // A report begins otherwise; it is not unpacked twice.
    if (!is_short_list(bytes))
    {
        return std::nullopt;
    }
    auto const limits =
        msgpack::unpack_limit{max_elements, 0, max_text_bytes, 0, 0, 2};
    try
    {
        auto consumed = std::size_t{0};
        auto const unpacked = msgpack::unpack(
            bytes.data(), bytes.size(), consumed, nullptr, nullptr, limits);
        return consumed == bytes.size() ? read_message(unpacked.get())
                                        : std::nullopt;
    }
    catch (msgpack::unpack_error const&)
    {
        return std::nullopt;
    }
    catch (msgpack::type_error const&)
    {
        return std::nullopt;
    }
}

auto cold_permit_terms(
    double rate, double share, cold_bounds const& bounds, double phase)
    -> permit_terms
{
    // The permits that are used in one second were issued within this time.
    constexpr auto window =
        1 + std::chrono::duration<double>(cold_permit_validity).count();
    auto const beyond_rate =
        std::max(0.0, bounds.slack + (bounds.overage - window) * rate);
    auto const reserve = std::min(running_reserve, beyond_rate / 2);
    auto const burst = std::min(bounds.slack, beyond_rate - reserve);
    auto const is_less_than_one = burst * share < 1;
    return {
        rate * share, std::max(max_burst, burst * share), reserve * share,
        is_less_than_one ? -phase : 0};
}

auto permit_issuer::issue(
    endpoint_id const& id, double rate, permit_use use, time_point now)
    -> duration
{
    return issue(
        id, permit_terms{rate, max_burst, running_reserve, 0}, use, now);
}

auto permit_issuer::issue(
    endpoint_id const& id,
    permit_terms const& terms,
    permit_use use,
    time_point now) -> duration
{
    auto const used_rate = std::max(min_rate, terms.rate);
    auto& held =
        buckets_.try_emplace(id, bucket{terms.initial, now}).first->second;
    auto const passed = std::chrono::duration<double>(now - held.at).count();
    held.tokens = std::min(terms.burst, held.tokens + passed * used_rate);
    held.at = now;
    auto const reserve = use == permit_use::running ? terms.reserve : 0;
    auto const missing = 1 - reserve - held.tokens;
    if (missing > 0)
    {
        return std::max(
            duration{1},
            std::chrono::duration_cast<duration>(
                std::chrono::duration<double>{missing / used_rate}));
    }
    held.tokens -= 1;
    return duration{0};
}

auto permit_issuer::expire(time_point now) -> void
{
    std::erase_if(buckets_, [&](auto const& each) {
        return now - each.second.at > bucket_retention;
    });
}

auto permit_holder::holds(endpoint_id const& id, time_point now) const -> bool
{
    auto const found = replicas_.find(id);
    return found != replicas_.end() && found->second.held_until &&
           now < *found->second.held_until;
}

auto permit_holder::is_awaited(endpoint_id const& id, time_point now) const
    -> bool
{
    auto const found = replicas_.find(id);
    return found != replicas_.end() && found->second.awaited &&
           now - found->second.asked_at < response_timeout;
}

auto permit_holder::last_asked(endpoint_id const& id) const -> time_point
{
    auto const found = replicas_.find(id);
    return found == replicas_.end() ? time_point{} : found->second.asked_at;
}

auto permit_holder::take(endpoint_id const& id, time_point now) -> bool
{
    auto const is_held = holds(id, now);
    if (is_held)
    {
        replicas_[id].held_until.reset();
    }
    return is_held;
}

auto permit_holder::ask(endpoint_id const& id, permit_use use, time_point now)
    -> std::optional<std::uint64_t>
{
    if (holds(id, now) || is_awaited(id, now))
    {
        return std::nullopt;
    }
    auto& state = replicas_[id];
    auto& again_at = state.ask_again_at[static_cast<std::size_t>(use)];
    auto const is_lost = std::exchange(state.awaited, std::nullopt).has_value();
    if (is_lost)
    {
        again_at = std::max(again_at, state.asked_at + pause_after_timeout);
    }
    if (now < again_at)
    {
        return std::nullopt;
    }
    state.awaited = ++last_number_;
    state.asked_at = now;
    return last_number_;
}

auto permit_holder::time_until_asked(
    endpoint_id const& id, time_point now) const -> duration
{
    auto const found = replicas_.find(id);
    if (found == replicas_.end())
    {
        return duration{0};
    }
    auto const& again_at = found->second.ask_again_at;
    return std::max(
        duration{0},
        again_at[static_cast<std::size_t>(permit_use::request)] - now);
}

auto permit_holder::apply_response(
    permit_response const& response, time_point now, duration validity) -> void
{
    auto const found = replicas_.find(response.replica);
    if (found == replicas_.end() || found->second.awaited != response.number)
    {
        return;
    }
    auto& state = found->second;
    state.awaited.reset();
    if (response.wait <= duration{0})
    {
        // Counted from the request, because the home issued the permit after
        // it.
        state.held_until = state.asked_at + validity;
        return;
    }
    state.ask_again_at[static_cast<std::size_t>(response.use)] =
        now + std::min(response.wait, max_pause);
}

auto permit_holder::expire(time_point now) -> void
{
    std::erase_if(replicas_, [&](auto const& each) {
        return now - each.second.asked_at > bucket_retention;
    });
}

} // namespace sapphirereel::relay
