"""IP addresses with a port."""

__all__ = ["Address", "parse_address"]

import ipaddress


class Address:
    """An IP address and a port."""

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
        """Tuple of host and port, as socket functions expect it."""
        return self.host, self.port


def parse_address(text: str) -> Address:
    """Parses `IP:port`.

    Args:
        text: An IP address and a port, such as `127.0.0.1:7400`.

    Returns:
        The address.

    Raises:
        ValueError: The text does not have this format.

    Example:
        >>> parse_address("127.0.0.1:7400").port
        7400
    """
    host, separator, port = text.strip().rpartition(":")
    if not separator or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"expected IP:port, got {text!r}")
    ipaddress.ip_address(host)
    return Address(host, int(port))
