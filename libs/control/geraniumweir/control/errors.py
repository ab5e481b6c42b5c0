"""Errors of control hosts."""

from geraniumweir.common import errors


class ControlError(errors.GeraniumweirError):
    """Something a control host was asked for can't be done."""

    code = 'GW-7300'


class UnsureError(ControlError):
    """This host can't be sure which document is the newest."""

    code = 'GW-7301'


class NotStoredError(ControlError):
    """A document wasn't stored, or it isn't known whether it was."""

    code = 'GW-7302'
