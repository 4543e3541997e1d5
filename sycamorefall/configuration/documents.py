"""Published values as documents: ordered, and cut into blocks by content.

A process fetches from a peer only the blocks that it does not hold yet, so
a change of one section costs a few kilobytes and not the whole value.
"""

__all__ = [
    "Block",
    "Document",
    "DocumentHead",
    "DocumentKind",
    "Manifest",
    "assemble_document",
    "create_document",
    "create_manifest",
    "list_missing_blocks",
    "split_blocks",
]

from collections.abc import Iterable
import enum
import hashlib
import io

import msgspec

MEAN_BLOCK_SECTIONS = 32
"""Sections in a block, on average."""

MAX_BLOCK_SECTIONS = 256
"""Sections after which a block ends in any case."""

_SECTION_STARTS = ("[", "{")


class DocumentKind(enum.Enum):
    """What a document is.

    TEXT: the operators' text in force.
    REFUSED: the newest text that was found bad.
    VMS: the list of VMs, one JSON object a line.
    RIVAL: a text that lost to the one in force under the same revision; only
        its head is passed on.
    """

    TEXT = "text"
    REFUSED = "refused"
    VMS = "vms"
    RIVAL = "rival"


class Block(msgspec.Struct, frozen=True, array_like=True):
    """A run of whole sections and the hash that names it."""

    name: str
    text: str


class Document(msgspec.Struct, frozen=True):
    """A published value.

    Attributes:
        revision: The platform's revision of it.
        digest: Hash of the whole value.
        blocks: The value, cut at section boundaries.
    """

    revision: int
    digest: str
    blocks: tuple[Block, ...]

    @property
    def key(self) -> tuple[int, str]:
        """Orders documents of a kind, the same way at every process.

        Guards against two values under one revision, from operators who race
        or from a platform that was split: half of the fleet would keep one
        and half the other. The digest decides between them, and it is the
        same wherever it is computed.
        """
        return self.revision, self.digest

    @property
    def text(self) -> str:
        """The whole value."""
        return "".join(block.text for block in self.blocks)


class DocumentHead(msgspec.Struct, frozen=True, array_like=True):
    """What orders a document, without its content."""

    kind: DocumentKind
    revision: int
    digest: str

    @property
    def key(self) -> tuple[int, str]:
        """Orders like the document's own key."""
        return self.revision, self.digest


class Manifest(msgspec.Struct, frozen=True, array_like=True):
    """A document's head and the names of its blocks, in order."""

    head: DocumentHead
    blocks: tuple[str, ...]


def create_document(revision: int, text: str) -> Document:
    r"""Creates a document from a published value.

    Args:
        revision: The platform's revision.
        text: The value.

    Returns:
        The document.

    Example:
        >>> create_document(3, "[limits]\nretries = 1\n").key[0]
        3
    """
    return Document(revision, _hash_text(text, 16), split_blocks(text))


def _hash_text(text: str, size: int) -> str:
    data = text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=size).hexdigest()


def split_blocks(text: str) -> tuple[Block, ...]:
    r"""Cuts a value into blocks whose boundaries depend on content alone.

    A block ends before a section whose own hash says so, in one of
    `MEAN_BLOCK_SECTIONS` cases; an inserted section therefore moves no boundary
    but the nearest ones, and all other blocks keep their names.

    Args:
        text: INI text, or one JSON object a line.

    Returns:
        The blocks; joined they are the text.

    Example:
        >>> [block.text for block in split_blocks("[a]\nx = 1\n")]
        ['[a]\nx = 1\n']
    """
    blocks: list[str] = []
    current: list[str] = []
    for section in _split_sections(text):
        ends = int(_hash_text(section, 4), 16) % MEAN_BLOCK_SECTIONS == 0
        if current and (ends or len(current) >= MAX_BLOCK_SECTIONS):
            blocks.append("".join(current))
            current = []
        current.append(section)
    if current:
        blocks.append("".join(current))
    return tuple(Block(_hash_text(block, 8), block) for block in blocks)


def _split_sections(text: str) -> list[str]:
    sections: list[list[str]] = []
    for line in io.StringIO(text, newline="\n"):
        if not sections or line.startswith(_SECTION_STARTS):
            sections.append([])
        sections[-1].append(line)
    return ["".join(lines) for lines in sections]


def create_manifest(kind: DocumentKind, document: Document) -> Manifest:
    """Lists a document's blocks by name."""
    head = DocumentHead(kind, document.revision, document.digest)
    return Manifest(head, tuple(block.name for block in document.blocks))


def list_missing_blocks(
    manifest: Manifest, held: Iterable[Block]
) -> tuple[str, ...]:
    """Lists the blocks of a manifest that are not among the held ones."""
    known = {block.name for block in held}
    return tuple(
        dict.fromkeys(name for name in manifest.blocks if name not in known)
    )


def assemble_document(
    manifest: Manifest, held: Iterable[Block]
) -> Document | None:
    """Builds a document from blocks.

    Guards against a peer that took a newer value between its manifest and
    its blocks, and against damage on the way: the result is kept only if its
    digest is the manifest's.

    Args:
        manifest: What the document consists of.
        held: Blocks held before and fetched now.

    Returns:
        The document, or None if blocks are missing or don't fit.
    """
    known = {block.name: block for block in held}
    if not all(name in known for name in manifest.blocks):
        return None
    blocks = tuple(known[name] for name in manifest.blocks)
    document = Document(manifest.head.revision, manifest.head.digest, blocks)
    is_whole = _hash_text(document.text, 16) == document.digest
    return document if is_whole else None
