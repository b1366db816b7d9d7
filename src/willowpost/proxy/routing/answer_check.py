"""Whether a response comes from the origin that a request was meant for, and means that it ran."""

from willowpost.proxy.origin.answer import WholeAnswer
from willowpost.proxy.origin.failure import ExchangeFailure, Why
from willowpost.proxy.routing.attempt import MISDIRECTED
from willowpost.proxy.routing.snapshot import ServiceCard
from willowpost.proxy.routing.words import Words


class AnswerCheck:
    """Checks responses by their status and headers.

    Args:
        words: Header names shared with origins.
    """

    def __init__(self, words: Words):
        self.words = words

    def check(self, answer: WholeAnswer, service: ServiceCard) -> None:
        """Passes a response of the right origin to a request that it may have run.

        Raises:
            ExchangeFailure: It comes from another process, is not sealed, or says that nothing ran.
        """
        if answer.status == MISDIRECTED:
            raise ExchangeFailure(
                "another life answers here", sent=True, ran=False, why=Why.INCARNATION
            )
        if answer.header(self.words.not_run) is not None:
            raise ExchangeFailure(
                f"not run: {answer.status}",
                sent=True,
                ran=False,
                why=Why.SERVICE if answer.status == 429 else Why.BUSY,
            )
        if self._unsealed(answer, service):
            raise ExchangeFailure("a success without a seal", sent=True)

    def _unsealed(self, answer: WholeAnswer, service: ServiceCard) -> bool:
        return (
            service.sealed and 200 <= answer.status < 300 and answer.header(self.words.seal) is None
        )

    def of_another(self, answer: WholeAnswer, service: ServiceCard) -> bool:
        """Whether another incarnation answered, or something that is no origin at all."""
        return answer.status == MISDIRECTED or self._unsealed(answer, service)
