"""Requests under which engines ended, and how such a request may be sent again.

Load pattern: one request ends each engine that begins to run it, and comes again some
times a second at any gateway. From outside all requests at an engine that ends look
alike, and engines also end for reasons of their own. So

- each request that was at an engine when it ended gets a mark for that life of it;
- an answer clears a request of all its marks, wherever it was given;
- while a request has marks, it runs once at a time, and from the second mark on only
  once among all gateways, away from other requests with marks;
- with three marks it is blocked. Ends that a blocked request explains no longer count
  against the others that were there.

Gateways exchange what they know as ``SuspectNews``. Taking news in is idempotent and
independent of order, so that it may be lost, doubled or late.
"""

from collections import Counter, OrderedDict
from collections.abc import Set
from enum import Enum
from itertools import groupby

from ridgecourse.core.engine_life import EngineLife
from ridgecourse.core.ids import ProcessName, RequestSignature, Seconds
from ridgecourse.core.suspect import (
    MARK_SECONDS,
    Suspect,
    SuspectNews,
    Trial,
    tell_ends,
)

BLOCKING_MARKS = 3
"""One end under a request is chance, and a second one may be; a third costs callers
more than the request is worth."""
LONE_MARKS = 2
"""Marks from which on a request runs once at a time among all gateways."""
TRIAL_SECONDS = 2.0
"""How long another gateway is taken to try a request of which nothing more is heard:
a usual answer is whole by then."""
RANK_SECONDS = 1.0
"""How late an old mark may be dropped."""
MOST_SUSPECTS = 256
"""Requests with marks that are remembered, the ones with fewest marks least: an end
marks those at one engine, some tens."""
MOST_SUCCESSES = 2048
"""Requests remembered as answered: at 50 a second, the last 40 s of a gateway."""


class Verdict(Enum):
    """How a request may be sent.

    FREE: At once.
    WAIT: Once it is known what became of it elsewhere.
    BLOCKED: Not at all.
    """

    FREE = "free"
    WAIT = "wait"
    BLOCKED = "blocked"


