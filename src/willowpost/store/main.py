"""wpstore: one replica of the fleet's log."""
import os
import secrets

from willowpost.common.clock import Clock
from willowpost.consensus.replica.records import identity_record
from willowpost.shell.disk import Disk, DiskDamaged
from willowpost.shell.program import DaemonCommand, run
from willowpost.shell.props import pace_of
from willowpost.shell.runner import Runner
from willowpost.store.node import StoreNode
from willowpost.wire.messages import Founder


class StoreDaemon:
    """Invariant: an identity is made once, for an empty folder, and is on disk before it is told to anybody."""

    def __init__(self, props, logs):
        self.props = props
        self.logs = logs
        self.runner = Runner(props.address, logs, Disk(os.path.join(props.data, "store")))

    def start(self) -> None:
        props, disk, clock = self.props, self.runner.disk, Clock()
        try:
            records = disk.load()
        except DiskDamaged as damage:
            # what it said cannot be known any more: as good as lost
            aside = f"{disk.folder}.damaged-{clock.wall()}"
            os.rename(disk.folder, aside)
            self.logs.say("disk", "damaged, set aside", level="error", damage=str(damage), aside=aside)
            disk = self.runner.disk = Disk(disk.folder)
            records = disk.load()
        if not records:
            me = Founder(f"{props.name}-{secrets.token_hex(6)}", props.name, props.zone, props.address)
            records = [identity_record(me)]
            disk.turn(records)
            self.logs.say("disk", "empty: a new identity was made", identity=me.identity)
        held = records[0]
        me = Founder(held["identity"], props.name, props.zone, props.address)
        node = StoreNode(me, props.seeds, props.voters, records, clock.now(), clock.wall, clock.wall(), pace_of(props))
        self.logs.say("store", "restored", slot=node.board.tables.slot, epoch=node.board.tables.epoch)
        self.runner.start(node)

    def stop(self) -> None:
        """A store may stop at any moment: all it has said is on disk."""
        self.runner.mesh.stop()


class StoreCommand(DaemonCommand):
    name = "wpstore"
    description = "Keeps one replica of the fleet's decided log on this machine's disk."
    help = """A core machine runs one <info>wpstore</info> and one <info>wpregistry</info>.

  <info>wpstore --props core-1.json</info>
  <info>wpstore --name core-1 --zone a --address 127.0.0.1:7001 --seeds 127.0.0.1:7002,127.0.0.1:7003 --data ./core-1</info>

Five empty stores that find each other through their seeds found the fleet. A store
whose folder was lost comes back under a new identity, learns, and takes the seat."""
    needs = ("data",)

    def build(self, props, logs):
        return StoreDaemon(props, logs)


def main() -> None:
    run(StoreCommand())
