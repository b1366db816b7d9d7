"""Rules about what each process holds, checked after each of its steps."""

from willowpost.common.clock import SECOND

GRACE = 2 * SECOND


class ProcessRules:
    """Checks a process's tables against what operators were told.

    Args:
        traffic: The rules of requests and orders; takes the verdicts and the margins.
    """

    def __init__(self, traffic):
        self.traffic = traffic

    def __call__(self, world, seat):
        """Checks a process; raises Broken through `traffic.say`."""
        self._complete(seat)
        proxy = getattr(seat.node, "proxy", None)
        if proxy is None:
            return
        self._in_force(world, seat, proxy)
        self._never_back(world, seat, proxy)

    def _complete(self, seat):
        """Checks that what a process calls complete up to a moment is complete.

        It must hold every configuration accepted by then, since the next read is answered from it.
        """
        candidates = (
            getattr(seat.node, name, None) for name in ("proxy", "registry", "node_state")
        )
        node_state = next((state for state in candidates if state is not None), None)
        fresh = getattr(node_state, "fresh_as_of", None)
        if fresh is None or not self.traffic.configurations:
            return
        as_of = fresh - seat.clock_base
        accepted, version = max(
            ((at, version) for at, version in self.traffic.configurations if at <= as_of),
            default=(0, 0),
            key=lambda configuration: configuration[1],
        )
        known = node_state.tables.configuration.version
        self.traffic.say(
            known >= version,
            f"{seat.address} calls itself whole as of t={as_of} with configuration {known}, "
            f"{version} was accepted at t={accepted}",
        )

    def _in_force(self, world, seat, proxy):
        """Checks that a proxy that may serve has each configuration in time."""
        if not proxy.may_serve(world.now(seat)) or seat.frozen_until > world.time:
            return
        version_in_force = proxy.snapshot.version
        for accepted, version in self.traffic.configurations[-3:]:
            late = world.time - accepted
            if late > GRACE:
                self.traffic.say(
                    version_in_force >= version,
                    f"{seat.address} may deliver with configuration {version_in_force}, "
                    f"{version} was accepted {late / SECOND:.2f} s ago",
                )
            elif version_in_force < version:
                self.traffic.note_margin("configuration not in force, ms", late)

    def _never_back(self, world, seat, proxy):
        """Checks that the tables of one incarnation never go back a slot."""
        slot = proxy.tables.slot
        place = (seat.address, seat.incarnation)
        before = world.proxy_slots.get(place, 0)
        self.traffic.say(slot >= before, f"{seat.address} went back from slot {before} to {slot}")
        world.proxy_slots[place] = slot
