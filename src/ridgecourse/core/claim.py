"""Claims: which request may run under an idempotency key.

Entries append claims to a stream of the platform's log and read the stream back. The
first claim of a key applies. A later claim may replace the first only if it names the
request of the replaced claim. An entry names that request only if the target has proved
that it was not started and never will be.
"""

from msgspec import Struct

from ridgecourse.core.ids import (
    AccountName,
    FleetName,
    IdempotencyKey,
    Incarnation,
    Offset,
    RequestId,
    TargetName,
)


class ClaimRecord(Struct, frozen=True, tag_field="type", forbid_unknown_fields=True):
    """Base class of the records in the stream of claims.

    Attributes:
        fleet: Fleet of the account.
        account: Client account; equal keys of different accounts are independent.
        key: Idempotency key of the client.
        request_id: Request that claims or releases the key.
    """

    fleet: FleetName
    account: AccountName
    key: IdempotencyKey
    request_id: RequestId

    def scope(self) -> tuple[str, str, str]:
        """Return the scope in which a claim is exclusive: fleet, account and key."""
        return self.fleet, self.account, self.key


class Claim(ClaimRecord, frozen=True, tag="claim"):
    """A request's claim on a key.

    Attributes:
        target: Target to which the request will be dispatched.
        incarnation: Incarnation of the target's agent; any other incarnation refuses
            the request.
        replaces: Request whose claim is replaced; None for none.
    """

    target: TargetName
    incarnation: Incarnation
    replaces: RequestId | None = None


class Release(ClaimRecord, frozen=True, tag="release"):
    """Releases a key, after proof that the request that held it was not run."""


AnyClaimRecord = Claim | Release


class ClaimTable:
    """The state that results from the stream of claims.

    Attributes:
        offset: Offset of the next record to apply.
        limit: Maximum number of claims in memory; the oldest are dropped first.
        holders: Claim that holds each scope.
    """

    def __init__(self, limit: int = 200_000) -> None:
        self.offset = Offset(0)
        self.limit = limit
        self.holders: dict[tuple[str, str, str], Claim] = {}
        # Requests whose claims were applied, the newest last.
        self.decided: dict[RequestId, None] = {}

    def skip_to(self, offset: Offset) -> None:
        """Continue from a later offset after older records were deleted."""
        self.offset = max(self.offset, offset)

    def apply(self, offset: Offset, record: AnyClaimRecord | None) -> None:
        """Apply the record at an offset.

        Args:
            offset: Offset of the record.
            record: Record to apply; None if the record cannot be decoded.

        Raises:
            ValueError: The offset is not the next one.
        """
        if offset != self.offset:
            raise ValueError(
                f"claim record has offset {offset}, expected {self.offset}"
            )
        self.offset = Offset(offset + 1)
        if isinstance(record, Release):
            self._release(record)
        elif record is not None:
            self._claim(record)

    def _release(self, release: Release) -> None:
        holder = self.holders.get(release.scope())
        if holder is not None and holder.request_id == release.request_id:
            del self.holders[release.scope()]

    def _claim(self, claim: Claim) -> None:
        self.decided[claim.request_id] = None
        if len(self.decided) > self.limit:
            del self.decided[next(iter(self.decided))]
        holder = self.holders.get(claim.scope())
        if holder is None or holder.request_id == claim.replaces:
            self.holders[claim.scope()] = claim
        if len(self.holders) > self.limit:
            del self.holders[next(iter(self.holders))]

    def holder(self, scope: tuple[str, str, str]) -> Claim | None:
        """Return the claim that holds a key; None for none.

        Args:
            scope: Fleet, account and key; see ``ClaimRecord.scope``.
        """
        return self.holders.get(scope)


class KeyState(Struct, frozen=True):
    """The state of a keyed request at an agent.

    Attributes:
        request_id: Request that was started or fenced.
        started: Whether the request was started; if not, the request is fenced and
            is never started.
        answer: Complete answer; None if the request has not ended or its answer was
            not kept.
        version: Version that gave the answer; empty if there is no answer.
    """

    request_id: RequestId
    started: bool
    answer: bytes | None = None
    version: str = ""


class KeyRegister:
    """An agent's record of the keyed requests that it started or fenced.

    Attributes:
        limit: Maximum number of requests in memory; the oldest are dropped first.
        states: State of each request.
        has_dropped: Whether any request was dropped.
    """

    def __init__(self, limit: int = 50_000) -> None:
        self.limit = limit
        self.states: dict[RequestId, KeyState] = {}
        self.has_dropped = False

    def start(self, request_id: RequestId) -> bool:
        """Record the start of a request.

        Returns:
            False if the request was started or fenced before, otherwise True.
        """
        if request_id in self.states:
            return False
        self._keep(KeyState(request_id, started=True))
        return True

    def fence(self, request_id: RequestId) -> KeyState:
        """Ensure that a request is never started from now on.

        Returns:
            State of the request; ``started`` is True if the request had been started
            before the fence.
        """
        state = self.states.get(request_id)
        if state is None:
            state = KeyState(request_id, started=False)
            self._keep(state)
        return state

    def complete(self, request_id: RequestId, answer: bytes, version: str) -> None:
        """Record the complete answer of a started request."""
        if request_id in self.states:
            self.states[request_id] = KeyState(request_id, True, answer, version)

    def _keep(self, state: KeyState) -> None:
        self.states[state.request_id] = state
        if len(self.states) > self.limit:
            del self.states[next(iter(self.states))]
            self.has_dropped = True
