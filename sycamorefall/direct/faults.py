"""Exceptions that must not lose the work beside the one that raised."""

__all__ = ["contain", "log_fault"]

from collections.abc import Callable
import traceback

from sycamorefall import observation


def log_fault(error: Exception) -> None:
    """Logs an exception that nobody expected.

    Errors of the kernel, such as a lack of descriptors, may come with each
    request of a crowd and are logged once a second.
    """
    trace = "".join(traceback.format_exception(error))
    if isinstance(error, OSError):
        observation.write_rate_limited(
            observation.Level.ERROR, "process.kernel_error", traceback=trace
        )
    else:
        observation.write_record(
            observation.Level.ERROR, "process.fault", traceback=trace
        )


def contain(step: Callable[[], None]) -> bool:
    """Runs a step, and logs its exception.

    Returns:
        Whether the step ended without one.
    """
    try:
        step()
    except Exception as error:
        log_fault(error)
        return False
    return True
