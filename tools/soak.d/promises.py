"""The promises that are checked, from what callers and replicas saw."""

import math
from dataclasses import dataclass

import odd_entries
import replicas as serving
from daemons import BYTES_PER_MB, DRAIN_MS, MEMORY_MB
from findings import Finding

# Bounds of this deployment, in seconds.
RECOVERY_BOUND_S = 12.0
EVACUATION_BOUND_S = 5.0
MOST_PER_COLD_SECOND = int(serving.COLD_PER_S * 1.5 + 5)
LEAST_SHARE_SERVED_AT_REST = 0.95

# For how long a replica goes on to serve whose entry was removed, and how late a
# stand-in may read what has arrived.
DRAIN_S = DRAIN_MS / 1e3
DRAIN_SLACK_S = 0.1
# Time without a disturbance after which the store, and a daemon, count as stable.
STABLE_S = 3.0
# For how long an earlier replica may still work on what goes on elsewhere.
OVERLAP_BOUND_S = 0.4

MOST_LOST = 3
# Time in which a fault may still show.
DISTURBANCE_AFTERMATH_S = 1.0
# Replicas answer within this time, unless disturbed; routes allow more.
LONGEST_ANSWER_S = 4.0

# The build that is replaced; its faults are known and printed apart.
OLD_BUILD = "old"

NOT_RUN = (408, 421, 429, 503)
# What a client that does not behave may be told; else its connection is closed.
CROWD_ANSWERS = (400, 408, 413, 431, 503)
MOST_RUNS = {"safe": 2, "resume": 3}


@dataclass
class Evacuation:
    """A zone out of service, from and until the store accepted the records."""

    zone: str
    since: float
    until: float = math.inf

    def is_open(self):
        return self.until == math.inf

    def is_in_force(self, at, outages):
        """Whether the bound has passed, not counting the time of outages."""
        known_for = at - self.since - time_within(outages, self.since, at)
        return at <= self.until and known_for > EVACUATION_BOUND_S


def time_within(spans, since, until):
    """The part of a time that lies within any of the spans."""
    total = 0.0
    for start, end in sorted(spans):
        start, end = max(start, since), min(end, until)
        if end > start:
            total += end - start
            since = end
    return total


def whole_stream(request_id, after=0):
    events = []
    for number in range(after + 1, serving.EVENTS + 1):
        last = " last" if number == serving.EVENTS else ""
        events.append(f"id: {number}\ndata: {request_id}{last}\n\n")
    return "".join(events).encode()


def broken(got, what):
    """A finding about one outcome."""
    return Finding(f"{got.kind} {got.id} of {got.daemon} {what}", got.build)


def runs_too_often(outcomes, ledger):
    for got in outcomes:
        # Runs of one id count together, however often it was sent.
        if got.is_sent_again:
            continue
        most = MOST_RUNS.get(got.kind, 1)
        # What goes on from the memory of a run is the same run.
        runs = [run for run in ledger.get(got.id, []) if not run.is_continued]
        if len(runs) > most:
            where = ", ".join(run.replica for run in runs)
            yield broken(got, f"ran {len(runs)} times: {where}")


def refused_and_run(outcomes, ledger):
    for got in outcomes:
        # Who made the answer doesn't matter: the status is the promise.
        is_promise = got.status in NOT_RUN
        runs = ledger.get(got.id, [])
        ran = any(run.at < got.sent_again_at for run in runs)
        if got.kind != "safe" and is_promise and ran:
            yield broken(got, f"got {got.status} and ran")


def gave_status(runs, got):
    """A resumed stream keeps its first run's head; others have the last one's."""
    heads = runs if got.kind == "resume" else runs[-1:]
    return any(run.status in (got.status, 0) for run in heads)


