"""A client that checks every answer against the model weights and keeps a history.

Tests, the demo and benchmarks use the client to find answers that were computed with
partial or mixed weights.
"""

import json
from collections.abc import Sequence
from pathlib import Path
from queue import Queue
from threading import Event, Thread
from time import monotonic, sleep
from typing import Any, NamedTuple
from uuid import uuid4

from urllib3 import Timeout
from urllib3.exceptions import HTTPError

from ridgecourse.core.manifest import root_digest
from ridgecourse.net.answer_connection import AnswerPoolManager
from ridgecourse_standins.oracle import Weights, read_weights

READ_SECONDS = 30.0


class Answer(NamedTuple):
    """Result of one request, as the client observed it.

    Attributes:
        outcome: The outcome that the entry reported; "unknown" if the connection
            broke, "not-run" if the connection was never established.
        reason: The reason that the entry reported, or the connection error.
        correct: Whether the request completed and, for a streamed answer, whether the
            tokens match the weights of the version.
        seconds: Time from sending the request to the end of the answer.
        version: Root digest of the version that computed the answer.
        body: Body of the request.
        status: HTTP status; 0 if there was no response.
        retry_after: Value of the Retry-After header; empty if absent.
        first_token_seconds: Time from sending to the first bytes of the answer.
        sent_at: Monotonic time at which the request was sent.
    """

    outcome: str
    reason: str
    correct: bool
    seconds: float
    version: str
    body: str
    status: int
    retry_after: str
    first_token_seconds: float
    sent_at: float
    account: str = ""


class VerifyingClient:
    """Sends requests to entries and checks the answers against known weights.

    Attributes:
        weights_by_root: Weights of the versions that can be checked, by root digest.
        history: Results of all requests, in the order in which they ended.
        sent_count: Requests sent so far; selects the entry of the next request.
    """

    def __init__(self, entries: Sequence[str], fleet: str, key: str) -> None:
        self.entries = list(entries)
        self.fleet = fleet
        self.key = key
        self.pool = AnswerPoolManager(num_pools=64, maxsize=256, retries=False)
        self.weights_by_root: dict[str, Weights] = {}
        self.history: list[Answer] = []
        self.sent_count = 0

    def add_version(self, directory: Path) -> str:
        """Read the weights of a version to check answers; return its root digest."""
        root = root_digest((directory / "manifest.json").read_bytes())
        self.weights_by_root[root] = read_weights(directory)
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
        """Send one request and return the checked result.

        Args:
            service: Service that the request is for.
            body: Body of the request.
            entry: Index of the entry; None to use the entries in turn.
            repeatable: Whether the request may be run more than once.
            key: Idempotency key; empty for none.
            deadline: Time limit of the request, in seconds.
            account_key: API key of the account; empty for the key of the client.
        """
        self.sent_count += 1
        index = self.sent_count if entry is None else entry
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
        started_at = monotonic()
        first_token = 0.0
        status, outcome, reason, version, retry_after = 0, "unknown", "", "", ""
        lines: list[bytes] = []
        correct = False
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
            retry_after = response.headers.get("Retry-After", "")
            stream = b""
            while block := response.read1(65536):
                first_token = first_token or monotonic() - started_at
                stream += block
            response.release_conn()
            lines = stream.splitlines()
            if "ndjson" in response.headers.get("Content-Type", ""):
                outcome, version, correct = self.check_stream(lines, body)
            else:
                correct = outcome == "completed"
        except (HTTPError, OSError) as error:
            reason = f"connection: {type(error).__name__}"
            outcome = "not-run" if "NewConnection" in repr(error) else "unknown"
        elapsed = monotonic() - started_at
        return Answer(
            outcome,
            reason,
            correct,
            elapsed,
            version,
            body,
            status,
            retry_after,
            first_token,
            started_at,
        )

    def check_stream(self, lines: list[bytes], body: str) -> tuple[str, str, bool]:
        """Return the outcome, the version and whether a streamed answer is correct."""
        events = [json.loads(line) for line in lines]
        if not events or not events[-1].get("end"):
            return "unknown", "", False
        last = events[-1]
        outcome = last.get("outcome", "unknown")
        if outcome != "completed":
            return outcome, last.get("version", ""), False
        tokens = [event["token"] for event in events[:-1]]
        prompt = json.loads(body)
        weights = self.weights_by_root.get(last["version"])
        if weights is None:
            return outcome, last["version"], False
        expected = weights.answer(prompt["prompt"], prompt["max_tokens"])
        return outcome, last["version"], tokens == expected


def prompt_body(tokens: int = 8, prompt: str = "") -> str:
    """Return a request body; without a prompt, a random one makes the body unique."""
    return json.dumps({"prompt": prompt or uuid4().hex, "max_tokens": tokens})


class LoadGenerator:
    """Sends requests at a constant rate from a pool of threads until stopped.

    Attributes:
        client: Sends the requests and keeps the history.
        rate: Requests per second.
        due_times: Monotonic send times of the requests that no thread has taken yet;
            None ends a thread.
        clock: Thread that queues the send times.
    """

    def __init__(
        self,
        caller: VerifyingClient,
        service: str,
        rate: float,
        workers: int = 32,
        **options: Any,
    ) -> None:
        self.client = caller
        self.service = service
        self.rate = rate
        self.options = options
        self.tokens = options.pop("tokens", 8)
        self.stopped = Event()
        self.due_times: Queue[float | None] = Queue()
        self.threads = [
            Thread(target=self._send_requests, daemon=True) for _ in range(workers)
        ]
        self.clock = Thread(target=self._schedule, daemon=True)

    def start(self) -> None:
        """Start sending."""
        for thread in [*self.threads, self.clock]:
            thread.start()

    def _schedule(self) -> None:
        due = monotonic()
        while not self.stopped.is_set():
            self.due_times.put(due)
            due += 1.0 / self.rate
            sleep(max(0.0, due - monotonic()))

    def _send_requests(self) -> None:
        while self.due_times.get() is not None and not self.stopped.is_set():
            body = prompt_body(self.tokens)
            self.client.send(self.service, body, **self.options)

    def close(self) -> None:
        """Stop sending and wait for the requests in flight."""
        self.stopped.set()
        self.clock.join()
        for _ in self.threads:
            self.due_times.put(None)
        for thread in self.threads:
            thread.join(60.0)
