"""The command `wpstore`."""

import willowpost.shell.startup_signals  # noqa: F401  before what takes long to import
from willowpost.shell.process_settings import ProcessSettings
from willowpost.shell.program import DaemonCommand, run
from willowpost.shell.structured_log import StructuredLogger
from willowpost.store.daemon import StoreDaemon


class StoreCommand(DaemonCommand):
    """Runs one store."""

    name = "wpstore"
    description = "Keeps one replica of the fleet's decided log on this machine's disk."
    help = """A core machine runs one <info>wpstore</info> and one <info>wpregistry</info>.

  <info>wpstore --settings core-1.json</info>
  <info>wpstore --name core-1 --zone a --address 127.0.0.1:7001 \
--seeds 127.0.0.1:7002,127.0.0.1:7003 --data ./core-1</info>

As many empty stores as <info>voters</info> requires (five by default) bootstrap the fleet,
once they find each other through their seeds. A store whose folder was lost comes back
under a new identity, catches up, and replaces its former identity as a voter."""
    required_settings = ("data",)

    def build(self, settings: ProcessSettings, logger: StructuredLogger) -> StoreDaemon:
        """Make the daemon of checked settings."""
        return StoreDaemon(settings, logger)


def main() -> None:
    """Run the command line."""
    run(StoreCommand())
