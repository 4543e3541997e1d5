"""Log records and counts of crashed upstreams and quarantined requests."""

__all__ = ["record_report"]

from sycamorefall import observation
from sycamorefall.direct import effects, fingerprints


def record_report(
    recorder: observation.Recorder,
    effect: effects.ReportCrash
    | effects.ReportQuarantine
    | effects.ReportTrial,
) -> None:
    """Logs and counts a crash, a quarantine or a trial."""
    match effect:
        case effects.ReportCrash():
            observation.count_event(recorder, "upstream", "crashed")
            observation.write_record(
                observation.Level.WARNING,
                "upstream.crashed",
                upstream=effect.crash.upstream,
                requests=effect.requests,
            )
        case effects.ReportQuarantine():
            is_part = fingerprints.is_part(effect.fingerprint)
            accused = "part" if is_part else "request"
            observation.count_event(recorder, accused, "quarantined")
            observation.write_record(
                observation.Level.WARNING,
                "quarantine.added",
                accused=accused,
                fingerprint=effect.fingerprint.hex(),
                crashed=[crash.upstream for crash in effect.crashes],
            )
        case effects.ReportTrial():
            observation.count_event(recorder, "part", "tried")
            observation.write_record(
                observation.Level.INFO,
                "quarantine.trial",
                fingerprint=effect.fingerprint.hex(),
            )
