"""The command `wpregistry`."""

import willowpost.shell.starting  # noqa: F401  before what takes long to import
from willowpost.registry.daemon import RegistryDaemon
from willowpost.shell.process_settings import ProcessSettings
from willowpost.shell.program import DaemonCommand, run
from willowpost.shell.structured_log import StructuredLogger


class RegistryCommand(DaemonCommand):
    """Runs one registry."""

    name = "wpregistry"
    description = (
        "Serves the control API: origins register and send heartbeats, "
        "operators change configurations, purge, evacuate zones."
    )
    help = """A core machine runs one <info>wpstore</info> and one <info>wpregistry</info>.

  <info>wpregistry --settings core-1-registry.json</info>
  <info>wpregistry --name core-1 --zone a --address 127.0.0.1:7101 \
--http 127.0.0.1:8101 --seeds 127.0.0.1:7001,127.0.0.1:7002</info>
  <info>curl http://127.0.0.1:8101/v1/status</info>"""
    needs = ("http",)

    def build(self, settings: ProcessSettings, logger: StructuredLogger) -> RegistryDaemon:
        """Make the daemon of checked settings."""
        return RegistryDaemon(settings, logger)


def main() -> None:
    """Run the command line."""
    run(RegistryCommand())
