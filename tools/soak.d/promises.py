"""The promises that are checked, from what callers and replicas saw."""

import replicas as serving

# Bounds of this deployment, in seconds.
CONFIGURATION_BOUND_S = 9.0
DRAIN_BOUND_S = 5.0
RECOVERY_BOUND_S = 12.0
LEAST_SHARE_SERVED_AT_REST = 0.95

NOT_RUN = (408, 421, 429, 503)
MOST_SAFE_RUNS = 2


def whole_stream(request_id):
    events = []
    for number in range(1, serving.EVENTS + 1):
        last = " last" if number == serving.EVENTS else ""
        events.append(f"id: {number}\ndata: {request_id}{last}\n\n")
    return "".join(events).encode()


def runs_too_often(outcomes, ledger):
    for got in outcomes:
        most = MOST_SAFE_RUNS if got.kind == "safe" else 1
        runs = ledger.get(got.id, [])
        if len(runs) > most:
            where = ", ".join(run.replica for run in runs)
            yield f"{got.kind} {got.id} ran {len(runs)} times: {where}"


def refused_and_run(outcomes, ledger):
    for got in outcomes:
        is_promise = got.status in NOT_RUN and not got.signature
        if got.kind != "safe" and is_promise and got.id in ledger:
            yield f"{got.kind} {got.id} got {got.status} of {got.daemon} and ran"


def wrong_answers(outcomes, ledger):
    for got in outcomes:
        runs = ledger.get(got.id, [])
        signed = [run for run in runs if got.signature == f"{run.replica}.{got.id}"]
        if got.status == 200 and not signed:
            yield f"{got.kind} {got.id} got a success that no replica signed"
        elif got.signature and signed and signed[-1].status not in (got.status, 0):
            yield f"{got.kind} {got.id} got {got.status}, its replica gave another"
        elif got.status == 200 and got.kind == "stream":
            wanted = whole_stream(got.id)
            if got.body != wanted[: len(got.body)] or (got.whole and got.body != wanted):
                yield f"stream {got.id} is not in order, or looks complete and is not"
        elif got.status == 200 and got.whole and got.body != signed[-1].body:
            yield f"{got.kind} {got.id} got another body than its replica gave"


def wrong_customers(outcomes, ledger, customers):
    for got in outcomes:
        for run in ledger.get(got.id, []):
            if run.customer != customers[got.key] or run.credential:
                yield f"{got.id} reached {run.replica} as '{run.customer}'"


def unasked_runs(outcomes, ledger):
    asked = {got.id for got in outcomes}
    for request_id in ledger:
        if request_id not in asked:
            yield f"{request_id} ran and no caller sent it"


def late_at_leaving(replicas):
    for replica in replicas:
        for at in replica.late_arrivals:
            if at - replica.left_at > DRAIN_BOUND_S:
                late = at - replica.left_at
                yield f"{replica.id} got a request {late:.1f} s after it began to leave"


def ended_unasked(daemons):
    for daemon in daemons:
        if daemon.ended() and not daemon.may_end:
            yield f"{daemon.name} ended by itself: {daemon.process.returncode}"


def not_recovered(outcomes):
    served = sum(got.status == 200 and got.whole for got in outcomes)
    if served < LEAST_SHARE_SERVED_AT_REST * len(outcomes):
        yield f"at rest {served} of {len(outcomes)} requests were served"
