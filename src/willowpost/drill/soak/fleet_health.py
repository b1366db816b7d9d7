"""Whether a soak's fleet is whole again after the troubles."""

from collections.abc import Callable

from willowpost.drill.soak.fleet import SoakFleet
from willowpost.stand_ins.http_call import Reply, ask
from willowpost.state.lifecycle import STATES_IN_FORCE


class FleetHealth:
    """Looks at the pages of all daemons.

    Args:
        fleet: The fleet.
        newest_version: Returns the newest version of the configuration that was acknowledged.

    Attributes:
        missing: What kept the fleet from being whole at the last look.
    """

    def __init__(self, fleet: SoakFleet, newest_version: Callable[[], int]) -> None:
        self.fleet, self.newest_version = fleet, newest_version
        self.missing: list[str] = []

    def is_whole(self) -> bool:
        """Whether all daemons are up, agree, and have every running origin in force."""
        answers = [ask(address, "GET", "/v1/status") for address in self.fleet.registries()]
        self.missing = [
            *self._unhealthy_proxies(),
            *self._differing_registries(answers),
            *self._origins_out_of_force(answers),
        ]
        return not self.missing

    def _unhealthy_proxies(self) -> list[str]:
        stats, wanted = self.fleet.stats(), self.newest_version()
        silent = [f"{key} does not answer" for key in self.fleet.proxies() if key not in stats]
        return silent + [
            f"{key}: {page['version']} of {wanted}, sound: {page['sound']}, {page['age_ms']} ms"
            for key, page in stats.items()
            if not page["sound"] or page["version"] < wanted
        ]

    def _differing_registries(self, answers: list[Reply | None]) -> list[str]:
        digests = {answer[2].get("digest") for answer in answers if answer}
        if all(answers) and len(digests) == 1:
            return []
        return [f"registries: {[answer and answer[0] for answer in answers]}"]

    def _origins_out_of_force(self, answers: list[Reply | None]) -> list[str]:
        """Names the running origins that a registry does not have in force."""
        tokens = set(self.fleet.steer("tokens")[2].values())
        in_force = [
            {
                origin.get("token")
                for origin in answer[2]["origins"].values()
                if origin["state"] in STATES_IN_FORCE
            }
            for answer in answers
            if answer
        ]
        return [f"origins {tokens - held} not in force" for held in in_force if tokens - held]
