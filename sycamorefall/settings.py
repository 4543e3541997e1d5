"""Settings of one process, read from an INI file and validated.

Each section of the file is decoded into one of the structs below. A file with
an unknown section or key, a missing key or a value of the wrong type is
refused with a one-line message.
"""

__all__ = [
    "Address",
    "BoundSettings",
    "DirectSettings",
    "LimitSettings",
    "ListenSettings",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "RouterSettings",
    "SecuritySettings",
    "SidecarSettings",
    "UpstreamSettings",
    "VmSettings",
    "parse_address",
    "parse_settings",
    "read_settings",
]

import configparser
import pathlib
from typing import Annotated, Literal, TypeVar

import msgspec

from sycamorefall import errors, ini
from sycamorefall.addresses import Address, parse_address

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
NonNegativeCount = Annotated[int, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]


def _split_list(text: str) -> tuple[str, ...]:
    """Splits a comma-separated list; empty items are dropped."""
    parts = (part.strip() for part in text.split(","))
    return tuple(part for part in parts if part)


class VmSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[vm]`: the VM on which this process runs.

    Attributes:
        name: Name of the VM in the platform's list.
        failure_domain: Failure domain of the VM.
        failure_domains: Names of all failure domains, separated by commas. If
            given, the evacuation of any other one is ignored.
        cores: Number of processor cores of the VM.
        cpu_share: Fraction of the cores that the process may use. Of the
            routers that send directly, those with the highest product of
            `cores` and `cpu_share` are preferred for tasks that one router
            performs for its failure domain.
    """

    name: Name
    failure_domain: Name
    failure_domains: str = ""
    cores: Positive = 1.0
    cpu_share: Positive = 1.0

    def list_failure_domains(self) -> tuple[str, ...]:
        """Splits `failure_domains` into single names."""
        return _split_list(self.failure_domains)


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[listen]`: addresses at which this process listens.

    Attributes:
        data: HTTP address for callers at a router and for attempts at a
            sidecar.
        control: Address for control messages of the other processes.
        operators: HTTP address for `/status` and `/metrics`. Without it, they
            are served at the data address, to clients on the same VM only.
    """

    data: Address
    control: Address
    operators: Address | None = None


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[platform]`: the configuration service.

    Attributes:
        address: Address of the configuration service.
        poll_interval: Seconds between two polls by a process that doesn't watch
            the platform, before jitter.
        start_spread: Seconds over which the first reads of processes that
            start at the same time are spread.
        watchers: Number of processes of the fleet that watch the platform at a
            time.
    """

    address: Address
    poll_interval: Positive = 120.0
    start_spread: NonNegative = 4.0
    watchers: Count = 4


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[peers]`: peers to ask as long as no VM list is known.

    Attributes:
        addresses: Data addresses of the peers, `IP:port`, separated by commas.
    """

    addresses: str = ""

    def __post_init__(self):
        for address in self.list_addresses():
            parse_address(address)

    def list_addresses(self) -> tuple[str, ...]:
        """Splits `addresses` into single addresses."""
        return _split_list(self.addresses)


class UpstreamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[upstream]`: the upstream of a sidecar.

    Attributes:
        service: Service of the upstream, as named in the configuration text.
        address: HTTP address of the upstream.
    """

    service: Name
    address: Address


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[limits]`: limits on requests and connections of one process.

    Attributes:
        max_body_bytes: Maximum size of a request body in bytes.
        max_header_bytes: Maximum size of a request head in bytes.
        max_connections: Maximum number of open connections of callers.
        max_descriptors: Number of descriptors that the VM grants the process; 0
            if only the kernel's limit counts. The lower one of both is divided
            between callers, upstreams and other processes.
        reserved_descriptors: How many of `max_descriptors` connections can't
            use.
        max_memory_mb: Memory in MB that the VM grants the process; 0 if
            unknown. A process takes fewer callers at a VM with little memory,
            and what these send may take what is left; if unknown, up to half
            of the machine's memory.
        header_timeout: Seconds within which a caller must send a complete
            request, and receive the rest of a response on a connection that is
            being closed.
        idle_timeout: Seconds after which a connection without a request is
            closed.
        default_timeout: Timeout in seconds of a request that specifies none.
        max_timeout: Maximum timeout in seconds that a caller may specify.
    """

    max_body_bytes: Count = 1 << 20
    max_header_bytes: Count = 1 << 15
    max_connections: Count = 4096
    max_descriptors: NonNegativeCount = 0
    reserved_descriptors: NonNegativeCount = 0
    max_memory_mb: NonNegative = 0.0
    header_timeout: Positive = 20.0
    idle_timeout: Positive = 120.0
    default_timeout: Positive = 120.0
    max_timeout: Positive = 3600.0


class SecuritySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[security]`: authentication between the processes.

    Attributes:
        shared_key_file: Path of a file with the fleet's shared keys, one per
            line; messages are signed with the first key and accepted with any
            of them. Without it, messages from every process that can reach
            this one are accepted.
    """

    shared_key_file: str = ""


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[log]`: destination and level of the log.

    Attributes:
        destination: `stderr`, `stdout` or the path of a file.
        level: Lowest level that is written; `warning` and above exclude the
            records of single requests.
    """

    destination: str = "stderr"
    level: Literal["debug", "info", "warning", "error", "off"] = "info"


class BoundSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[bounds]`: bounds for routers that send directly to upstreams.

    A retry is any send of a request after its first.

    Attributes:
        revocation: Seconds after its revocation within which a key must stop
            being accepted, even by a router that can't reach the platform.
        retry_ratio: Allowed retries to a service per request to it.
        retry_extra: Additional allowed retries to a service per window, for all
            routers together.
        retry_window: Length in seconds of the window over which requests and
            retries are counted.
        grace: Seconds between SIGTERM and SIGKILL when a process is stopped.
        heartbeat: Seconds between two heartbeats of an upstream to the
            platform, which drops its entry after three that are missing.
    """

    revocation: Positive = 5.0
    retry_ratio: NonNegative = 0.2
    retry_extra: NonNegative = 50.0
    retry_window: Positive = 10.0
    grace: Positive = 8.0
    heartbeat: Positive = 1.2


class DirectSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a router that sends directly to upstreams."""

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    bounds: BoundSettings = BoundSettings()
    peers: PeerSettings = PeerSettings()
    limits: LimitSettings = LimitSettings()
    security: SecuritySettings = SecuritySettings()
    log: LogSettings = LogSettings()


class RouterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of `sycamorefall router`."""

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings = PeerSettings()
    limits: LimitSettings = LimitSettings()
    security: SecuritySettings = SecuritySettings()
    log: LogSettings = LogSettings()


class SidecarSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of `sycamorefall sidecar`."""

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    upstream: UpstreamSettings
    peers: PeerSettings = PeerSettings()
    limits: LimitSettings = LimitSettings()
    security: SecuritySettings = SecuritySettings()
    log: LogSettings = LogSettings()


Settings = TypeVar("Settings", RouterSettings, SidecarSettings, DirectSettings)


def _decode_hook(expected: type, value: object) -> object:
    if expected is Address:
        return parse_address(str(value))
    raise NotImplementedError(expected)


def parse_settings(text: str, kind: type[Settings]) -> Settings:
    """Parses and validates the text of a settings file.

    Args:
        text: INI text.
        kind: `RouterSettings`, `SidecarSettings` or `DirectSettings`.

    Returns:
        The valid settings.

    Raises:
        errors.SettingsRefused: The text is not valid; the message is one line
            with the reason.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text)
    except configparser.MissingSectionHeaderError as error:
        raise errors.SettingsRefused(
            f"line {error.lineno}: no section before it"
        ) from error
    except configparser.ParsingError as error:
        line = error.errors[0][0]
        raise errors.SettingsRefused(f"line {line}: not an INI line") from error
    except configparser.Error as error:
        reason = " ".join(error.message.replace("\n", " ").split())
        raise errors.SettingsRefused(reason) from error
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        checked = msgspec.convert(
            sections, kind, strict=False, dec_hook=_decode_hook
        )
    except (msgspec.ValidationError, ValueError) as error:
        raise errors.SettingsRefused(
            ini.format_validation_error(text, str(error))
        ) from error
    _check_distinct_addresses(checked)
    return checked


def _check_distinct_addresses(
    checked: RouterSettings | SidecarSettings | DirectSettings,
) -> None:
    """Raises `SettingsRefused` if two of the addresses are equal."""
    listen = checked.listen
    addresses_by_key = {
        "[listen] data": listen.data,
        "[listen] control": listen.control,
        "[listen] operators": listen.operators,
        "[platform] address": checked.platform.address,
    }
    if isinstance(checked, SidecarSettings):
        addresses_by_key["[upstream] address"] = checked.upstream.address
    seen: dict[Address, str] = {}
    for name, address in addresses_by_key.items():
        if address is None:
            continue
        if address in seen:
            raise errors.SettingsRefused(
                f"{seen[address]} and {name} are both {address}"
            )
        seen[address] = name


def read_settings(path: str, kind: type[Settings]) -> Settings:
    """Reads, parses and validates a settings file.

    Args:
        path: Path of the file.
        kind: `RouterSettings`, `SidecarSettings` or `DirectSettings`.

    Returns:
        The valid settings.

    Raises:
        errors.SettingsRefused: The file can't be read or is not valid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsRefused(f"{path}: {error}") from error
    try:
        return parse_settings(text, kind)
    except errors.SettingsRefused as error:
        raise errors.SettingsRefused(f"{path}: {error}") from error
