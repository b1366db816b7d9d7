"""The header names that a proxy, its callers and its origins agree on.

Whoever starts the daemon may hand in others.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Words:
    """Invariant: all lower case.

    request     the caller's id of one try; origins echo it left        milliseconds that the caller
    still waits life        names the life of an origin that a request is meant for; every other
    answers 421 and does not run it seal        of a sealed service's answers: a success without it
    is none not_run      the origin says that it has not run the request and never will load
    running, waiting, slots; joined by commas tags        tags of a stored answer, with spaces
    """

    request: str = "wp-request"
    left: str = "wp-left"
    incarnation: str = "wp-incarnation"
    seal: str = "wp-seal"
    not_run: str = "wp-not-run"
    load: str = "wp-load"
    tags: str = "wp-tags"

    def names(self) -> frozenset:
        return frozenset(
            (
                self.request,
                self.left,
                self.incarnation,
                self.seal,
                self.not_run,
                self.load,
                self.tags,
            )
        )
