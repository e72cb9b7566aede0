"""Fences: lets an entry settle a request whose outcome it does not know.

A fence guarantees that a request is never started at this agent, or reports that
the request was started.
"""

from returns.result import Failure

from ridgecourse.agent.context import MAX_BODY_BYTES, AgentContext
from ridgecourse.core.claim import KeyRegister
from ridgecourse.net.events import EventKind
from ridgecourse.net.http_server import HttpReply, HttpRequest, HttpRouter
from ridgecourse.wire.codec import decode_message, encode_message
from ridgecourse.wire.request import (
    FENCE_PATH,
    IDENTITY_PATH,
    FenceReply,
    FenceRequest,
    Identity,
)


class Fences:
    """Answers entries that request a fence or the agent's incarnation.

    Attributes:
        register: Requests that were started or fenced.
    """

    def __init__(self, context: AgentContext, register: KeyRegister) -> None:
        self.context = context
        self.register = register

    def add_routes(self, router: HttpRouter) -> None:
        """Add the routes for fences and the agent's identity to a router."""
        router.add("POST", FENCE_PATH, self.handle_fence)
        router.add("GET", IDENTITY_PATH, self.handle_identity)

    def handle_fence(self, request: HttpRequest) -> HttpReply:
        """Fence a request, or report that the request was started."""
        body = request.read_body(MAX_BODY_BYTES)
        if not request.is_signed(self.context.settings.shared_key, body):
            return HttpReply(401)
        decoded = decode_message(body, FenceRequest)
        if isinstance(decoded, Failure):
            return HttpReply(400, str(decoded.failure()).encode())
        return HttpReply(200, encode_message(self._apply_fence(decoded.unwrap())))

    def handle_identity(self, request: HttpRequest) -> HttpReply:
        """Answer with the agent's incarnation."""
        identity = Identity(self.context.incarnation)
        return HttpReply(200, encode_message(identity))

    def _apply_fence(self, fence: FenceRequest) -> FenceReply:
        known = fence.incarnation == self.context.incarnation
        if not known or (
            self.register.has_dropped and fence.request_id not in self.register.states
        ):
            return FenceReply(known=False)
        state = self.register.fence(fence.request_id)
        self.context.events.emit(
            EventKind.KEY_FENCED, request=fence.request_id, started=state.started
        )
        return FenceReply(True, state.started, state.answer, state.version)
