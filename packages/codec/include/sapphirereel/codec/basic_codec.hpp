/// \file
/// Defines how the core's basic values stand in JSON: identifiers, offsets,
/// times (microseconds), addresses, optional values and enumerations by name.
/// An unknown name of an enumeration throws a JSON exception, as any other
/// malformed value does; decoders of outside input turn it into a finding.
#ifndef SAPPHIREREEL_CODEC_BASIC_CODEC_HPP
#define SAPPHIREREEL_CODEC_BASIC_CODEC_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/log_record.hpp"
#include "sapphirereel/core/request.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <type_traits>

/// A duration stands as a count of microseconds.
template <>
struct nlohmann::adl_serializer<sapphirereel::duration>
{
    static auto to_json(json& out, sapphirereel::duration const& value) -> void
    {
        out = value.count();
    }

    static auto from_json(json const& in, sapphirereel::duration& value) -> void
    {
        value = sapphirereel::duration{in.get<sapphirereel::duration::rep>()};
    }
};

/// A moment stands as microseconds on the daemon's monotonic clock.
template <>
struct nlohmann::adl_serializer<sapphirereel::time_point>
{
    static auto to_json(json& out, sapphirereel::time_point const& value)
        -> void
    {
        out = value.time_since_epoch().count();
    }

    static auto from_json(json const& in, sapphirereel::time_point& value)
        -> void
    {
        value = sapphirereel::time_point{
            sapphirereel::duration{in.get<sapphirereel::duration::rep>()}};
    }
};

/// An absent value stands as null.
template <class T>
struct nlohmann::adl_serializer<std::optional<T>>
{
    static auto to_json(json& out, std::optional<T> const& value) -> void
    {
        out = value ? json(*value) : json(nullptr);
    }

    static auto from_json(json const& in, std::optional<T>& value) -> void
    {
        value = in.is_null() ? std::nullopt
                             : std::optional<T>{in.template get<T>()};
    }
};

namespace sapphirereel {

/// The name of one value of an enumeration.
template <class E>
struct enum_name
{
    E value;
    std::string_view name;
};

/// Names of an enumeration's values, specialised for each one that is sent:
/// `template <> inline constexpr auto enum_names<color> = std::array{...};`
template <class E>
inline constexpr auto enum_names = nullptr;

template <class E>
concept named_enum = std::is_enum_v<E> &&
    !std::is_null_pointer_v<std::remove_cvref_t<decltype(enum_names<E>)>>;

/// The name of a value; empty if the table lacks it.
template <named_enum E>
constexpr auto name_of(E value) -> std::string_view
{
    for (auto const& entry : enum_names<E>)
    {
        if (entry.value == value)
        {
            return entry.name;
        }
    }
    return {};
}

/// The value of a name, if the table has it.
template <named_enum E>
constexpr auto value_of(std::string_view name) -> std::optional<E>
{
    for (auto const& entry : enum_names<E>)
    {
        if (entry.name == name)
        {
            return entry.value;
        }
    }
    return std::nullopt;
}

/// Identifier of the JSON exception for an unknown name.
inline constexpr auto unknown_name_error = 501;

template <named_enum E>
auto to_json(nlohmann::json& json, E const& value) -> void
{
    json = std::string{name_of(value)};
}

template <named_enum E>
auto from_json(nlohmann::json const& json, E& value) -> void
{
    auto const& name = json.get_ref<std::string const&>();
    auto const found = value_of<E>(name);
    if (!found)
    {
        throw nlohmann::json::other_error::create(
            unknown_name_error, "unknown name " + name, &json);
    }
    value = *found;
}

template <class Tag>
auto to_json(nlohmann::json& json, identifier<Tag> const& id) -> void
{
    json = id.str();
}

template <class Tag>
auto from_json(nlohmann::json const& json, identifier<Tag>& id) -> void
{
    id = identifier<Tag>{json.get<std::string>()};
}

inline auto to_json(nlohmann::json& json, log_offset const& offset) -> void
{
    json = offset.value;
}

inline auto from_json(nlohmann::json const& json, log_offset& offset) -> void
{
    offset.value = json.get<std::uint64_t>();
}

inline auto to_json(nlohmann::json& json, wall_time const& time) -> void
{
    json = time.milliseconds;
}

inline auto from_json(nlohmann::json const& json, wall_time& time) -> void
{
    time.milliseconds = json.get<std::int64_t>();
}

template <>
inline constexpr auto enum_names<severity> = std::array{
    enum_name<severity>{severity::error, "error"},
    enum_name<severity>{severity::warning, "warning"}};

template <>
inline constexpr auto enum_names<service_kind> = std::array{
    enum_name<service_kind>{service_kind::engine, "engine"},
    enum_name<service_kind>{service_kind::plain, "plain"}};

template <>
inline constexpr auto enum_names<disposition> = std::array{
    enum_name<disposition>{disposition::not_run, "not-run"},
    enum_name<disposition>{disposition::outcome_unknown, "outcome-unknown"},
    enum_name<disposition>{disposition::final_answer, "final"}};

template <>
inline constexpr auto enum_names<refusal_cause> = std::array{
    enum_name<refusal_cause>{refusal_cause::malformed, "malformed"},
    enum_name<refusal_cause>{refusal_cause::unknown_service, "unknown_service"},
    enum_name<refusal_cause>{refusal_cause::no_endpoint, "no_endpoint"},
    enum_name<refusal_cause>{refusal_cause::overloaded, "overloaded"},
    enum_name<refusal_cause>{refusal_cause::share_exceeded, "share_exceeded"},
    enum_name<refusal_cause>{refusal_cause::deadline, "deadline"},
    enum_name<refusal_cause>{refusal_cause::name_reused, "name_reused"},
    enum_name<refusal_cause>{refusal_cause::name_expired, "name_expired"},
    enum_name<refusal_cause>{refusal_cause::endpoint_lost, "endpoint_lost"},
    enum_name<refusal_cause>{refusal_cause::poison, "lethal"},
    enum_name<refusal_cause>{refusal_cause::log_unavailable, "log_unavailable"},
    enum_name<refusal_cause>{refusal_cause::superseded, "superseded"},
    enum_name<refusal_cause>{refusal_cause::draining, "draining"}};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(socket_address, ip, port)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(place, source, line, field)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(finding, where, message, mend, level)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(log_record, offset, appended, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(request_facts, service, model, customer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    refusal, cause, outcome, message, retry_after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(header_field, name, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(call_content, method, path, headers, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(call_answer, status, headers, body)

} // namespace sapphirereel

#endif