def wrong_answers(outcomes, ledger):
    for got in outcomes:
        runs = ledger.get(got.id, [])
        signed = [run for run in runs if got.signature == f"{run.replica}.{got.id}"]
        if got.status == 200 and not signed:
            yield broken(got, "got a success that no replica signed")
        elif got.signature and signed and not gave_status(signed, got):
            yield broken(got, f"got {got.status}, its replica gave another")
        elif got.status == 200 and got.kind in ("stream", "resume"):
            wanted = whole_stream(got.id, got.after)
            if got.body != wanted[: len(got.body)] or (got.whole and got.body != wanted):
                yield broken(
                    got,
                    f"after {got.after} is not in order, or looks complete and is "
                    f"not: {got.body[-60:]}",
                )
        elif got.status == 200 and got.whole and got.body != signed[-1].body:
            yield broken(got, "got another body than its replica gave")


def answers_to_others(outcomes):
    for got in outcomes:
        if got.answered_id not in ("", got.id):
            yield broken(got, f"got an answer to {got.answered_id}")


def stray_successes(stray):
    """Answers to no request, as pairs of daemon and status; failures may be."""
    for daemon, status in stray:
        if status < 400:
            yield Finding(f"{daemon} sent {status} while no request waited")


def lost_by_sound_processes(outcomes, ledger, daemons, replicas):
    """Requests on kept connections that ran and whose answers were cut off."""
    daemon_at = {each.callers: each for each in daemons}
    replica_of = {each.id: each for each in replicas}

    def is_lost(got):
        since, until = got.sent_at - DISTURBANCE_AFTERMATH_S, got.ended_at
        serving_it = [replica_of[run.replica] for run in ledger.get(got.id, [])]
        is_cut = got.status in (0, 200) and not got.whole
        return (
            is_cut
            and got.on_kept_connection
            and until - got.sent_at < LONGEST_ANSWER_S
            and not daemon_at[got.daemon].outages.touch(since, until)
            and serving_it
            and all(each.is_sound(since, until) for each in serving_it)
        )

    lost = [got for got in outcomes if is_lost(got)]
    if len(lost) > MOST_LOST:
        for got in lost:
            yield broken(got, f"was cut off with {got.status} on a kept connection")


def worked_on_twice(outcomes, ledger, daemons, replicas):
    """Streams that went on elsewhere while a replica that could be asked worked on."""
    daemon_at = {each.callers: each for each in daemons}
    replica_of = {each.id: each for each in replicas}
    for got in outcomes:
        if got.is_sent_again:
            continue
        runs = sorted(ledger.get(got.id, []), key=lambda run: run.at)
        for earlier, later in zip(runs, runs[1:]):
            if earlier.ended is None or earlier.replica == later.replica:
                continue
            since, until = later.at - STABLE_S, later.at + OVERLAP_BOUND_S
            if (
                earlier.ended > until
                and daemon_at[got.daemon].was_calm(since, until)
                and replica_of[earlier.replica].is_reached(since, until)
            ):
                still_ms = (earlier.ended - later.at) * 1e3
                yield broken(
                    got, f"went on at {later.replica}, {earlier.replica} still "
                    f"worked on it {still_ms:.0f} ms later"
                )


def late_after_removal(outcomes, daemons, replicas, store, lags):
    """Requests to a replica whose entry was removed while the store was stable."""
    sent = {}
    for got in outcomes:
        sent.setdefault(got.id, []).append(got)
    daemon_at = {each.callers: each for each in daemons}
    for replica in replicas:
        for request_id, at in replica.after_removal:
            of_id = sent.get(request_id, [])
            got = next((each for each in of_id if at < each.sent_again_at), None)
            since = at - STABLE_S
            if (
                at - replica.removed_at > DRAIN_S + DRAIN_SLACK_S
                and got is not None
                and daemon_at[got.daemon].was_calm(since, at)
                and store.was_calm(replica.removed_at - STABLE_S, at)
                and replica.is_reached(replica.removed_at, at)
                and not lags.touch(at - 1, at)
            ):
                late_ms = (at - replica.removed_at) * 1e3
                yield broken(
                    got, f"reached {replica.id} {late_ms:.0f} ms after the removal "
                    "of its entry"
                )


