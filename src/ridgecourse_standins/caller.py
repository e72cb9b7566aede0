"""A caller that checks every answer against the weights, and keeps a history."""

import json
from collections.abc import Sequence
from pathlib import Path
from queue import Queue
from threading import Event, Thread
from time import monotonic, sleep
from typing import Any, NamedTuple
from uuid import uuid4

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from ridgecourse.core.manifest import root_digest
from ridgecourse_standins.oracle import Weights, read_weights

READ_SECONDS = 30.0


class Answer(NamedTuple):
    """What a caller got for one request.

    Attributes:
        outcome: As told, or "unknown" where the connection broke.
        reason: As told.
        whole: Whether a completed answer is all that it must be.
        seconds: From sending to the end.
        version: Root digest that answered.
        body: The request's body.
        status: HTTP status, 0 if there was none.
        retry_after: As told, empty if not.
        first_token: Seconds to the first token.
        sent: When it was sent, monotonic.
    """

    outcome: str
    reason: str
    whole: bool
    seconds: float
    version: str
    body: str
    status: int
    retry_after: str
    first_token: float
    sent: float
    account: str = ""


class Caller:
    """Sends requests to entries and checks the answers.

    Attributes:
        known: Weights by root digest.
        history: All answers.
    """

    def __init__(self, entries: Sequence[str], fleet: str, key: str) -> None:
        self.entries = list(entries)
        self.fleet = fleet
        self.key = key
        self.pool = PoolManager(num_pools=64, maxsize=256, retries=False)
        self.known: dict[str, Weights] = {}
        self.history: list[Answer] = []
        self.sent = 0

    def know(self, directory: Path) -> str:
        """Read a version's weights for checking; return its root digest."""
        root = root_digest((directory / "manifest.json").read_bytes())
        self.known[root] = read_weights(directory)
        return root

    def send(
        self,
        service: str,
        body: str,
        entry: int | None = None,
        repeatable: bool = False,
        key: str = "",
        deadline: float = 10.0,
        account_key: str = "",
    ) -> Answer:
        """Send one request and return its checked answer."""
        self.sent += 1
        index = self.sent if entry is None else entry
        address = self.entries[index % len(self.entries)]
        headers = {
            "Authorization": f"Bearer {account_key or self.key}",
            "Ridgecourse-Deadline-Ms": str(int(deadline * 1000)),
            "Ridgecourse-Repeatable": "yes" if repeatable else "no",
        }
        if key:
            headers["Idempotency-Key"] = key
        answer = self._exchange(address, service, body, headers, deadline)
        self.history.append(answer)
        return answer

    def _exchange(
        self,
        address: str,
        service: str,
        body: str,
        headers: dict[str, str],
        deadline: float,
    ) -> Answer:
        begun = monotonic()
        first = 0.0
        status, outcome, reason, version, after = 0, "unknown", "", "", ""
        lines: list[bytes] = []
        whole = False
        try:
            response = self.pool.request(
                "POST",
                f"http://{address}/v1/{self.fleet}/{service}",
                body=body.encode(),
                headers=headers,
                preload_content=False,
                timeout=Timeout(connect=2.0, read=deadline + 5.0),
            )
            status = response.status
            outcome = response.headers.get("Ridgecourse-Outcome", "unknown")
            reason = response.headers.get("Ridgecourse-Reason", "")
            after = response.headers.get("Retry-After", "")
            stream = b""
            while piece := response.read1(65536):
                first = first or monotonic() - begun
                stream += piece
            response.release_conn()
            lines = stream.splitlines()
            if "ndjson" in response.headers.get("Content-Type", ""):
                outcome, version, whole = self.check_stream(lines, body)
            else:
                whole = outcome == "completed"
        except (HTTPError, OSError) as error:
            reason = f"connection: {type(error).__name__}"
            outcome = "not-run" if "NewConnection" in repr(error) else "unknown"
        took = monotonic() - begun
        return Answer(
            outcome, reason, whole, took, version, body, status, after, first, begun
        )

    def check_stream(self, lines: list[bytes], body: str) -> tuple[str, str, bool]:
        """Return outcome, version and whether a streamed answer is right."""
        events = [json.loads(line) for line in lines]
        if not events or not events[-1].get("end"):
            return "unknown", "", False
        last = events[-1]
        outcome = last.get("outcome", "unknown")
        if outcome != "completed":
            return outcome, last.get("version", ""), False
        tokens = [event["token"] for event in events[:-1]]
        prompt = json.loads(body)
        weights = self.known.get(last["version"])
        if weights is None:
            return outcome, last["version"], False
        expected = weights.answer(prompt["prompt"], prompt["max_tokens"])
        return outcome, last["version"], tokens == expected


def prompt_body(tokens: int = 8, prompt: str = "") -> str:
    """Return a request body that no other request has."""
    return json.dumps({"prompt": prompt or uuid4().hex, "max_tokens": tokens})


class Load:
    """Sends requests at a steady rate from threads, until stopped.

    Attributes:
        caller: Sends and keeps the history.
    """

    def __init__(
        self,
        caller: Caller,
        service: str,
        rate: float,
        workers: int = 32,
        **options: Any,
    ) -> None:
        self.caller = caller
        self.service = service
        self.rate = rate
        self.options = options
        self.tokens = options.pop("tokens", 8)
        self.stopped = Event()
        self.due: Queue[float | None] = Queue()
        self.threads = [Thread(target=self._work, daemon=True) for _ in range(workers)]
        self.clock = Thread(target=self._tick, daemon=True)

    def start(self) -> None:
        """Begin to send."""
        for thread in [*self.threads, self.clock]:
            thread.start()

    def _tick(self) -> None:
        due = monotonic()
        while not self.stopped.is_set():
            self.due.put(due)
            due += 1.0 / self.rate
            sleep(max(0.0, due - monotonic()))

    def _work(self) -> None:
        while self.due.get() is not None and not self.stopped.is_set():
            body = prompt_body(self.tokens)
            self.caller.send(self.service, body, **self.options)

    def close(self) -> None:
        """Send no more, and wait for what is under way."""
        self.stopped.set()
        self.clock.join()
        for _ in self.threads:
            self.due.put(None)
        for thread in self.threads:
            thread.join(60.0)
