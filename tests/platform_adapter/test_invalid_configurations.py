"""Every way in which the users' page calls a configuration invalid, in every place of a long day.

Guards against CONFIG: an invalid one that was acknowledged or came into force, and a valid one that
is merely unusual and was refused.
"""

import json
import unittest

from tests.platform_adapter.test_configuration_translation import (
    ROUTE,
    SERVICE,
    ConfigurationTranslator,
    ControlWords,
    configuration,
    translated,
    without,
)
from tests.support.registry_world import World
from willowpost.shell.web import Request

TWO_ROUTES = ({}, {"path_prefix": "/buy/"})
SPLIT = [{"service": "s1", "weight": 3}, {"service": "s2", "weight": 1}]
# by the page's sentence: how to make a valid document of this version invalid
INVALID = {
    "a route names a service that is not known": (
        lambda version: configuration({}, {"service": "s9"}, version=version),
        lambda version: configuration({"service": "s9", "traffic_split": SPLIT}, version=version),
        lambda version: configuration(
            {"traffic_split": [*SPLIT, {"service": "s9", "weight": 0}]}, version=version
        ),
        lambda version: configuration({"service": 7, "traffic_split": SPLIT}, version=version),
        lambda version: configuration(services=[], version=version),
    ),
    "a `timeout` is 0": (
        lambda version: configuration({}, {"timeout": "0ms"}, version=version),
        lambda version: configuration({"timeout": "0s"}, version=version),
        lambda version: configuration({"timeout": 0}, version=version),
    ),
    "a `path_prefix` has no slash at its start": (
        lambda version: configuration({}, {"path_prefix": "buy/"}, version=version),
        lambda version: configuration({"path_prefix": " /art/"}, version=version),
        lambda version: configuration({"path_prefix": ""}, version=version),
    ),
    "a `route_kind` matches none": (
        lambda version: configuration({}, {"route_kind": "idempotent "}, version=version),
        lambda version: configuration({"route_kind": "GET"}, version=version),
        lambda version: {
            **configuration(version=version),
            "routes": [without(ROUTE, "route_kind")],
        },
    ),
    "the whole of it cannot be read": (
        lambda version: json.dumps(configuration(version=version))[:-1],
        lambda version: json.dumps(configuration(version=version))[:200],
        lambda version: json.dumps(configuration(version=version)) + "}",
        lambda version: json.dumps({**configuration(version=version), "more": float("nan")}),
        lambda version: json.dumps(configuration({"priority": float("inf")}, version=version)),
        lambda version: "",
        lambda version: [],
        lambda version: {**configuration(version=version), "routes": None},
    ),
}
# merely unusual: taken
UNUSUAL = {
    "a known service beside a split": lambda version: configuration(
        {"service": "s2", "traffic_split": SPLIT}, version=version
    ),
    "no service beside a split": lambda version: configuration(
        {"service": None, "traffic_split": SPLIT}, version=version
    ),
    "two routes for one place": lambda version: configuration(
        {}, {"service": "s2", "name": "r2"}, version=version
    ),
    "a split of weight 0": lambda version: configuration(
        {"traffic_split": [{"service": "s1", "weight": 0}, {"service": "s2"}]}, version=version
    ),
    "a timeout below a millisecond": lambda version: configuration(
        {"timeout": "0.2ms"}, version=version
    ),
    "a member that stands twice": lambda version: json.dumps(
        configuration(version=version)
    ).replace('"version": ', '"version": 1, "version": ', 1),
    "an unknown member": lambda version: {**configuration(version=version), "more": None},
    "a prefix without a slash at its end": lambda version: configuration(
        {"path_prefix": "/art"}, version=version
    ),
    "no routes": lambda version: {**configuration(version=version), "routes": []},
    "a service twice": lambda version: configuration(services=[SERVICE, SERVICE], version=version),
    "a number in exponents": lambda version: json.dumps(configuration(version=version)).replace(
        "16384", "1.6384e4", 1
    ),
}
CASES = [
    (sentence, number, make)
    for sentence, makers in INVALID.items()
    for number, make in enumerate(makers)
]


def body_of(document):
    return (document if isinstance(document, str) else json.dumps(document)).encode()


class Translation(unittest.TestCase):
    def test_each_invalid_one_is_refused(self):
        for sentence, number, make in CASES:
            with self.subTest(sentence=sentence, number=number):
                self.assertTrue(translated(body_of(make(7))).is_err())

    def test_no_unusual_one_is(self):
        for name, make in UNUSUAL.items():
            with self.subTest(name=name):
                self.assertTrue(translated(body_of(make(7))).is_ok())


class InPlace(World):
    """Through the registries' calls, with what is in force read back after each."""

    def setUp(self):
        super().setUp()
        self.version, self.in_force = 0, None

    def replace(self, document, first=0):
        words = ControlWords(self.fronts[first].routes(), ConfigurationTranslator(), None)
        return words.replace(Request("POST", "/v1/rpc", "", {}, body_of(document)), "").code

    def read(self, first=1):
        words = ControlWords(self.fronts[first].routes(), ConfigurationTranslator(), None)
        return words.read(Request("POST", "/v1/rpc", "", {}), "").value

    def take(self, first=0, count=1):
        for _ in range(count):
            self.version += 2
            self.in_force = configuration(
                *TWO_ROUTES, {"path_prefix": f"/{self.version}/"}, version=self.version
            )
            self.assertEqual(200, self.replace(self.in_force, first))

    def refused(self, version, first=0):
        """Every invalid one under this number: refused, and what was in force is."""
        for number, (sentence, _, make) in enumerate(CASES):
            code = self.replace(make(version), (first + number) % 2)
            self.assertEqual(400, code, (version, sentence, make(version)))
        if self.in_force is not None:
            self.assertEqual(self.in_force, self.read(first))

    def test_as_the_first_of_a_day(self):
        self.refused(7)
        self.assertEqual(404, self.read_code())
        self.take()
        self.assertEqual(self.in_force, self.read())

    def read_code(self):
        words = ControlWords(self.fronts[1].routes(), ConfigurationTranslator(), None)
        return words.read(Request("POST", "/v1/rpc", "", {}), "").code

    def test_after_hundreds_above_with_and_below_the_number_held(self):
        self.take(count=200)
        for version in (self.version + 1, self.version, self.version - 1, 1):
            self.refused(version)
        self.take(first=1)
        self.assertEqual(self.in_force, self.read(0))

    def test_beside_a_valid_one_of_another_operator_and_after_a_lost_answer(self):
        """The valid one's answer is lost: it is sent again after invalid ones of its number."""
        for _ in range(3):
            self.take(first=1)  # its sender heard nothing
            self.refused(self.version)
            self.assertEqual(200, self.replace(self.in_force, 0))
            self.refused(self.version + 1, first=1)

    def test_each_unusual_one_is_taken_and_read_back(self):
        for name, make in UNUSUAL.items():
            self.version += 1
            document = make(self.version)
            self.assertEqual(200, self.replace(document), name)
            self.assertEqual(json.loads(body_of(document)), self.read(), name)


if __name__ == "__main__":
    unittest.main()
