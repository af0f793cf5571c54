#include "sapphirereel/daemon/report_log.hpp"

namespace sapphirereel::daemon {

auto log_report(logger& log, report const& what) -> void
{
    switch (what.level)
    {
    case report_level::info:
        log.info(what.module, what.message);
        break;
    case report_level::warning:
        log.warning(what.module, what.message);
        break;
    case report_level::error:
        log.error(what.module, what.message);
        break;
    }
}

} // namespace sapphirereel::daemon
