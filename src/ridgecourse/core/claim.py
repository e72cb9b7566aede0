"""Claims: which request may run under an idempotency key.

Entries append claims to a stream of the platform's log and read them back.
The first claim of a key wins. A later one may replace it only if it names the
claim it replaces, which an entry does only with the target's proof that the
earlier request was not started and never will be.
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
    """Base of what stands in the stream of claims.

    Attributes:
        fleet: Fleet of the account.
        account: Keys of different accounts are different.
        key: The caller's key.
        request_id: The request that claims or releases.
    """

    fleet: FleetName
    account: AccountName
    key: IdempotencyKey
    request_id: RequestId

    def scope(self) -> tuple[str, str, str]:
        """Return what a claim is exclusive for."""
        return self.fleet, self.account, self.key


class Claim(ClaimRecord, frozen=True, tag="claim"):
    """A request's claim on a key.

    Attributes:
        target: Where it will be dispatched.
        incarnation: The life of that target's agent; the request is refused by
            any other.
        replaces: The request whose claim it takes over, if any.
    """

    target: TargetName
    incarnation: Incarnation
    replaces: RequestId | None = None


class Release(ClaimRecord, frozen=True, tag="release"):
    """Gives a key back, after proof that the request which held it was not run."""


AnyClaimRecord = Claim | Release


class ClaimTable:
    """The fold of the claims stream.

    Attributes:
        offset: The next offset to fold.
        limit: Claims kept in memory; the oldest go first.
    """

    def __init__(self, limit: int = 200_000) -> None:
        self.offset = Offset(0)
        self.limit = limit
        self.holders: dict[tuple[str, str, str], Claim] = {}
        # Requests whose claims were folded, the newest last.
        self.decided: dict[RequestId, None] = {}

    def skip_to(self, offset: Offset) -> None:
        """Go on from a later offset, where older records are gone."""
        self.offset = max(self.offset, offset)

    def apply(self, offset: Offset, record: AnyClaimRecord | None) -> None:
        """Fold the record at an offset; None stands for one not decodable.

        Raises:
            ValueError: The offset is not the next one.
        """
        if offset != self.offset:
            raise ValueError(f"cannot fold offset {offset} at {self.offset}")
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
        """Return the claim that holds a key."""
        return self.holders.get(scope)


class KeyState(Struct, frozen=True):
    """What an agent knows of a key.

    Attributes:
        request_id: The request that was started or fenced.
        started: Whether it was started; if not, it is fenced and never will be.
        answer: The whole answer, once completed and if kept.
    """

    request_id: RequestId
    started: bool
    answer: bytes | None = None
    version: str = ""


class KeyRegister:
    """An agent's record of the keyed requests it started or fenced.

    Attributes:
        limit: Requests kept; the oldest go first.
    """

    def __init__(self, limit: int = 50_000) -> None:
        self.limit = limit
        self.states: dict[RequestId, KeyState] = {}
        self.forgotten = False

    def start(self, request_id: RequestId) -> bool:
        """Record a start.

        Returns:
            False if the request was started or fenced before.
        """
        if request_id in self.states:
            return False
        self._keep(KeyState(request_id, started=True))
        return True

    def fence(self, request_id: RequestId) -> KeyState:
        """Make sure that a request is never started from now on.

        Returns:
            Its state; ``started`` tells whether the fence came too late.
        """
        state = self.states.get(request_id)
        if state is None:
            state = KeyState(request_id, started=False)
            self._keep(state)
        return state

    def complete(self, request_id: RequestId, answer: bytes, version: str) -> None:
        """Keep the whole answer of a started request."""
        if request_id in self.states:
            self.states[request_id] = KeyState(request_id, True, answer, version)

    def _keep(self, state: KeyState) -> None:
        self.states[state.request_id] = state
        if len(self.states) > self.limit:
            del self.states[next(iter(self.states))]
            self.forgotten = True
