"""Events of the peer layer, numbers 401 to 499."""

from geraniumweir.common import logevents

LISTENING = logevents.Event(
    401,
    logevents.Level.info,
    'listening for peers at {address}',
)
CONNECTED = logevents.Event(
    402,
    logevents.Level.info,
    'connected to peer {peer}',
)
DISCONNECTED = logevents.Event(
    403,
    logevents.Level.info,
    'connection to peer {peer} lost: {reason}',
)
BAD_FRAME = logevents.Event(
    404,
    logevents.Level.warning,
    'connection to peer {peer} closed after an invalid frame: {reason}',
)
DIAL_FAILED = logevents.Event(
    405,
    logevents.Level.info,
    'cannot connect to peer {peer}: {reason}',
)
GREETING_FAILED = logevents.Event(
    406,
    logevents.Level.warning,
    'rejected connection from {address}: {reason}',
)
HANDLER_FAILED = logevents.Event(
    407,
    logevents.Level.error,
    'handler of {message} from peer {peer} failed: {reason}',
)
HANDLERS_BUSY = logevents.Event(
    408,
    logevents.Level.warning,
    'peer {peer} sends faster than its messages are handled',
)
SILENT = logevents.Event(
    409,
    logevents.Level.notice,
    'nothing arrives from peer {peer} on the open connections; dialling',
)
DELIVERS_AGAIN = logevents.Event(
    410,
    logevents.Level.info,
    'a connection to peer {peer} delivers again after a silence',
)
MESSAGE_TOO_LONG = logevents.Event(
    411,
    logevents.Level.error,
    'a {message} to peer {peer} is too long to be sent: {size} bytes',
)
