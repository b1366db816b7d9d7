"""The callers of a simulated fleet, and the platform's balancer before them."""

from willowpost.common.clock import SECOND
from willowpost.proxy.routing.request import Request
from willowpost.sim.fleet.messages import SimCall


class CallerActions:
    """Sends the shape's mix of requests to proxies that call themselves sound; part of the world.

    Attributes of the world: `rate`, requests a second; `impatience`, how many further requests a
    caller sends at once when it is rejected.
    """

    def sound_edges(self):
        """As the platform's balancer sees them: by their own word, if they answer."""
        return [
            edge
            for edge in self.edges
            if (seat := self.seats[edge]).node is not None
            and seat.frozen_until <= self.time
            and ("caller", edge) not in self.cuts
            and self._sound(seat)
        ]

    def _sound(self, seat):
        node_state, now = seat.node.proxy, self.now(seat)
        return (
            node_state.may_serve(now)
            and node_state.is_warmed_up(now)
            and not node_state.is_draining
            and node_state.evacuated_at is None
        )

    def _call(self):
        if not self.calling:
            return
        edges = self.sound_edges()
        if edges:
            self._one(self.chance.choice(edges))
        self.at(int(self.chance.expovariate(self.rate) * SECOND), self._call)

    def _one(self, edge):
        kind = self.chance.choices(self.shape.kinds, self.shares)[0]
        user = f"u{self.chance.randrange(5)}" if kind.personal else ""
        item = self.number + 1 if kind.write else self.chance.randrange(kind.items)
        self._request(edge, f"{kind.path}/{item}", user, kind.write)

    def _request(self, edge, path, user, write):
        """Every try has an id of its own; so has what it writes."""
        self.number += 1
        written = f"w{self.number}" if write else ""
        headers = {"x-ask": str(self.number), **({"authorization": user} if user else {})}
        request = Request("POST" if write else "GET", self.shape.host, path, headers)
        self.traffic.asks(self.number, edge, "", path, user, written)
        self._post(self.seats["caller"], edge, SimCall(self.number, request, written))

    def rejected(self, asked) -> None:
        """A caller that does not wait as it was told sends the same again, and more than once."""
        _began, edge, _kind, path, user, write = asked
        for _ in range(self.impatience):
            if self.seats[edge].node is not None and self.repeats_left:
                self.repeats_left -= 1
                self._request(edge, path, user, bool(write))
