/// \file
/// Defines how a variant of named message types stands in JSON: as its kind's
/// name and its value.
#ifndef SAPPHIREREEL_CODEC_VARIANT_CODEC_HPP
#define SAPPHIREREEL_CODEC_VARIANT_CODEC_HPP

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <variant>

namespace sapphirereel {

/// Name of a message type, specialised for each one that is sent or recorded:
/// `template <> inline constexpr std::string_view kind_name<probe> = "probe";`
template <class T>
inline constexpr std::string_view kind_name = {};

template <class T>
concept named_kind = !kind_name<T>.empty();

namespace internal {

/// Identifier of the JSON exception for an unknown kind.
inline constexpr auto unknown_kind_error = 502;

/// Reads the value if the kind is T's; whether it was.
template <class T, class Variant>
auto read_alternative(
    nlohmann::json const& in, std::string_view kind, Variant& out) -> bool
{
    if (kind != kind_name<T>)
    {
        return false;
    }
    out = in.at("value").template get<T>();
    return true;
}

} // namespace internal
} // namespace sapphirereel

template <sapphirereel::named_kind... Ts>
struct nlohmann::adl_serializer<std::variant<Ts...>>
{
    static auto to_json(json& out, std::variant<Ts...> const& value) -> void
    {
        std::visit(
            [&out](auto const& one) {
                using type = std::remove_cvref_t<decltype(one)>;
                out = json{
                    {"kind", sapphirereel::kind_name<type>}, {"value", one}};
            },
            value);
    }

    static auto from_json(json const& in, std::variant<Ts...>& value) -> void
    {
        auto const& kind = in.at("kind").get_ref<std::string const&>();
        auto const known =
            (sapphirereel::internal::read_alternative<Ts>(in, kind, value) ||
             ...);
        if (!known)
        {
            throw json::other_error::create(
                sapphirereel::internal::unknown_kind_error,
                "unknown kind " + kind, &in);
        }
    }
};

#endif
