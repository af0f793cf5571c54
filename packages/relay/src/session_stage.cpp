#include "sapphirereel/relay/session_stage.hpp"

namespace sapphirereel::relay {

auto name_of(session_stage stage) -> std::string_view
{
    switch (stage)
    {
    case session_stage::idle:
        return "idle";
    case session_stage::receiving:
        return "receiving";
    case session_stage::waiting:
        return "waiting";
    case session_stage::answering:
        return "answering";
    case session_stage::flushing:
        return "flushing";
    case session_stage::count_of_stages:
        break;
    }
    return "unknown";
}

auto name_of(session_end end) -> std::string_view
{
    switch (end)
    {
    case session_end::caller:
        return "caller";
    case session_end::daemon:
        return "daemon";
    case session_end::exit:
        return "exit";
    case session_end::count_of_ends:
        break;
    }
    return "unknown";
}

} // namespace sapphirereel::relay
