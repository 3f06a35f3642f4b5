"""What an item asks of its engine, by the newest routes document.

Used by the leading keeper for each run of an item. Owns nothing; reads the replicated jobs and the
directory.
"""

from merlinstand.batch_jobs.item_run import ItemRun
from merlinstand.batch_jobs.state_machine import JobStates
from merlinstand.cluster.backend_headers import backend_headers
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.routes import Route
from merlinstand.common.ids import CallId, ContentDigest
from merlinstand.decisions.retry import STREAM_IDLE_TIMEOUT_SECONDS
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.kernel.effects import StartCall
from merlinstand.quarantine.request_digest import compute_digest


class ItemRequests:
    """Requests of the items of kept jobs."""

    def __init__(self, jobs: JobStates, follower: DirectoryFollower, names: HeaderNames) -> None:
        """Look at nothing yet.

        Args:
            jobs: The replicated jobs.
            follower: The directory, for routes and tenants.
            names: Header names.
        """
        self._jobs = jobs
        self._follower = follower
        self._names = names

    def host_of(self, run: ItemRun) -> str:
        """Give the host that the item names, else that of its job."""
        job = self._jobs.jobs[run.job_id].job
        return run.item.headers.get("host", job.host)

    def route_of(self, run: ItemRun) -> Route | None:
        """Give the route of an item; None if there is none any more."""
        path = run.item.path.partition("?")[0]
        return self._follower.routes.find(self.host_of(run), path)

    def is_single_version(self, run: ItemRun) -> bool:
        """Whether one weight version must make the whole text."""
        route = self.route_of(run)
        return route is not None and route.single_version

    def content_of(self, run: ItemRun) -> ContentDigest:
        """Give the digest of what the item asks of an engine; it names the item over its runs."""
        if run.content is None:
            tenant = self._jobs.jobs[run.job_id].job.tenant
            host = self.host_of(run)
            run.content = compute_digest(tenant, host, "POST", run.item.path, run.item.body)
        return run.content

    def call(self, run: ItemRun, call_id: CallId, backend: Backend, route: Route) -> StartCall:
        """Give the call that has an engine run an item.

        A run that goes on names the last event that the item has; the engine goes on after it.

        Args:
            run: The item.
            call_id: Names the call within this process.
            backend: The engine.
            route: The item's.
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
            host=self.host_of(run),
            echo_header=self._names.request_id,
            # Not to be reset by an engine that was gone before: see `Forwarder`.
            fresh_connection=run.is_suspect,
        )

    def _headers(self, run: ItemRun, backend: Backend, route: Route) -> dict[str, str]:
        tenant = self._jobs.jobs[run.job_id].job.tenant
        tenants = self._follower.routes.tenants
        headers = {
            **backend_headers(run.item.headers, route, tenant, tenants, self._names),
            self._names.request_id: run.item.item_id,
            self._names.expected_backend: backend.backend_id,
        }
        if run.text.last_event_id:
            headers["last-event-id"] = str(run.text.last_event_id)
        return headers
