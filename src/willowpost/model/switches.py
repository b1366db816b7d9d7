"""Switches for the protections that stand outside the daemons' controllers."""

from dataclasses import dataclass

from willowpost.consensus.thresholds import Thresholds


@dataclass(frozen=True, slots=True)
class Switches:
    """What is switched off, to show that each protection is needed.

    Attributes:
        thresholds: The quorum sizes that the stores use.
        send_before_sync: Whether messages leave before the step's records are synced.
        reuse_identity: Whether a store that lost its disk starts again under its old identity.
    """

    thresholds: type[Thresholds] = Thresholds
    send_before_sync: bool = False
    reuse_identity: bool = False


ALL_PROTECTIONS_ON = Switches()
