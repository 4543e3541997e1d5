"""Versioned documents that hold published values and consist of blocks.

A document is split into content-defined blocks. A process fetches from a peer
only the blocks that it doesn't hold yet, so a change of one section transfers a
few kilobytes instead of the whole value.
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
"""Average number of sections in a block."""

MAX_BLOCK_SECTIONS = 256
"""Maximum number of sections in a block."""

_SECTION_STARTS = ("[", "{")


class DocumentKind(enum.Enum):
    """Type of a document.

    TEXT: the configuration text in force.
    REFUSED: the newest configuration text that failed validation.
    VMS: the list of VMs, one JSON object per line.
    RIVAL: a configuration text with the revision of the one in force and a
        lower digest, so it isn't used. Processes exchange only its head.
    """

    TEXT = "text"
    REFUSED = "refused"
    VMS = "vms"
    RIVAL = "rival"


class Block(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive whole sections of a document.

    Attributes:
        name: Hash of the text, which identifies the block.
        text: The sections.
    """

    name: str
    text: str


class Document(msgspec.Struct, frozen=True):
    """A value that the platform published, at one revision.

    Attributes:
        revision: Revision that the platform gave to the value.
        digest: Hash of the whole value.
        blocks: Blocks whose concatenated texts are the value.
    """

    revision: int
    digest: str
    blocks: tuple[Block, ...]

    @property
    def key(self) -> tuple[int, str]:
        """Sort key that orders documents of one kind by age.

        Two values may have the same revision, if operators publish at the
        same time or the platform was partitioned. Without a tie-break each
        process would keep the value that it saw first, and the fleet would
        disagree. The digest breaks the tie in the same way at every process.
        """
        return self.revision, self.digest

    @property
    def text(self) -> str:
        """The whole value, joined from its blocks."""
        return "".join(block.text for block in self.blocks)


class DocumentHead(msgspec.Struct, frozen=True, array_like=True):
    """Kind, revision and digest of a document, without its content."""

    kind: DocumentKind
    revision: int
    digest: str

    @property
    def key(self) -> tuple[int, str]:
        """The same sort key as that of the document."""
        return self.revision, self.digest


class Manifest(msgspec.Struct, frozen=True, array_like=True):
    """Head of a document and the names of its blocks, in order."""

    head: DocumentHead
    blocks: tuple[str, ...]


def create_document(revision: int, text: str) -> Document:
    r"""Creates a document from a published value.

    Args:
        revision: Revision that the platform gave to the value.
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
    r"""Splits a value into blocks by content-defined chunking.

    A section starts a new block if its hash is a multiple of
    `MEAN_BLOCK_SECTIONS`. An inserted section therefore moves only the nearest
    boundaries, and all other blocks keep their names.

    Args:
        text: INI text, or one JSON object per line.

    Returns:
        Blocks whose concatenated texts are `text`.

    Example:
        >>> [block.text for block in split_blocks("[a]\nx = 1\n")]
        ['[a]\nx = 1\n']
    """
    blocks: list[str] = []
    current: list[str] = []
    for section in _split_sections(text):
        starts_block = (
            int(_hash_text(section, 4), 16) % MEAN_BLOCK_SECTIONS == 0
        )
        if current and (starts_block or len(current) >= MAX_BLOCK_SECTIONS):
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
    """Creates the manifest of a document: its head and its blocks' names."""
    head = DocumentHead(kind, document.revision, document.digest)
    return Manifest(head, tuple(block.name for block in document.blocks))


def list_missing_blocks(
    manifest: Manifest, held: Iterable[Block]
) -> tuple[str, ...]:
    """Lists the blocks of a manifest that a process doesn't hold.

    Args:
        manifest: Manifest of the document.
        held: Blocks that the process holds.

    Returns:
        Names of the missing blocks, each once, in the manifest's order.
    """
    known = {block.name for block in held}
    return tuple(
        dict.fromkeys(name for name in manifest.blocks if name not in known)
    )


def assemble_document(
    manifest: Manifest, held: Iterable[Block]
) -> Document | None:
    """Assembles a document from blocks and verifies its digest.

    The peer may have replaced the document between sending its manifest and
    its blocks, or data may have been damaged in transit. The digest of the
    assembled text detects both.

    Args:
        manifest: Manifest of the document.
        held: Blocks that the process holds or has just fetched.

    Returns:
        The document, or None if blocks are missing or the digest differs.
    """
    known = {block.name: block for block in held}
    if not all(name in known for name in manifest.blocks):
        return None
    blocks = tuple(known[name] for name in manifest.blocks)
    document = Document(manifest.head.revision, manifest.head.digest, blocks)
    is_intact = _hash_text(document.text, 16) == document.digest
    return document if is_intact else None
