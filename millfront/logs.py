"""Logging of events with fields, through the standard library or, if enabled, structlog.

A message is a constant event and named fields, so that it can be counted and searched. Only use_structlog()
imports structlog: a gatekeeper without an operators' file runs without it.
"""

import logging
import sys
from typing import Any

JSON_TYPES = (str, int, float, bool, list, dict, type(None))  # logged without conversion to text
LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


class Log:
    """The logger of a module. No call raises. It is not called for each request."""

    def __init__(self, name: str) -> None:
        self._logger = logging.getLogger(name)

    def info(self, event: str, **fields: object) -> None:
        self._emit(logging.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        self._emit(logging.WARNING, event, fields)

    def error(self, event: str, **fields: object) -> None:
        self._emit(logging.ERROR, event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """An error with the traceback of the exception being handled."""
        self._emit(logging.ERROR, event, fields, True)

    def _emit(self, level: int, event: str, fields: dict[str, object], traceback: bool = False) -> None:
        if self._logger.isEnabledFor(level):
            self._logger.log(level, event.replace("%", "%%"), exc_info=traceback, extra={"fields": fields})


class RateLimitFilter(logging.Filter):
    """Passes one warning of a kind per second: a misbehaving peer must not cause a log line per request."""

    INTERVAL_S = 1.0

    def __init__(self) -> None:
        super().__init__()
        self._last: dict[tuple[str, str], float] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        kind = (record.name, str(record.msg))
        if record.levelno < logging.WARNING or record.created - self._last.get(kind, 0.0) >= self.INTERVAL_S:
            self._last[kind] = record.created
            return True
        return False


class PlainFormatter(logging.Formatter):
    """A line of text: time, level, module, event, then field=value."""

    def __init__(self) -> None:
        super().__init__("%(asctime)s %(levelname)s %(name)s: %(message)s%(fields_text)s")

    def format(self, record: logging.LogRecord) -> str:
        fields: dict[str, object] = getattr(record, "fields", {})
        record.fields_text = "".join(f" {name}={value}" for name, value in fields.items())
        return super().format(record)


def start() -> None:
    """Sets up logging without an operators' file: lines on standard error, from level info."""
    handler = logging.StreamHandler()
    handler.addFilter(RateLimitFilter())
    handler.setFormatter(PlainFormatter())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)


def use_structlog(form: str, level: str) -> None:
    """Switches logging to structlog.

    :param form: ``json``, one object per line, or ``console``, for a terminal
    :param level: a name in LEVELS; lower levels are not written
    """
    import structlog

    def fields(_: Any, __: str, event: Any) -> Any:
        for name, value in getattr(event["_record"], "fields", {}).items():
            event[name] = value if isinstance(value, JSON_TYPES) else str(value)
        return event

    pre_chain: list[Any] = [
        fields,
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    processors: list[Any] = [structlog.stdlib.ProcessorFormatter.remove_processors_meta]
    if form == "json":
        processors += [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    else:
        processors.append(structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty()))
    (handler,) = logging.getLogger().handlers
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(foreign_pre_chain=pre_chain, processors=processors)
    )
    logging.getLogger().setLevel(LEVELS[level])
