"""What a platform's adapter provides to the gateway."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from returns.result import Result
from urllib3 import BaseHTTPResponse

from ridgecourse.core.finding import Findings
from ridgecourse.core.routes import RoutingConfig
from ridgecourse.core.targets import TargetRecord
from ridgecourse.core.weights import NamedVersion
from ridgecourse.gateway.messages import AnswerHead, CallerRequest, SendTerms
from ridgecourse.net.front_server import FrontRequest
from ridgecourse.net.http_server import HeaderList
from ridgecourse.net.record_source import KeyedRecord

Decision = RoutingConfig | NamedVersion


class RequestProtocol(ABC):
    """Translates requests and answers between callers, gateway and targets."""

    @abstractmethod
    def decode_request(self, request: FrontRequest) -> Result[CallerRequest, Findings]:
        """Return a caller's request, or what is wrong with its head."""

    @abstractmethod
    def encode_request(self, call: CallerRequest, terms: SendTerms) -> HeaderList:
        """Return the headers with which a request goes to a target."""

    @abstractmethod
    def decode_answer(self, response: BaseHTTPResponse) -> AnswerHead:
        """Return the head of a target's answer."""

    @abstractmethod
    def retry_after(self, seconds: float) -> HeaderList:
        """Return the headers that tell a caller when to come back."""


class RecordDecoder(ABC):
    """Decodes the records of the platform's store."""

    @abstractmethod
    def decision(self, record: KeyedRecord) -> Result[Decision | None, Findings]:
        """Return an operator's decision; None for kinds that are not known."""

    @abstractmethod
    def targets(
        self, records: Sequence[KeyedRecord]
    ) -> tuple[Sequence[TargetRecord], Findings]:
        """Return changes of the list of targets, and what could not be read."""
