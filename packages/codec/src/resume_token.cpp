#include "sapphirereel/codec/resume_token.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <vector>

namespace sapphirereel::codec {
namespace {

using byte_vector = std::vector<std::uint8_t>;

constexpr auto token_version = std::uint8_t{1};
constexpr auto signature_bytes = std::size_t{16};
constexpr auto base64_variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
constexpr auto field_count = std::size_t{10};

using signature = std::array<std::uint8_t, signature_bytes>;

auto sign(std::uint8_t const* data, std::size_t size, signing_key const& key)
    -> signature
{
    auto made = signature{};
    crypto_generichash(
        made.data(), made.size(), data, size, key.bytes.data(),
        key.bytes.size());
    return made;
}

auto to_base64(byte_vector const& bytes) -> std::string
{
    auto const size = sodium_base64_encoded_len(bytes.size(), base64_variant);
    auto text = std::string(size, '\0');
    sodium_bin2base64(
        text.data(), text.size(), bytes.data(), bytes.size(), base64_variant);
    text.pop_back();
    return text;
}

auto from_base64(std::string_view text) -> tl::expected<byte_vector, int>
{
    // At least one byte, since the library takes no null pointer.
    auto bytes = byte_vector(text.size() + 1);
    auto size = std::size_t{0};
    char const* end = nullptr;
    auto const status = sodium_base642bin(
        bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &size,
        &end, base64_variant);
    if (status != 0 || end != text.data() + text.size())
    {
        return tl::unexpected{status};
    }
    bytes.resize(size);
    return bytes;
}

auto to_fields(resume_token const& token) -> nlohmann::json
{
    auto const& place = token.place;
    return nlohmann::json::array(
        {token.service.str(), token.run.str(), place.endpoint.str(),
         place.address.ip, place.address.port, place.resumes_prefix,
         token.request.str(), token.next_index, token.attachment_number,
         token.output});
}

auto from_fields(nlohmann::json const& fields) -> resume_token
{
    auto const text = [&fields](std::size_t i) {
        return fields.at(i).get<std::string>();
    };
    auto const address =
        socket_address{text(3), fields.at(4).get<std::uint16_t>()};
    return {
        service_name{text(0)},
        run_id{text(1)},
        {endpoint_id{text(2)}, address, fields.at(5).get<bool>()},
        digest{text(6)},
        fields.at(7).get<std::uint64_t>(),
        fields.at(8).get<std::uint64_t>(),
        fields.at(9).get<std::uint64_t>()};
}

auto has_valid_numbers(nlohmann::json const& fields) -> bool
{
    return fields.is_array() && fields.size() == field_count &&
           fields[4].is_number_unsigned() && fields[4] <= UINT16_MAX &&
           fields[7].is_number_unsigned() && fields[8].is_number_unsigned() &&
           fields[9].is_number_unsigned();
}

auto has_valid_signature(byte_vector const& bytes, signing_key const& key)
    -> bool
{
    auto const signed_size = bytes.size() - signature_bytes;
    auto const expected = sign(bytes.data(), signed_size, key);
    auto const* const found = bytes.data() + signed_size;
    return sodium_memcmp(found, expected.data(), expected.size()) == 0;
}

} // namespace

auto encode_resume_token(resume_token const& token, signing_key const& key)
    -> std::string
{
    auto bytes = byte_vector{token_version};
    nlohmann::json::to_msgpack(to_fields(token), bytes);
    auto const signed_by = sign(bytes.data(), bytes.size(), key);
    bytes.insert(bytes.end(), signed_by.begin(), signed_by.end());
    return to_base64(bytes);
}

auto decode_resume_token(std::string_view text, signing_key const& key)
    -> tl::expected<resume_token, resume_token_error>
{
    if (text.size() > max_resume_token_characters)
    {
        return tl::unexpected{resume_token_error::too_long};
    }
    auto const bytes = from_base64(text);
    if (!bytes)
    {
        return tl::unexpected{resume_token_error::not_base64};
    }
    if (bytes->size() <= signature_bytes + 1)
    {
        return tl::unexpected{resume_token_error::malformed};
    }
    if (bytes->front() != token_version)
    {
        return tl::unexpected{resume_token_error::unknown_version};
    }
    if (!has_valid_signature(*bytes, key))
    {
        return tl::unexpected{resume_token_error::bad_signature};
    }
    auto const fields = nlohmann::json::from_msgpack(
        bytes->begin() + 1,
        bytes->end() - static_cast<std::ptrdiff_t>(signature_bytes), true,
        false);
    if (!has_valid_numbers(fields))
    {
        return tl::unexpected{resume_token_error::malformed};
    }
    try
    {
        return from_fields(fields);
    }
    catch (nlohmann::json::exception const&)
    {
        return tl::unexpected{resume_token_error::malformed};
    }
}

auto describe(resume_token_error error) -> std::string_view
{
    switch (error)
    {
    case resume_token_error::too_long:
        return "the resume id is too long";
    case resume_token_error::not_base64:
        return "the resume id has characters that no resume id has";
    case resume_token_error::unknown_version:
        return "the resume id is of an unknown version";
    case resume_token_error::bad_signature:
        return "the resume id was changed, cut, or made by another system";
    case resume_token_error::malformed:
        return "the resume id is incomplete";
    }
    return "the resume id is not valid";
}

} // namespace sapphirereel::codec