class CrashSuspects:
    """What one gateway knows of requests that may crash engines.

    Attributes:
        suspects: Requests with marks, those that were cleared included.
        successes: When requests were last answered.
        flights: Own sends in progress, by request and engine.
        blocked: Requests that are not sent, with their marks.
        counts: Marks of each request that no blocked one explains.
        ranked_at: When those two were worked out; None where that is due.
    """

    def __init__(self) -> None:
        self.suspects: dict[RequestSignature, Suspect] = {}
        self.successes: OrderedDict[RequestSignature, Seconds] = OrderedDict()
        self.flights: dict[RequestSignature, Counter[EngineLife]] = {}
        self.blocked: dict[RequestSignature, frozenset[EngineLife]] = {}
        self.counts: dict[RequestSignature, int] = {}
        self.ranked_at: Seconds | None = None

    # Decisions.

    def judge(self, signature: RequestSignature, now: Seconds) -> Verdict:
        """Return how a request may be sent."""
        suspect = self.suspects.get(signature)
        if suspect is None:
            return Verdict.FREE
        count = self.count_marks(signature, now)
        if signature in self.blocked:
            return Verdict.BLOCKED
        if count and signature in self.flights:
            return Verdict.WAIT
        if count >= LONE_MARKS and any(suspect.trial_lives(now)):
            return Verdict.WAIT
        return Verdict.FREE

    def count_marks(self, signature: RequestSignature, now: Seconds) -> int:
        """Return the engines that ended under a request with no other explanation."""
        self._rank_when_due(now)
        return self.counts.get(signature, 0)

    def find_blocked(self, now: Seconds) -> frozenset[RequestSignature]:
        """Return the requests that are not sent."""
        self._rank_when_due(now)
        return frozenset(self.blocked)

    def blocked_for(self, signature: RequestSignature, now: Seconds) -> float:
        """Return the seconds until a blocked request may be tried again."""
        self._rank_when_due(now)
        suspect = self.suspects[signature]
        ends = sorted(suspect.ends[life] for life in self.blocked[signature])
        return max(0.0, ends[-BLOCKING_MARKS] + MARK_SECONDS - now)

    def avoided(self, signature: RequestSignature, now: Seconds) -> Set[EngineLife]:
        """Return the engines to which a request is better not sent.

        A request that may end its engine takes others along. Two with marks that run at
        one engine would get the next mark together.
        """
        if not self.suspects:
            return frozenset()
        least = 1 if self.count_marks(signature, now) >= LONE_MARKS else LONE_MARKS
        lives: set[EngineLife] = set()
        for name, suspect in self.suspects.items():
            if name != signature and self.counts[name] >= least:
                lives.update(self.flights.get(name, ()))
                lives.update(suspect.trial_lives(now))
        return lives

    # What happens.

    def begin(self, signature: RequestSignature, life: EngineLife) -> None:
        """Note that a request is sent to an engine."""
        self.flights.setdefault(signature, Counter())[life] += 1

    def finish(self, signature: RequestSignature, life: EngineLife) -> None:
        """Note that a request is no longer at an engine."""
        flights = self.flights[signature]
        flights[life] -= 1
        if not flights[life]:
            del flights[life]
        if not flights:
            del self.flights[signature]

    def note_end(
        self, signature: RequestSignature, life: EngineLife, ended: Seconds
    ) -> bool:
        """Note that an engine ended under a request; tell whether that is new."""
        suspect = self._suspect(signature)
        known = suspect.ends.get(life)
        first = ended if known is None else min(known, ended)
        suspect.ends[life] = first
        succeeded = self.successes.get(signature)
        clears = succeeded is not None and succeeded > first
        if clears and life not in suspect.cleared:
            # Told late: the request has been answered since.
            suspect.cleared[life] = first
        elif known is not None:
            return False
        self._note_change(suspect, ended)
        return True

    def note_success(self, signature: RequestSignature, now: Seconds) -> bool:
        """Note that a request was answered; tell whether that clears it of marks."""
        self.successes.pop(signature, None)
        self.successes[signature] = now
        if len(self.successes) > MOST_SUCCESSES:
            self.successes.popitem(last=False)
        suspect = self.suspects.get(signature)
        if suspect is None or not suspect.marks(now):
            return False
        suspect.cleared.update(suspect.ends)
        self._note_change(suspect, now)
        return True

    # The exchange with other gateways.

    def tell(self, signature: RequestSignature, now: Seconds) -> SuspectNews:
        """Return what is known of a request."""
        suspect = self.suspects[signature]
        lone = self.count_marks(signature, now) >= LONE_MARKS
        flights = self.flights.get(signature) if lone else None
        return SuspectNews(
            signature,
            tell_ends(suspect.ends, now),
            tell_ends(suspect.cleared, now),
            next(iter(flights)) if flights else None,
        )

    def take(self, news: SuspectNews, sender: ProcessName, now: Seconds) -> bool:
        """Take in what another gateway tells; tell whether anything is new."""
        ends = [end for end in news.ends if end.age <= MARK_SECONDS]
        if not ends:
            return False
        suspect = self._suspect(news.signature)
        if len(news.uncleared()) >= LONE_MARKS:
            suspect.known_to_all = True
        new = [
            self.note_end(news.signature, end.life, Seconds(now - end.age))
            for end in ends
        ]
        cleared = [end for end in news.cleared if end.life not in suspect.cleared]
        for end in cleared:
            suspect.cleared[end.life] = Seconds(now - end.age)
        if news.trial is None:
            suspect.trials.pop(sender, None)
        else:
            suspect.trials[sender] = Trial(news.trial, Seconds(now + TRIAL_SECONDS))
        if not any(new) and not cleared:
            return False
        self._note_change(suspect, now)
        return True

    def concerns_all(self, signature: RequestSignature, now: Seconds) -> bool:
        """Tell whether all gateways have to know of a request, from now on.

        A single mark is told to few: an end leaves as many as requests ran there.
        """
        suspect = self.suspects[signature]
        if self.count_marks(signature, now) >= LONE_MARKS:
            suspect.known_to_all = True
        return suspect.known_to_all

    def completes(self, news: SuspectNews, now: Seconds) -> bool:
        """Tell whether all gateways have to learn more than some news tells."""
        count = self.count_marks(news.signature, now)
        return count >= LONE_MARKS and count > len(news.uncleared())

    def recent(self, now: Seconds, span: float) -> list[RequestSignature]:
        """Return the requests of which anything new was learned within a span."""
        return [
            signature
            for signature, suspect in self.suspects.items()
            if now - suspect.changed_at <= span
        ]

    def lasting(self, now: Seconds) -> list[RequestSignature]:
        """Return the requests of which others have to know, however old the news."""
        self._rank_when_due(now)
        return [name for name, count in self.counts.items() if count >= LONE_MARKS]

    # Inside.

    def _suspect(self, signature: RequestSignature) -> Suspect:
        if signature not in self.suspects:
            while len(self.suspects) >= MOST_SUSPECTS:
                del self.suspects[min(self.suspects, key=self._value)]
            self.suspects[signature] = Suspect()
        return self.suspects[signature]

    def _value(self, signature: RequestSignature) -> tuple[int, Seconds]:
        """Return by what suspects are kept: the least is forgotten first."""
        suspect = self.suspects[signature]
        return len(suspect.ends.keys() - suspect.cleared.keys()), suspect.changed_at

    def _note_change(self, suspect: Suspect, now: Seconds) -> None:
        suspect.changed_at = max(suspect.changed_at, now)
        self.ranked_at = None

    def _rank_when_due(self, now: Seconds) -> None:
        """Work out who is blocked, after a change or where marks may be too old."""
        if self.ranked_at is None or now - self.ranked_at > RANK_SECONDS:
            self._forget_old(now)
            self._rank(now)
            self.ranked_at = now

    def _forget_old(self, now: Seconds) -> None:
        for signature, suspect in list(self.suspects.items()):
            ends = {
                life: ended
                for life, ended in suspect.ends.items()
                if now - ended <= MARK_SECONDS
            }
            if ends:
                suspect.ends = ends
            else:
                del self.suspects[signature]

    def _rank(self, now: Seconds) -> None:
        """Find the requests that explain the most ends, and what they explain.

        Those with equally many do not explain each other: both may be to blame.
        """
        marks = {name: each.marks(now) for name, each in self.suspects.items()}
        able = {name: m for name, m in marks.items() if len(m) >= BLOCKING_MARKS}
        ordered = sorted(able, key=lambda name: -len(able[name]))
        blocked: dict[RequestSignature, frozenset[EngineLife]] = {}
        explained: set[EngineLife] = set()
        for _, names in groupby(ordered, key=lambda name: len(able[name])):
            guilty = [
                name for name in names if len(able[name] - explained) >= BLOCKING_MARKS
            ]
            for name in guilty:
                blocked[name] = able[name]
            for name in guilty:
                explained.update(able[name])
        self.blocked = blocked
        self.counts = {
            name: len(each if name in blocked else each - explained)
            for name, each in marks.items()
        }