def wrong_customers(outcomes, ledger, customers):
    for got in outcomes:
        for run in ledger.get(got.id, []):
            if run.customer != customers[got.key] or run.credential:
                yield broken(got, f"reached {run.replica} as '{run.customer}'")


def unasked_runs(outcomes, ledger):
    asked = {got.id for got in outcomes}
    for request_id in ledger:
        if request_id not in asked:
            yield Finding(f"{request_id} ran and no caller sent it")


def late_at_leaving(outcomes, daemons, replicas, store, lags, bounds):
    """Requests to a replica that said while the store was stable that it leaves."""
    sent = {}
    for got in outcomes:
        sent.setdefault(got.id, []).append(got)
    daemon_at = {each.callers: each for each in daemons}
    for replica in replicas:
        for request_id, at in replica.after_notice:
            of_id = sent.get(request_id, [])
            got = next((each for each in of_id if at < each.sent_again_at), None)
            late_s = at - replica.left_at
            if (
                late_s > bounds.drain + DRAIN_SLACK_S
                and got is not None
                and daemon_at[got.daemon].was_calm(at - bounds.stable, at)
                and store.was_calm(replica.left_at - bounds.stable, at)
                and replica.is_reached(replica.left_at, at)
                and not lags.touch(at - 1, at)
            ):
                yield broken(
                    got, f"reached {replica.id} {late_s:.1f} s after it began to leave"
                )


def reached_evacuated(replicas, evacuations, outages):
    for order in evacuations:
        for replica in replicas:
            for at in replica.arrivals if replica.zone == order.zone else ():
                if order.is_in_force(at, outages):
                    late = at - order.since
                    yield Finding(
                        f"{replica.id} got a request {late:.1f} s after the "
                        f"evacuation of {order.zone}"
                    )


def reached_by_odd_entries(replicas):
    for replica in replicas:
        for wanted in replica.misdirected:
            if odd_entries.names_no_replica(wanted):
                yield Finding(
                    f"{replica.id} got a request for {wanted}, which names no replica"
                )


def too_many_while_cold(replicas):
    for replica in replicas:
        for start, end in replica.cold_spans:
            came = [at for at in replica.arrivals if start <= at <= end]
            for first, beyond in zip(came, came[MOST_PER_COLD_SECOND:]):
                if beyond - first < 1:
                    yield Finding(
                        f"{replica.id} got more than {MOST_PER_COLD_SECOND} requests "
                        f"in a second, {first - start:.1f} s after it became cold"
                    )
                    break


def fails(findings):
    """Whether anything is broken that an old build alone doesn't explain."""
    return any(each.build != OLD_BUILD for each in findings)


def ended_unasked(daemons):
    for daemon in daemons:
        if daemon.ended() and not daemon.may_end:
            yield daemon.finding(f"ended by itself: {daemon.process.returncode}")


def crowds_answered(answers):
    """Clients that do not behave get refusals, or their connection is closed."""
    for got in answers:
        if got.status not in CROWD_ANSWERS:
            yield Finding(
                f"{got.daemon} answered {got.status} to a crowd, {got.kind}", got.build
            )


def over_memory(daemons):
    """Processes that held more than their machine has; one finding each."""
    for daemon in daemons:
        most = {}
        for build, peak in daemon.memory_peaks:
            most[build] = max(peak, most.get(build, 0))
        for build, peak in most.items():
            if peak > MEMORY_MB * BYTES_PER_MB:
                peak_mb = peak / BYTES_PER_MB
                yield Finding(
                    f"{daemon.name} held {peak_mb:.0f} MB of {MEMORY_MB} MB", build
                )


def not_recovered(outcomes):
    served = sum(got.status == 200 and got.whole for got in outcomes)
    if served < LEAST_SHARE_SERVED_AT_REST * len(outcomes):
        yield Finding(f"at rest {served} of {len(outcomes)} requests were served")
