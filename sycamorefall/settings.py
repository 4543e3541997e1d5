"""Settings of one process, read from an INI file and checked whole.

Each section of the file is one struct below; an unknown section or key, a
missing key or a value of the wrong type refuses the file with one line.
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
import ipaddress
import pathlib
from typing import Annotated, Literal, TypeVar

import msgspec

from sycamorefall import errors, ini

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]


class Address:
    """An IP number and a port."""

    __slots__ = ("host", "port")

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Address):
            return NotImplemented
        return self.pair == other.pair

    def __hash__(self) -> int:
        return hash(self.pair)

    @property
    def pair(self) -> tuple[str, int]:
        """Host and port as the socket functions take them."""
        return self.host, self.port


class VmSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[vm]`: where this process runs.

    Attributes:
        name: The VM, as the platform's list names it.
        failure_domain: The failure domain it stands in.
        cores: Processor cores of the VM.
        cpu_share: Part of them that the process may use. The largest VMs do
            what one router of several has to do for the others.
    """

    name: Name
    failure_domain: Name
    cores: Positive = 1.0
    cpu_share: Positive = 1.0


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[listen]`: addresses this process is reached at.

    Attributes:
        data: HTTP: callers at a router, attempts at a sidecar.
        control: Messages of the other processes.
        operators: HTTP: `/status` and `/metrics`. Without it, the data
            address answers them to callers on the same VM only.
    """

    data: Address
    control: Address
    operators: Address | None = None


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[platform]`: the configuration service.

    Attributes:
        address: Where it answers.
        poll_interval: Seconds between two polls of a process that holds no
            watch, before jitter.
        start_spread: Seconds over which the first reads of a fleet that
            starts at once are spread.
        watchers: Processes of the fleet that watch at a time.
    """

    address: Address
    poll_interval: Positive = 120.0
    start_spread: NonNegative = 4.0
    watchers: Count = 4


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[peers]`: processes to ask before any list of VMs is known.

    Attributes:
        addresses: Their data addresses, `IP:port`, separated by commas.
    """

    addresses: str = ""

    def __post_init__(self):
        for address in self.list_addresses():
            parse_address(address)

    def list_addresses(self) -> tuple[str, ...]:
        """Lists the addresses one by one."""
        parts = (part.strip() for part in self.addresses.split(","))
        return tuple(part for part in parts if part)


class UpstreamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[upstream]` of a sidecar: the upstream beside it.

    Attributes:
        service: The service of the operators' text that it belongs to.
        address: Where it answers.
    """

    service: Name
    address: Address


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[limits]`: bounds on what one process holds.

    Attributes:
        max_body_bytes: Largest request body.
        max_header_bytes: Largest request head.
        max_connections: Open connections of callers.
        header_timeout: Seconds a caller may take to send a whole request,
            and to take what is left of an answer on a closing connection.
        idle_timeout: Seconds a connection stays open without a request.
        default_timeout: Seconds until the deadline of a request that names
            none.
        max_timeout: Longest deadline a caller may name, in seconds.
    """

    max_body_bytes: Count = 1 << 20
    max_header_bytes: Count = 1 << 15
    max_connections: Count = 4096
    header_timeout: Positive = 20.0
    idle_timeout: Positive = 120.0
    default_timeout: Positive = 120.0
    max_timeout: Positive = 3600.0


class SecuritySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[security]`: who may speak between the processes.

    Attributes:
        shared_key_file: File with the fleet's shared keys, one a line; the
            first one signs, all are accepted. Without it, every process that
            reaches this one is believed.
    """

    shared_key_file: str = ""


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[log]`: where log records go and how many.

    Attributes:
        destination: `stderr`, `stdout` or the path of a file.
        level: Least level that is written; `warning` and above leave the
            records of single requests out.
    """

    destination: str = "stderr"
    level: Literal["debug", "info", "warning", "error", "off"] = "info"


class BoundSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `[bounds]`: what the operators demand of direct sending.

    Attributes:
        revocation: Seconds after which a key that was taken away must not
            work any more, wherever the process is.
        retry_ratio: Second sends to a service allowed for each request.
        retry_extra: Second sends allowed besides, of all routers together.
        retry_window: Seconds over which both are counted.
        grace: Seconds between SIGTERM and the process's being killed.
    """

    revocation: Positive = 5.0
    retry_ratio: NonNegative = 0.2
    retry_extra: NonNegative = 50.0
    retry_window: Positive = 10.0
    grace: Positive = 8.0


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


def parse_address(text: str) -> Address:
    """Parses `IP:port`.

    Args:
        text: An IP number and a port, such as `127.0.0.1:7400`.

    Returns:
        The address.

    Raises:
        ValueError: The text is not of this form.

    Example:
        >>> parse_address("127.0.0.1:7400").port
        7400
    """
    host, separator, port = text.strip().rpartition(":")
    if not separator or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"expected IP:port, got {text!r}")
    ipaddress.ip_address(host)
    return Address(host, int(port))


def _decode_hook(expected: type, value: object) -> object:
    if expected is Address:
        return parse_address(str(value))
    raise NotImplementedError(expected)


def parse_settings(text: str, kind: type[Settings]) -> Settings:
    """Parses and checks the text of a settings file.

    Args:
        text: INI text.
        kind: `RouterSettings` or `SidecarSettings`.

    Returns:
        The checked settings.

    Raises:
        errors.SettingsRefused: The text can't be used; one line says why.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text)
    except configparser.ParsingError as fault:
        line = fault.errors[0][0]
        raise errors.SettingsRefused(f"line {line}: not an INI line") from fault
    except configparser.Error as fault:
        reason = " ".join(fault.message.replace("\n", " ").split())
        raise errors.SettingsRefused(reason) from fault
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        checked = msgspec.convert(
            sections, kind, strict=False, dec_hook=_decode_hook
        )
    except (msgspec.ValidationError, ValueError) as fault:
        raise errors.SettingsRefused(
            ini.format_validation_error(text, str(fault))
        ) from fault
    _check_addresses(checked)
    return checked


def _check_addresses(
    checked: RouterSettings | SidecarSettings | DirectSettings,
) -> None:
    """Refuses settings by which a process would meet itself."""
    listen = checked.listen
    named = {
        "[listen] data": listen.data,
        "[listen] control": listen.control,
        "[listen] operators": listen.operators,
        "[platform] address": checked.platform.address,
    }
    if isinstance(checked, SidecarSettings):
        named["[upstream] address"] = checked.upstream.address
    seen: dict[Address, str] = {}
    for name, address in named.items():
        if address is None:
            continue
        if address in seen:
            raise errors.SettingsRefused(
                f"{seen[address]} and {name} are both {address}"
            )
        seen[address] = name


def read_settings(path: str, kind: type[Settings]) -> Settings:
    """Reads, parses and checks a settings file.

    Args:
        path: The file.
        kind: `RouterSettings` or `SidecarSettings`.

    Returns:
        The checked settings.

    Raises:
        errors.SettingsRefused: The file can't be read or used.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        raise errors.SettingsRefused(f"{path}: {fault}") from fault
    try:
        return parse_settings(text, kind)
    except errors.SettingsRefused as fault:
        raise errors.SettingsRefused(f"{path}: {fault}") from fault
