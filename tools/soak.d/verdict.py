"""The verdict of a soak: each promise, applied to what was seen in it."""

import promises
from replicas import COLD_S


def findings(soak, outcomes, at_rest):
    """All that is broken."""
    name_builds(outcomes, soak.daemons)
    replicas = soak.replicas + soak.gone
    note_cold_returns(soak.evacuations, soak.store.outages, replicas)
    return [
        *of_callers(soak, outcomes, replicas),
        *of_replicas(soak, replicas),
        *promises.ended_unasked(soak.daemons),
        *promises.crowds_answered(soak.crowds.answers),
        *promises.over_memory(soak.daemons),
        *promises.not_recovered(at_rest),
    ]


def of_callers(soak, outcomes, replicas):
    """What callers saw, beside what ran for them."""
    yield from promises.runs_too_often(outcomes, soak.ledger)
    yield from promises.refused_and_run(outcomes, soak.ledger)
    yield from promises.wrong_answers(outcomes, soak.ledger)
    yield from promises.answers_to_others(outcomes)
    yield from promises.stray_successes(soak.stray)
    yield from promises.wrong_customers(outcomes, soak.ledger, soak.customers)
    yield from promises.unasked_runs(outcomes, soak.ledger)
    yield from promises.lost_by_sound_processes(
        outcomes, soak.ledger, soak.daemons, replicas
    )
    yield from promises.worked_on_twice(outcomes, soak.ledger, soak.daemons, replicas)
    yield from promises.late_after_removal(
        outcomes, soak.daemons, replicas, soak.store, soak.lags
    )
    yield from promises.late_at_leaving(
        outcomes, soak.daemons, replicas, soak.store, soak.lags, soak.bounds
    )


def of_replicas(soak, replicas):
    """What reached replicas that should not have."""
    yield from promises.reached_evacuated(
        replicas, soak.evacuations, soak.store.outages
    )
    yield from promises.too_many_while_cold(replicas)
    yield from promises.reached_by_odd_entries(replicas)


def name_builds(outcomes, daemons):
    by_address = {each.callers: each for each in daemons}
    for got in outcomes:
        got.build = by_address[got.daemon].build_at(got.sent_at)


def note_cold_returns(evacuations, outages, replicas):
    """Replicas of a returned zone are cold if its evacuation was known."""
    for order in evacuations:
        if order.is_in_force(order.until, outages):
            for each in replicas:
                if each.zone == order.zone:
                    each.cold_spans.append((order.until, order.until + COLD_S))
