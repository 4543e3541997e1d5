"""A small change of a document transfers only a few bytes."""

from hypothesis import given, strategies

from sycamorefall.configuration import documents

KIND = documents.DocumentKind.TEXT


def write_large(changed=None):
    key = "0" * 64
    return "".join(
        f"[team t{index}]\nweight = {9 if index == changed else 1}\n"
        f"keys_sha256 = {key}\n\n"
        for index in range(8000)
    )


def test_change_of_one_section_transfers_few_bytes():
    # Operators change one team in a text of almost a megabyte, 2,700 times a
    # day. Sending the whole text would take 31 KB/s at each process, more than
    # its budget of 7 KB/s.
    old = documents.create_document(1, write_large())
    new = documents.create_document(2, write_large(changed=4000))
    manifest = documents.create_manifest(KIND, new)
    missing = documents.list_missing_blocks(manifest, old.blocks)
    fetched = [block for block in new.blocks if block.name in missing]
    size = sum(len(block.text) for block in fetched)
    assert 2700 * (size + 18 * len(manifest.blocks)) / 86400 < 7000 / 2
    whole = documents.assemble_document(manifest, [*old.blocks, *fetched])
    assert whole == new


def test_document_with_wrong_or_missing_blocks_is_rejected():
    old = documents.create_document(1, "[a]\nx = 1\n")
    new = documents.create_document(2, "[a]\nx = 2\n")
    manifest = documents.create_manifest(KIND, new)
    assert documents.assemble_document(manifest, old.blocks) is None
    forged = documents.Block(new.blocks[0].name, old.blocks[0].text)
    assert documents.assemble_document(manifest, [forged]) is None


@given(strategies.text(alphabet="[]{}ab=\n\r\x0c\u2028 "))
def test_concatenated_blocks_are_the_text(text):
    assert documents.create_document(1, text).text == text
