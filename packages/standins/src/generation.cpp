#include "sapphirereel/standins/generation.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <xxhash.h>

namespace sapphirereel::standins {
namespace {

constexpr auto prefix_bytes = std::size_t{256};
constexpr auto bytes_per_token = std::uint64_t{4};
/// Scale and tail index of the Pareto distribution of lengths.
constexpr auto shortest_tokens = 8.0;
constexpr auto tail_index = 1.1;

auto hash_of(std::string_view text) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

auto generation_chain::state_deleter::operator()(XXH64_state_t* state) const
    -> void
{
    XXH64_freeState(state);
}

auto prompt_of(nlohmann::json const& request) -> std::string
{
    if (!request.contains("messages"))
    {
        return request.at("prompt").get<std::string>();
    }
    auto prompt = std::string{};
    for (auto const& message : request.at("messages"))
    {
        prompt += message.at("role").get<std::string>();
        prompt += ": ";
        prompt += message.at("content").get<std::string>();
        prompt += '\n';
    }
    return prompt;
}

auto prefix_digest(std::string_view prompt) -> digest
{
    return digest{
        fmt::format("{:016x}", hash_of(prompt.substr(0, prefix_bytes)))};
}

auto prompt_tokens(std::string_view prompt) -> std::uint64_t
{
    return prompt.size() / bytes_per_token + 1;
}

auto generation_length(std::string_view prompt, std::uint64_t max_length)
    -> std::uint64_t
{
    // The top 53 bits of the hash make a uniform number in (0, 1].
    auto const uniform =
        std::ldexp(static_cast<double>((hash_of(prompt) >> 11) + 1), -53);
    auto const length =
        std::ceil(shortest_tokens * std::pow(uniform, -1 / tail_index));
    auto const most = static_cast<double>(max_length);
    return static_cast<std::uint64_t>(std::clamp(length, 1.0, most));
}

generation_chain::generation_chain(std::string_view prompt)
    : state_(XXH64_createState())
{
    XXH64_reset(state_.get(), 0);
    XXH64_update(state_.get(), prompt.data(), prompt.size());
}

auto generation_chain::resume(std::string_view text, std::uint64_t tokens)
    -> void
{
    XXH64_update(state_.get(), text.data(), text.size());
    index_ += tokens;
}

auto generation_chain::next() -> std::string
{
    auto const hash = XXH64_digest(state_.get()) & 0xffff;
    auto token = fmt::format(" w{}.{:04x}", index_, hash);
    resume(token, 1);
    return token;
}

auto generation_chain::index() const -> std::uint64_t
{
    return index_;
}

auto verify_generation(std::string_view prompt, std::string_view text)
    -> tl::expected<std::uint64_t, generation_error>
{
    auto chain = generation_chain{prompt};
    while (!text.empty())
    {
        auto const index = chain.index();
        auto const expected = chain.next();
        auto const found = text.substr(0, expected.size());
        if (found != expected)
        {
            return tl::unexpected{
                generation_error{index, expected, std::string{found}}};
        }
        text.remove_prefix(expected.size());
    }
    return chain.index();
}

} // namespace sapphirereel::standins
