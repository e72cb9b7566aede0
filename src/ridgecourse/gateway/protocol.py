"""Interface of a platform's adapter for requests."""

from abc import ABC, abstractmethod

from returns.result import Result
from urllib3 import BaseHTTPResponse

from ridgecourse.core.ids import TargetId
from ridgecourse.core.problem import Problems
from ridgecourse.core.relisted_targets import HealthAnswer
from ridgecourse.gateway.messages import AnswerHead, ClientRequest, SendTerms
from ridgecourse.net.front_server import FrontRequest
from ridgecourse.net.http_server import HeaderList


class RequestProtocol(ABC):
    """Translates requests and answers between clients, gateway and targets."""

    @abstractmethod
    def decode_request(self, request: FrontRequest) -> Result[ClientRequest, Problems]:
        """Return a client's request, or the problems in its head."""

    @abstractmethod
    def encode_request(self, call: ClientRequest, terms: SendTerms) -> HeaderList:
        """Return the headers with which a request is sent to a target."""

    @abstractmethod
    def decode_answer(self, response: BaseHTTPResponse) -> AnswerHead:
        """Return the head of a target's answer."""

    @abstractmethod
    def decode_health(
        self, response: BaseHTTPResponse, target: TargetId
    ) -> HealthAnswer:
        """Return what an answer to a health check says of a target."""

    @abstractmethod
    def retry_after(self, seconds: float) -> HeaderList:
        """Return the headers that tell a client when to retry."""
