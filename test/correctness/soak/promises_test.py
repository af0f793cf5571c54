"""Each promise of the soak is found broken where it is, and kept where it is not."""

import os
import random
import subprocess
import sys
import unittest

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "..", "tools", "soak.d"))

import lost_readers  # noqa: E402
import odd_entries  # noqa: E402
import promises  # noqa: E402
from bounds import Bounds  # noqa: E402
from callers import Outcome  # noqa: E402
from crowds import CrowdAnswer  # noqa: E402
from daemons import Build, Daemon  # noqa: E402
from replicas import Replica, Run  # noqa: E402
from spans import Spans  # noqa: E402
from store import Store  # noqa: E402


def outcome(kind="unsafe", status=200, whole=True, body=b"answer", signature="i.r"):
    return Outcome("r", kind, "key", "daemon", 0.0, status, signature, body, whole)


def run(status=200, customer="c", credential="", body=b"answer"):
    return Run("i", 0.0, customer, credential, status, body)


def found(check, got, runs, *more):
    return list(check([got], {"r": runs} if runs else {}, *more))


class Promises(unittest.TestCase):
    def test_one_run_of_what_may_run_once(self):
        self.assertFalse(found(promises.runs_too_often, outcome(), [run()]))
        self.assertTrue(found(promises.runs_too_often, outcome(), [run(), run()]))
        safe = outcome(kind="safe")
        self.assertFalse(found(promises.runs_too_often, safe, [run(), run()]))
        self.assertTrue(found(promises.runs_too_often, safe, [run()] * 3))

    def test_what_goes_on_from_memory_is_one_run(self):
        stream = outcome(kind="stream", body=promises.whole_stream("r"))
        continued = run()
        continued.is_continued = True
        self.assertFalse(found(promises.runs_too_often, stream, [run(), continued]))
        self.assertTrue(found(promises.runs_too_often, stream, [run(), run()]))

    def test_no_replica_works_on_what_went_on_elsewhere(self):
        def worked_on(ended, disturb=None, replica_id="other"):
            daemon = Daemon(Build("new", ""), "", "127.0.0.1", "z", [])
            replica = Replica("engine", "z", {})
            if disturb:
                disturb(daemon, replica)
            earlier = Run(replica.id, 100.0, "c", "", ended=ended)
            later = Run(replica_id or replica.id, 101.0, "c", "")
            got = Outcome("r", "stream", "key", daemon.callers, 99.9)
            ledger = {"r": [later, earlier]}
            return list(
                promises.worked_on_twice([got], ledger, [daemon], [replica])
            )

        self.assertFalse(worked_on(101.4))
        self.assertTrue(worked_on(101.5))
        self.assertFalse(worked_on(101.5, replica_id=""))
        # A daemon or a replica that was cut off can't ask, or be asked.
        self.assertFalse(
            worked_on(102.0, lambda daemon, _: daemon.outages.note(True, 100.5))
        )
        link = "disturbances"
        self.assertFalse(
            worked_on(
                102.0, lambda _, replica: getattr(replica.proxy, link).note(True, 101.2)
            )
        )
        # Answers that are spoiled don't keep it from being asked.
        self.assertTrue(
            worked_on(102.0, lambda _, replica: replica._disturbances.note(True, 100.5))
        )

    def test_removed_replicas_are_left_alone(self):
        def late(at, disturb=None):
            daemon = Daemon(Build("new", ""), "", "127.0.0.1", "z", [])
            replica, store, lags = Replica("plain", "z", {}), Store(), Spans()
            replica.removed_at = 100.0
            replica.after_removal = [("r", at)]
            if disturb:
                disturb(daemon, store, lags)
            got = Outcome("r", "unsafe", "key", daemon.callers, at - 0.1)
            return list(
                promises.late_after_removal([got], [daemon], [replica], store, lags)
            )

        self.assertFalse(late(101.55))
        self.assertTrue(late(101.7))
        # Not where the store was not stable, the daemon disturbed, or the loop late.
        self.assertFalse(late(101.7, lambda _, store, __: store.outages.append((96, 98))))
        self.assertTrue(late(101.7, lambda _, store, __: store.outages.append((93, 96))))
        self.assertFalse(late(101.7, lambda daemon, *_: daemon._touches.append(100.0)))
        self.assertFalse(late(101.7, lambda _, __, lags: lags.note(True, 101.5)))

    def test_leaving_replicas_are_left_alone(self):
        def late(at, disturb=None, daemons=6):
            daemon = Daemon(Build("new", ""), "", "127.0.0.1", "z", [])
            replica, store, lags = Replica("plain", "z", {}), Store(), Spans()
            replica.left_at = 100.0
            replica.after_notice = [("r", at)]
            if disturb:
                disturb(daemon, store, lags)
            got = Outcome("r", "unsafe", "key", daemon.callers, at - 0.1)
            bounds = Bounds.of_daemons(daemons)
            return list(
                promises.late_at_leaving(
                    [got], [daemon], [replica], store, lags, bounds
                )
            )

        self.assertFalse(late(102.05))
        self.assertTrue(late(102.2))
        # Larger deployments have more time.
        self.assertFalse(late(102.2, daemons=90))
        self.assertTrue(late(103.2, daemons=90))
        self.assertFalse(late(103.2, daemons=295))
        # Not where the store was not stable, the daemon disturbed, or the loop late.
        self.assertFalse(late(102.2, lambda _, store, __: store.outages.append((96, 98))))
        self.assertFalse(late(102.2, lambda daemon, *_: daemon._touches.append(100.0)))
        self.assertFalse(late(102.2, lambda _, __, lags: lags.note(True, 102.0)))

    def test_readers_are_lost_in_the_order_in_which_they_read(self):
        places = [("10.0.0.2", "a"), ("10.0.0.1", "a"), ("10.1.0.1", "b")]
        made = [Daemon(Build("new", ""), "", ip, zone, []) for ip, zone in places]
        ordered = [each.ip for each in lost_readers.in_order(made)]
        self.assertEqual(ordered, ["10.0.0.1", "10.1.0.1", "10.0.0.2"])

    def test_refusals_are_true(self):
        refused = outcome(status=503, signature="")
        self.assertFalse(found(promises.refused_and_run, refused, []))
        self.assertTrue(found(promises.refused_and_run, refused, [run()]))
        signed = outcome(status=503)
        self.assertTrue(found(promises.refused_and_run, signed, [run(status=503)]))
        promised_nothing = outcome(status=502, signature="")
        self.assertFalse(found(promises.refused_and_run, promised_nothing, [run()]))

    def test_an_id_that_is_sent_again_runs_once_in_all(self):
        refused, again = outcome(status=503, signature=""), outcome()
        refused.sent_again_at = 100.0
        ran_before, ran_after = run(), run()
        ran_before.at, ran_after.at = 99.9, 100.1

        def broken(check, runs):
            return list(check([refused, again], {"r": runs}))

        self.assertFalse(broken(promises.refused_and_run, [ran_after]))
        self.assertTrue(broken(promises.refused_and_run, [ran_before]))
        self.assertFalse(broken(promises.runs_too_often, [ran_after]))
        twice = broken(promises.runs_too_often, [ran_before, ran_after])
        self.assertEqual(1, len(twice))
        again.status = 503
        self.assertTrue(broken(promises.refused_and_run, [ran_after]))

    def test_removals_count_for_the_sending_that_arrived(self):
        sound = Daemon(Build("new", ""), "", "127.0.0.1", "z", [])
        disturbed = Daemon(Build("new", ""), "", "127.0.0.2", "z", [])
        disturbed._touches.append(101.0)
        replica = Replica("plain", "z", {})
        replica.removed_at = 100.0
        replica.after_removal = [("r", 101.7)]
        refused = Outcome("r", "unsafe", "key", sound.callers, 101.6, 503)
        refused.sent_again_at = 101.8
        again = Outcome("r", "unsafe", "key", disturbed.callers, 101.8)
        daemons = [sound, disturbed]

        def late(outcomes):
            return list(
                promises.late_after_removal(
                    outcomes, daemons, [replica], Store(), Spans()
                )
            )

        self.assertTrue(late([refused, again]))
        replica.after_removal = [("r", 101.9)]
        self.assertFalse(late([refused, again]))

    def test_answers_are_the_replicas(self):
        self.assertFalse(found(promises.wrong_answers, outcome(), [run()]))
        self.assertTrue(found(promises.wrong_answers, outcome(), []))
        other = outcome(body=b"another")
        self.assertTrue(found(promises.wrong_answers, other, [run()]))
        turned = outcome(status=502)
        self.assertTrue(found(promises.wrong_answers, turned, [run(status=500)]))
        cut = outcome(body=b"ans", whole=False)
        self.assertFalse(found(promises.wrong_answers, cut, [run()]))

    def test_answers_name_their_request(self):
        got = outcome()
        self.assertFalse(list(promises.answers_to_others([got])))
        got.answered_id = "r"
        self.assertFalse(list(promises.answers_to_others([got])))
        got.answered_id = "another"
        self.assertTrue(list(promises.answers_to_others([got])))

    def test_no_success_without_a_request(self):
        self.assertFalse(list(promises.stray_successes([("daemon", 408)])))
        self.assertTrue(list(promises.stray_successes([("daemon", 200)])))
        self.assertTrue(list(promises.stray_successes([("daemon", 0)])))

    def test_sound_processes_lose_few_answers(self):
        def lost(count, disturb=None, status=0, is_kept=True):
            daemon = Daemon(Build("new", ""), "", "127.0.0.1", "z", [])
            replica = Replica("plain", "z", {})
            if disturb:
                disturb(daemon, replica)
            got = Outcome("r", "unsafe", "key", daemon.callers, 10.0, status)
            got.on_kept_connection, got.ended_at = is_kept, 11.0
            ledger = {"r": [Run(replica.id, 10.1, "c", "")]}
            return list(
                promises.lost_by_sound_processes(
                    [got] * count, ledger, [daemon], [replica]
                )
            )

        self.assertFalse(lost(promises.MOST_LOST))
        self.assertTrue(lost(promises.MOST_LOST + 1))
        self.assertTrue(lost(9, status=200))
        self.assertFalse(lost(9, status=502))
        self.assertFalse(lost(9, is_kept=False))
        self.assertFalse(lost(9, lambda daemon, _: daemon.outages.note(True, 10.5)))
        self.assertTrue(lost(9, lambda daemon, _: daemon.outages.note(True, 11.5)))
        link = "disturbances"
        self.assertFalse(
            lost(9, lambda _, replica: getattr(replica.proxy, link).note(True, 10.5))
        )

    def test_streams_are_whole_or_visibly_broken(self):
        whole = promises.whole_stream("r")
        good = outcome(kind="stream", body=whole)
        self.assertFalse(found(promises.wrong_answers, good, [run()]))
        looks_complete = outcome(kind="stream", body=whole[:200])
        self.assertTrue(found(promises.wrong_answers, looks_complete, [run()]))
        broken = outcome(kind="stream", body=whole[:200], whole=False)
        self.assertFalse(found(promises.wrong_answers, broken, [run()]))
        twice = outcome(kind="stream", body=whole[:20] + whole[:20], whole=False)
        self.assertTrue(found(promises.wrong_answers, twice, [run()]))

    def test_resumed_streams_have_each_event_once(self):
        def resumed(body, whole=True):
            got = outcome(kind="resume", body=body, whole=whole)
            got.after = 10
            return got

        rest = promises.whole_stream("r", 10)
        self.assertFalse(found(promises.wrong_answers, resumed(rest), [run()]))
        cut = resumed(rest[:50], whole=False)
        self.assertFalse(found(promises.wrong_answers, cut, [run()]))
        again = resumed(promises.whole_stream("r"))
        self.assertTrue(found(promises.wrong_answers, again, [run()]))
        missing = resumed(promises.whole_stream("r", 11))
        self.assertTrue(found(promises.wrong_answers, missing, [run()]))
        joined = resumed(rest[:9] + rest, whole=False)
        self.assertTrue(found(promises.wrong_answers, joined, [run()]))
        self.assertFalse(found(promises.runs_too_often, cut, [run()] * 3))
        self.assertTrue(found(promises.runs_too_often, cut, [run()] * 4))

    def test_evacuated_zones_get_nothing_after_the_bound(self):
        order = promises.Evacuation("z", since=100.0, until=110.0)

        def late(at, outages=()):
            replica = Replica("plain", "z", {})
            replica.arrivals = [at]
            return list(promises.reached_evacuated([replica], [order], outages))

        self.assertFalse(late(104.9))
        self.assertTrue(late(105.1))
        self.assertFalse(late(110.1))
        # Outages count once where they overlap.
        outages = [(99.0, 102.0), (101.0, 103.0)]
        self.assertFalse(late(107.9, outages))
        self.assertTrue(late(108.1, outages))

    def test_odd_entries_get_no_requests(self):
        def reached(wanted):
            replica = Replica("plain", "z", {})
            replica.misdirected = [wanted]
            return list(promises.reached_by_odd_entries([replica]))

        entries = odd_entries.of(random.Random(1), ["127.0.0.1:1"])
        keys = [key for key, _ in entries]
        unusable = [key for key in keys if odd_entries.names_no_replica(key)]
        self.assertTrue(unusable)
        self.assertTrue(all(reached(key) for key in unusable))
        self.assertFalse(reached("i-0001"))

    def test_cold_replicas_get_few_requests_in_any_second(self):
        def too_many(arrivals):
            replica = Replica("plain", "z", {})
            replica.cold_spans = [(100.0, 104.0)]
            replica.arrivals = arrivals
            return list(promises.too_many_while_cold([replica]))

        most = promises.MOST_PER_COLD_SECOND
        burst = [101.5 + 0.01 * at for at in range(most + 1)]
        self.assertFalse(too_many(burst[:most]))
        self.assertTrue(too_many(burst))
        self.assertFalse(too_many([at + 10 for at in burst]))

    def test_customers_are_set_by_the_system(self):
        customers = {"key": "c"}
        self.assertFalse(
            found(promises.wrong_customers, outcome(), [run()], customers)
        )
        forged = [run(customer="forged")]
        self.assertTrue(found(promises.wrong_customers, outcome(), forged, customers))
        leaked = [run(credential="key")]
        self.assertTrue(found(promises.wrong_customers, outcome(), leaked, customers))

    def test_nothing_runs_unasked(self):
        self.assertFalse(list(promises.unasked_runs([outcome()], {"r": [run()]})))
        self.assertTrue(list(promises.unasked_runs([outcome()], {"x": [run()]})))

    def test_old_builds_are_told_apart(self):
        refused = outcome(status=503, signature="")
        refused.build = promises.OLD_BUILD
        by_old = found(promises.refused_and_run, refused, [run()])
        self.assertFalse(promises.fails(by_old))
        refused.build = "new"
        by_new = found(promises.refused_and_run, refused, [run()])
        self.assertTrue(promises.fails(by_old + by_new))
        # Where the build isn't known it is nobody's excuse.
        unknown = list(promises.unasked_runs([], {"x": [run()]}))
        self.assertTrue(promises.fails(unknown))

    def test_the_build_of_a_moment(self):
        daemon = Daemon(Build("new", ""), "", "127.0.0.1", "z", [])
        daemon._starts = [(1.0, "old"), (5.0, "new")]
        self.assertEqual("old", daemon.build_at(4.9))
        self.assertEqual("new", daemon.build_at(5.0))

    def test_crowds_are_refused(self):
        def answered(status):
            got = CrowdAnswer("daemon", "endless at callers", status, "new")
            return list(promises.crowds_answered([got]))

        for status in (400, 408, 413, 431, 503):
            self.assertFalse(answered(status))
        for status in (0, 200, 500, 502, 504):
            self.assertTrue(answered(status))

    def test_processes_stay_within_their_memory(self):
        def over(*peaks_mb, build="new"):
            daemon = Daemon(Build("new", ""), "", "127.0.0.1", "z", [])
            daemon.memory_peaks = [(build, peak * 1_000_000) for peak in peaks_mb]
            return list(promises.over_memory([daemon]))

        self.assertFalse(over())
        self.assertFalse(over(20, 110))
        self.assertEqual(1, len(over(20, 111, 112)))
        self.assertFalse(promises.fails(over(111, build=promises.OLD_BUILD)))

    def test_the_most_memory_of_a_process_is_noted(self):
        daemon = Daemon(Build("new", ""), "", "127.0.0.1", "z", [])
        daemon.process = subprocess.Popen(["sleep", "60"])
        self.addCleanup(daemon.process.wait)
        self.addCleanup(daemon.process.kill)
        daemon._starts = [(1.0, "new")]
        daemon.note_memory()
        [(build, peak)] = daemon.memory_peaks
        self.assertEqual("new", build)
        self.assertGreater(peak, 0)

    def test_service_comes_back(self):
        served = [outcome()] * 99
        lost = outcome(status=0, whole=False)
        self.assertFalse(list(promises.not_recovered(served + [lost])))
        self.assertTrue(list(promises.not_recovered(served[:50] + [lost] * 50)))


if __name__ == "__main__":
    unittest.main()
