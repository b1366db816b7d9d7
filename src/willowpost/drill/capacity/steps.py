"""The cost of a daemon's smallest events (idle tick, ping) and of coding a small message."""

from willowpost.common.clock import MILLISECOND
from willowpost.common.events import Received, Tick
from willowpost.drill.capacity.lightweight import LightweightFleet
from willowpost.drill.capacity.size import Size
from willowpost.drill.capacity.units import millis
from willowpost.sim.world import seconds
from willowpost.wire.codec import Codec
from willowpost.wire.messages import Ping

SMALL = Size(50, 10, 100, 5.0, 4)
# 0.4 s of them: what comes every 150 to 400 ms is in, and state updates do not grow old meanwhile
TICKS = 20
PINGS = 200


class StepCosts:
    """Measures ticks, pings and their encoding."""

    def run(self, seed: int = 1) -> list[tuple[str, str, float]]:
        """Rows of (role, event, µs)."""
        fleet = LightweightFleet(SMALL, seed)
        fleet.run(seconds(3.5))
        rows = []
        for role in dict.fromkeys(fleet.meter.roles.values()):
            seat = next(
                fleet.seats[address]
                for address, daemon_role in fleet.meter.roles.items()
                if daemon_role == role
            )
            now, ping = fleet.now(seat), Received("10.0.9.9:7003", Ping(1, "edge-9/proxy@1"))
            rows.append(
                (
                    role,
                    "ping",
                    millis(lambda: [seat.node.step(ping, now) for _ in range(PINGS)])
                    * 1000
                    / PINGS,
                )
            )
            rows.append(
                (
                    role,
                    "tick",
                    millis(
                        lambda: [
                            seat.node.step(Tick(), now + number * 20 * MILLISECOND)
                            for number in range(TICKS)
                        ],
                        times=1,
                    )
                    * 1000
                    / TICKS,
                )
            )
        codec = Codec()
        frame = codec.encode("10.0.9.9:7003", ping.message)
        rows.append(
            (
                "any",
                "ping encoded",
                millis(lambda: [codec.encode("10.0.9.9:7003", ping.message) for _ in range(PINGS)])
                * 1000
                / PINGS,
            )
        )
        rows.append(
            (
                "any",
                "ping decoded",
                millis(lambda: [codec.decode(frame) for _ in range(PINGS)]) * 1000 / PINGS,
            )
        )
        return rows
