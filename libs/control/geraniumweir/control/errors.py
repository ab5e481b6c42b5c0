"""Errors of control hosts."""

from geraniumweir.common import errors


class ControlError(errors.GeraniumweirError):
    """Something a control host was asked for can't be done."""

    code = 'GW-7300'


class NotUpToDateError(ControlError):
    """This host can't be sure which document or order is the newest."""

    code = 'GW-7301'


class NotStoredError(ControlError):
    """Something wasn't stored, or it isn't known whether it was."""

    code = 'GW-7302'


class RolloutInProgressError(ControlError):
    """Another rollout of the pool is under way."""

    code = 'GW-7303'


class NothingToRollOutError(ControlError):
    """A pool to roll out to isn't known, or has moved already."""

    code = 'GW-7304'
