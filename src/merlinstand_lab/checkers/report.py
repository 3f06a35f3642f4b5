"""Results of checkers as data."""

import msgspec


class Violation(msgspec.Struct, frozen=True):
    """One broken promise."""

    subject: str
    """The sample, request, back end or command it is about."""
    detail: str

    def __str__(self) -> str:
        """Give it on one line."""
        return f"{self.subject}: {self.detail}"


class PromiseResult(msgspec.Struct, frozen=True, kw_only=True):
    """What one checker found."""

    name: str
    promise: str
    """The promise in the users' words."""
    checked: int
    """How many things the checker looked at."""
    unit: str
    """What was counted."""
    violations: list[Violation] = []
    required: bool = True
    """Whether having checked nothing is a failure."""

    @property
    def passed(self) -> bool:
        """Whether the promise was kept, and was put to the test if it had to be."""
        return not self.violations and (self.checked > 0 or not self.required)


class Report(msgspec.Struct, frozen=True):
    """Results of all checkers."""

    promises: list[PromiseResult]

    @property
    def passed(self) -> bool:
        """Whether every checker passed."""
        return all(promise.passed for promise in self.promises)
