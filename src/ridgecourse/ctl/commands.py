"""Implementation of the verbs of ``ridgecourse-ctl``.

Most verbs make one call to the administration API; ``service watch`` polls until the
rollout is complete.
"""

from argparse import Namespace
from collections.abc import Callable
from time import sleep
from uuid import uuid4

from returns.result import Failure, Result, Success

from ridgecourse.core.manifest import parse_manifest, root_digest
from ridgecourse.core.problem import Problems, render_problems
from ridgecourse.ctl.client import AdminClient, CallFailure
from ridgecourse.ctl.output import Output
from ridgecourse.ctl.publish import make_manifest, total_bytes, write_manifest
from ridgecourse.net.clock import boottime
from ridgecourse.net.exit_code import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from ridgecourse.wire import admin_pb as pb

EXIT_UNKNOWN = 3
"""Exit code if the outcome of a change is unknown."""
WATCH_SECONDS = 0.5
"""Interval between two polls of a rollout's progress."""


class Commands:
    """Executes verbs against one entry.

    The public methods are named NOUN_VERB; each returns an exit code.

    Attributes:
        client: Client of the entry's administration API.
        output: Prints results and errors.
    """

    def __init__(self, client: AdminClient, output: Output) -> None:
        self.client = client
        self.output = output

    def run(self, arguments: Namespace) -> int:
        """Execute the verb named by the arguments and return its exit code."""
        verb = arguments.verb.replace("-", "_")
        method: Callable[[Namespace], int] = getattr(self, f"{arguments.noun}_{verb}")
        return method(arguments)

    # Verbs that change the configuration.

    def _change_header(self, arguments: Namespace) -> pb.ChangeHeader:
        arguments.change_id = arguments.change_id or uuid4().hex
        header = pb.ChangeHeader(
            change_id=arguments.change_id, deadline_ms=int(arguments.deadline * 1000)
        )
        if arguments.if_revision is not None:
            header.expected_revision = arguments.if_revision
        return header

    def _submit_change(self, method: str, request: object, arguments: Namespace) -> int:
        result = self.client.change(method, request, arguments.deadline)  # type: ignore[arg-type]
        if isinstance(result, Failure):
            return self._report_failure(result.failure(), arguments.change_id)
        return self._report_outcome(result.unwrap())

    def _report_outcome(self, reply: pb.ChangeReply) -> int:
        self.output.change(reply)
        if reply.status is pb.ChangeStatus.ACCEPTED:
            return EXIT_OK
        return EXIT_FAILED if reply.status is pb.ChangeStatus.REJECTED else EXIT_UNKNOWN

    def _report_failure(self, failure: CallFailure, change_id: str = "") -> int:
        if failure.maybe_executed and change_id:
            hint = f"the outcome is unknown; query it with: change show {change_id}"
            self.output.error(str(failure), hint)
            return EXIT_UNKNOWN
        self.output.error(str(failure), "no change was made; try another entry")
        return EXIT_FAILED

    def fleet_create(self, arguments: Namespace) -> int:
        """Create or change a fleet."""
        request = pb.CreateFleetRequest(
            header=self._change_header(arguments),
            fleet=arguments.fleet,
            origin_copies=arguments.origin_copies,
        )
        return self._submit_change("CreateFleet", request, arguments)

    def service_create(self, arguments: Namespace) -> int:
        """Create a service."""
        request = pb.PutServiceRequest(
            header=self._change_header(arguments),
            fleet=arguments.fleet,
            service=arguments.service,
            kind=arguments.kind,
        )
        return self._submit_change("PutService", request, arguments)

    def service_place(self, arguments: Namespace) -> int:
        """Start a rollout of a version to a service."""
        request = pb.PlaceRequest(
            header=self._change_header(arguments),
            fleet=arguments.fleet,
            service=arguments.service,
            model=arguments.model,
            version=arguments.model_version,
        )
        return self._submit_change("Place", request, arguments)

    def service_roll_back(self, arguments: Namespace) -> int:
        """Start a rollout of the previously placed version."""
        request = pb.RollBackRequest(
            header=self._change_header(arguments),
            fleet=arguments.fleet,
            service=arguments.service,
        )
        return self._submit_change("RollBack", request, arguments)

    def service_abort(self, arguments: Namespace) -> int:
        """Stop a rollout without reverting the targets that completed it."""
        request = pb.AbortRequest(
            header=self._change_header(arguments),
            fleet=arguments.fleet,
            service=arguments.service,
        )
        return self._submit_change("Abort", request, arguments)

    def service_traffic(self, arguments: Namespace) -> int:
        """Set the traffic weight of each domain."""
        weights: dict[str, int] = {}
        for text in arguments.weights:
            domain, _, weight = text.partition("=")
            if not weight.isdecimal():
                self.output.error(
                    f"invalid traffic weight {text!r}", "expected DOMAIN=WEIGHT"
                )
                return EXIT_USAGE
            weights[domain] = int(weight)
        request = pb.SetTrafficRequest(
            header=self._change_header(arguments),
            fleet=arguments.fleet,
            service=arguments.service,
            weights=weights,
        )
        return self._submit_change("SetTraffic", request, arguments)

    def target_join(self, arguments: Namespace) -> int:
        """Add a target to a service."""
        request = pb.JoinTargetRequest(
            header=self._change_header(arguments),
            fleet=arguments.fleet,
            service=arguments.service,
            target=arguments.target,
            domain=arguments.domain,
            address=arguments.address,
            control_address=arguments.control,
        )
        return self._submit_change("JoinTarget", request, arguments)

    def target_leave(self, arguments: Namespace) -> int:
        """Take a target out of service."""
        request = pb.LeaveTargetRequest(
            header=self._change_header(arguments),
            fleet=arguments.fleet,
            target=arguments.target,
        )
        return self._submit_change("LeaveTarget", request, arguments)

    def account_put(self, arguments: Namespace) -> int:
        """Create or change an account."""
        request = pb.PutAccountRequest(
            header=self._change_header(arguments),
            fleet=arguments.fleet,
            account=arguments.account,
            key_digest=arguments.key_digest,
            max_in_flight=arguments.max_in_flight,
            priority=arguments.priority,
            weight=arguments.weight,
        )
        return self._submit_change("PutAccount", request, arguments)

    def model_publish(self, arguments: Namespace) -> int:
        """Publish a version from its weight files or from an existing manifest."""
        loaded = self._load_manifest(arguments)
        if isinstance(loaded, Failure):
            self.output.error(
                render_problems(loaded.failure()), "nothing was published"
            )
            return EXIT_USAGE
        data = loaded.unwrap()
        parsed = parse_manifest(data)
        if isinstance(parsed, Failure):
            self.output.error(
                render_problems(parsed.failure()), "nothing was published"
            )
            return EXIT_USAGE
        default_origin_path = f"{arguments.model}-{arguments.model_version}"
        request = pb.PublishVersionRequest(
            header=self._change_header(arguments),
            fleet=arguments.fleet,
            model=arguments.model,
            version=arguments.model_version,
            root_digest=root_digest(data),
            origin_path=arguments.origin_path or default_origin_path,
            total_bytes=parsed.unwrap().total_bytes(),
        )
        return self._submit_change("PublishVersion", request, arguments)

    def _load_manifest(self, arguments: Namespace) -> Result[bytes, Problems]:
        if arguments.manifest is not None:
            return Success(arguments.manifest.read_bytes())
        directory = arguments.directory
        if directory is None:
            self.output.error("no version given", "pass --directory or --manifest")
            return Failure(())
        total = total_bytes(directory) if directory.is_dir() else 0
        with self.output.progress("reading", total) as advance:
            manifest_result = make_manifest(directory, arguments.chunk_bytes, advance)
        return manifest_result.map(lambda manifest: write_manifest(directory, manifest))

    # Verbs that read.

    def change_show(self, arguments: Namespace) -> int:
        """Show the outcome of a change."""
        request = pb.GetChangeRequest(change_id=arguments.change_id)
        result = self.client.call("GetChange", request, pb.ChangeReply)
        if isinstance(result, Failure):
            return self._report_failure(result.failure())
        return self._report_outcome(result.unwrap())

    def fleet_show(self, arguments: Namespace) -> int:
        """Show a fleet's configuration."""
        request = pb.ShowRequest(fleet=arguments.fleet)
        result = self.client.call("Show", request, pb.ShowReply)
        if isinstance(result, Failure):
            return self._report_failure(result.failure())
        self.output.configuration(result.unwrap())
        return EXIT_OK

    def _rollout(
        self, arguments: Namespace
    ) -> Result[pb.ShowRolloutReply, CallFailure]:
        request = pb.ShowRolloutRequest(
            fleet=arguments.fleet, service=arguments.service
        )
        return self.client.call("ShowRollout", request, pb.ShowRolloutReply)

    def service_show(self, arguments: Namespace) -> int:
        """Show the progress of each target."""
        result = self._rollout(arguments)
        if isinstance(result, Failure):
            return self._report_failure(result.failure())
        self.output.rollout(result.unwrap())
        return EXIT_OK

    def service_watch(self, arguments: Namespace) -> int:
        """Show a rollout's progress until every target serves the version."""
        deadline = boottime() + arguments.timeout
        with self.output.watch() as show:
            while boottime() < deadline:
                result = self._rollout(arguments)
                if isinstance(result, Failure):
                    return self._report_failure(result.failure())
                reply = result.unwrap()
                show(reply)
                if is_complete(reply):
                    return EXIT_OK
                sleep(WATCH_SECONDS)
        self.output.error(
            "the rollout is not complete within the timeout", "see: service show"
        )
        return EXIT_FAILED


def is_complete(reply: pb.ShowRolloutReply) -> bool:
    """Check whether every target that is not leaving serves the version."""
    remaining = [target for target in reply.targets if not target.leaving]
    return bool(remaining) and all(
        target.serving_digest == reply.root_digest for target in remaining
    )
