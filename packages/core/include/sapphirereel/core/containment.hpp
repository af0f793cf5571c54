/// \file
/// Defines how an exception of one handler is kept from ending the work of
/// others: whoever runs handlers goes on, and reports what was thrown.
#ifndef SAPPHIREREEL_CORE_CONTAINMENT_HPP
#define SAPPHIREREEL_CORE_CONTAINMENT_HPP

#include <exception>

namespace sapphirereel {

/// Runs `work` and returns true. If it throws, passes the reason to `report`
/// and returns false.
template <class Work, class Report>
auto run_contained(Work const& work, Report const& report) -> bool
{
    try
    {
        work();
        return true;
    }
    catch (std::exception const& why)
    {
        report(why.what());
    }
    return false;
}

/// Runs an event loop until it ends. An exception of one of its handlers is
/// reported, and the loop goes on with the next handler.
template <class Loop, class Report>
auto run_loop_contained(Loop& loop, Report const& report) -> void
{
    while (!run_contained([&loop] { loop.run(); }, report))
    {}
}

/// Runs `work`, then `next`, which also runs if `work` throws: the exception
/// passes on after it. For work that repeats and schedules itself anew.
template <class Work, class Next>
auto run_then(Work const& work, Next const& next) -> void
{
    try
    {
        work();
    }
    catch (...)
    {
        next();
        throw;
    }
    next();
}

} // namespace sapphirereel

#endif
