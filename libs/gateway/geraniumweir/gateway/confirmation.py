"""Whether the routing document of an entry host is up to date."""

from geraniumweir.common import eventlog, timers
from geraniumweir.control import watching
from geraniumweir.gateway import admission, logevents
from geraniumweir.observe import metricnames, metrics

_SECONDS_DIGITS = 3


class Confirmation:
    """Compares the age of the last confirmation with a limit."""

    def __init__(
        self,
        watcher: watching.Watcher,
        limit_seconds: float,
        meter: metrics.Metrics,
    ) -> None:
        """Initialize for one watcher.

        :param limit_seconds: for so long an answer of the control hosts counts
            as up to date.
        """
        self._watcher = watcher
        self._limit_seconds = limit_seconds
        self._clock = timers.TimerService()
        self._started_at = self._clock.now()
        self._logged_for = float('nan')
        meter.gauge(metricnames.DOCUMENT_UNCONFIRMED, self._ages)

    def document_state(self) -> admission.DocumentState:
        """Return the routing document that is in force now."""
        index = self._watcher.index
        confirmed_at = self._watcher.age.confirmed_at
        is_up_to_date = self._clock.now() - confirmed_at <= self._limit_seconds
        # One line for each gap, however many requests come meanwhile.
        if index and not is_up_to_date and self._logged_for != confirmed_at:
            self._logged_for = confirmed_at
            self._log(max(confirmed_at, self._started_at))
        return admission.DocumentState(index, is_up_to_date)

    def _log(self, since: float) -> None:
        eventlog.emit(
            logevents.DOCUMENT_UNCONFIRMED,
            version=self._watcher.version,
            seconds=round(self._clock.now() - since, _SECONDS_DIGITS),
        )

    def _ages(self) -> dict[tuple[str, ...], float]:
        age = self._watcher.age.seconds()
        return {} if age is None else {(): age}
