"""`pollenroad daemon`: run the daemon of one VM."""

import gc
import signal
import sys

import gevent
import msgspec
from returns.result import Failure, Success

from pollenroad.logs import configure_logs
from pollenroad.settings import load_settings
from pollenroad.shell.daemon import make_daemon

GC_THRESHOLDS = (20_000, 20, 50)
"""Thresholds of `gc.set_threshold` by generation; frequent full collections delay calls."""


def _configure_garbage_collector() -> None:
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def run(settings: str, *, record: str = "") -> int:
    """Run the daemon of one VM until SIGTERM; then finish the requests in flight and exit.

    Args:
        settings: Path of the settings file, JSON; see docs/operators/install.md.
        record: File to which a trace is recorded, in place of the settings' own `record`.

    Returns:
        0 after a graceful stop, 1 if the settings are refused.
    """
    match load_settings(settings):
        case Failure(error):
            print(error, file=sys.stderr)
            return 1
        case Success(checked):
            if record:
                checked = msgspec.structs.replace(checked, record=record)
            configure_logs(checked.log_level, checked.vm)
            daemon = make_daemon(checked)
            gevent.signal_handler(signal.SIGTERM, daemon.stop)
            gevent.signal_handler(signal.SIGINT, daemon.stop)
            daemon.start()
            _configure_garbage_collector()
            daemon.wait()
    return 0
