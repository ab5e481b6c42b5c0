"""Errors of control hosts."""

from geraniumweir.common import errors


class ControlError(errors.GeraniumweirError):
    """A request to a control host that cannot be carried out."""

    code = 'GW-7300'


class NotUpToDateError(ControlError):
    """This host may not have the newest document or order."""

    code = 'GW-7301'


class NotStoredError(ControlError):
    """Something was not stored, or may not have been."""

    code = 'GW-7302'


class DocumentTooLargeError(ControlError):
    """A document exceeds the size that the log accepts."""

    code = 'GW-7305'


class RolloutInProgressError(ControlError):
    """Another rollout of the pool is in progress."""

    code = 'GW-7303'


class NothingToRollOutError(ControlError):
    """The pool of a rollout is unknown, or has moved already."""

    code = 'GW-7304'
