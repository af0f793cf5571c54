"""Each promise of the soak is found broken where it is, and kept where it is not."""

import os
import sys
import unittest

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "..", "tools", "soak.d"))

import promises  # noqa: E402
from callers import Outcome  # noqa: E402
from replicas import Run  # noqa: E402


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

    def test_refusals_are_true(self):
        refused = outcome(status=503, signature="")
        self.assertFalse(found(promises.refused_and_run, refused, []))
        self.assertTrue(found(promises.refused_and_run, refused, [run()]))
        promised_nothing = outcome(status=502, signature="")
        self.assertFalse(found(promises.refused_and_run, promised_nothing, [run()]))

    def test_answers_are_the_replicas(self):
        self.assertFalse(found(promises.wrong_answers, outcome(), [run()]))
        self.assertTrue(found(promises.wrong_answers, outcome(), []))
        other = outcome(body=b"another")
        self.assertTrue(found(promises.wrong_answers, other, [run()]))
        turned = outcome(status=502)
        self.assertTrue(found(promises.wrong_answers, turned, [run(status=500)]))
        cut = outcome(body=b"ans", whole=False)
        self.assertFalse(found(promises.wrong_answers, cut, [run()]))

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

    def test_service_comes_back(self):
        served = [outcome()] * 99
        lost = outcome(status=0, whole=False)
        self.assertFalse(list(promises.not_recovered(served + [lost])))
        self.assertTrue(list(promises.not_recovered(served[:50] + [lost] * 50)))


if __name__ == "__main__":
    unittest.main()
