"""Builds the requests of items to engines, according to the current routes document.

Used by the leading keeper for each run of an item.
"""

from merlinstand.batch_jobs.item_run import ItemRun
from merlinstand.batch_jobs.state_machine import JobStates
from merlinstand.cluster.backend_headers import backend_headers
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.routes import Route
from merlinstand.common.ids import CallId
from merlinstand.decisions.retry import STREAM_IDLE_TIMEOUT_SECONDS
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.kernel.effects import StartCall


class ItemRequests:
    """Routes and requests of the items of replicated jobs."""

    def __init__(
        self, jobs: JobStates, follower: DirectoryFollower, header_names: HeaderNames
    ) -> None:
        """Store the dependencies.

        Args:
            jobs: The replicated jobs.
            follower: The directory, for routes and tenants.
            header_names: Names of the headers of requests to engines.
        """
        self._jobs = jobs
        self._follower = follower
        self._header_names = header_names

    def host_of(self, run: ItemRun) -> str:
        """Return the host in the item's headers; without one, the host of its job."""
        job = self._jobs.jobs[run.job_id].job
        return run.item.headers.get("host", job.host)

    def route_of(self, run: ItemRun) -> Route | None:
        """Return the route of an item; None if the route no longer exists."""
        path = run.item.path.partition("?")[0]
        return self._follower.routes.find(self.host_of(run), path)

    def is_single_version(self, run: ItemRun) -> bool:
        """Return whether the complete text must come from one weight version."""
        route = self.route_of(run)
        return route is not None and route.single_version

    def make_call(self, run: ItemRun, call_id: CallId, backend: Backend, route: Route) -> StartCall:
        """Return the call that runs an item at an engine.

        If the item already has events, `last-event-id` names the last one; the engine continues
        after it.

        Args:
            run: The item.
            call_id: Unique within this process.
            backend: The engine.
            route: Route of the item.
        """
        return StartCall(
            call_id=call_id,
            address=backend.address,
            method="POST",
            path=run.item.path,
            headers=self._headers(run, backend, route),
            body=run.item.body,
            timeout_seconds=STREAM_IDLE_TIMEOUT_SECONDS,
            stream=True,
            is_event_stream=True,
            host=self.host_of(run),
            echo_header=self._header_names.request_id,
            # A reused connection could be reset because of an earlier crash; see `Forwarder`.
            fresh_connection=run.was_interrupted,
        )

    def _headers(self, run: ItemRun, backend: Backend, route: Route) -> dict[str, str]:
        tenant = self._jobs.jobs[run.job_id].job.tenant
        tenants = self._follower.routes.tenants
        headers = {
            **backend_headers(run.item.headers, route, tenant, tenants, self._header_names),
            self._header_names.request_id: run.item.item_id,
            self._header_names.expected_backend: backend.backend_id,
        }
        if run.text.last_event_id:
            headers["last-event-id"] = str(run.text.last_event_id)
        return headers
