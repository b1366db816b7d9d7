"""What operators do at awkward moments."""

import copy

from willowpost.common.clock import MILLISECOND, SECOND
from willowpost.configuration.checker import ConfigurationChecker
from willowpost.sim.fleet.faults.base import FaultSteps
from willowpost.sim.fleet.operators import ALL_HOSTS
from willowpost.state.entries import PurgeKind
from willowpost.state.operations import EvacuateZone, PurgeCache

LOST_PART = 0.7  # of the acknowledgements


def _nothing(result):
    pass


class OperatorFaults(FaultSteps):
    """Orders that race, repeat, overtake each other, or are not acknowledged."""

    def configuration(self):
        """A changed configuration."""
        self.world.configuration["settings"]["deadline_ms"] = 1500 + self.world.chance.randrange(
            1000
        )
        self.world.put_configuration(self._registry())

    def race(self):
        """Three changes at once, at three registries."""
        for registry in range(3):
            self.world.configuration["settings"]["deadline_ms"] = (
                1500 + self.world.chance.randrange(1000)
            )
            self.world.put_configuration(registry)

    def purge(self):
        """A purge."""
        self.world.purge(self._registry())

    def purges(self):
        """Twenty purges at once."""
        for _ in range(20):
            self.world.purge(self._registry())

    def replace(self):
        """The content changes without notice."""
        self.world.traffic.replace()

    def empty(self):
        """A zone's evacuation begins."""
        self.world.empty_zone(self._registry(), self._one("abcd"), True)

    def restore(self):
        """All evacuations are finished."""
        for zone in list(self.world.traffic.emptied):
            self.world.empty_zone(self._registry(), zone, False)

    def fault_schedule_of_purges(self):
        """Sixty purges of single items."""
        for number in range(60):
            self.world.operate(
                number % 5,
                PurgeCache(PurgeKind.ITEM, ALL_HOSTS, f"/art/{number % 40}"),
                _nothing,
            )

    def replace_voter_seeds(self):
        """The seeds are others from now on: proxies and registries that start later get them."""
        self.world.seed_names = self.world.chance.sample(
            self.world.registries + self.world.edges, 3
        )

    def conditional_race(self):
        """Two operators replace the same version at once; one may win."""
        version = self.world.version
        for registry in self.world.chance.sample(range(5), 2):
            self._change()
            self.world.put_configuration(registry, if_match=version)

    def stale_condition(self):
        """An operator replaces a version that is not in force any more."""
        self._change()
        self.world.put_configuration(self._registry(), if_match=max(0, self.world.version - 1))

    def numbered(self):
        """A configuration under a number of the operator's, some steps above the last."""
        self._change()
        number = self.world.version + self.world.chance.randrange(1, 6)
        self.world.put_configuration(self._registry(), version=number)

    def late_number(self):
        """An older change arrives again: a lower number, which changes nothing."""
        if self.world.version > 1:
            self._change()
            self.world.put_configuration(self._registry(), version=self.world.version - 1)

    def numbered_repeat(self):
        """The same change under the same number, to every registry."""
        self._change()
        number = self.world.version + 1
        for registry in range(5):
            self.world.put_configuration(registry, version=number)

    def numbered_race(self):
        """Two operators send two configurations under one number at once; one may hold."""
        number = self.world.version + 1
        for registry in self.world.chance.sample(range(5), 2):
            self._change()
            self.world.put_configuration(registry, version=number)

    def change_on_return(self):
        """A change is sent to a machine as it comes back, and again and again until it answers."""
        number = self.world.chance.randrange(5)
        machine = self._core_machine(number)
        self._kill(machine)
        self._change()
        for name in machine:
            self.world.at(SECOND, self.world.bring_back, name)
        for again in range(5):
            self.world.at(SECOND + again * 200 * MILLISECOND, self.world.put_configuration, number)

    def lost_acknowledgements(self):
        """For a while most acknowledgements to operators are lost; they send the same again."""
        self.world.operators.lost_part = LOST_PART
        self.world.at(self._span(2, 8), self._acknowledge)
        self.world.put_configuration(self._registry())
        self.world.empty_zone(self._registry(), self._one("abcd"), False)

    def _acknowledge(self):
        self.world.operators.lost_part = 0.0

    def orders_in_exchanged_order(self):
        """The evacuation of a zone is begun and finished at two registries at once."""
        zone = self._one("abcd")
        one, other = self.world.chance.sample(range(5), 2)
        self.world.operate(one, EvacuateZone(zone, is_evacuated=True), _nothing)
        self.world.operate(other, EvacuateZone(zone, is_evacuated=False), _nothing)

    def invalid_configuration(self):
        """A configuration with a fault is found out before it is sent on."""
        bad = copy.deepcopy(self.world.configuration)
        bad["branches"]["art"]["settings"]["service"] = "nobody"
        found = ConfigurationChecker().check_value(bad).is_err()
        self.world.traffic.say(found, "an invalid configuration was not found out")

    def _change(self):
        self.world.configuration["settings"]["deadline_ms"] = 1500 + self.world.chance.randrange(
            1000
        )
