"""The stand-in model: each token depends on the prompt and on bytes of the weights.

A client that has the weights can compute the answer that a version must give, so
partial or mixed weights become visible in the answer.
"""

from collections.abc import Iterator, Mapping
from pathlib import Path

from blake3 import blake3

from ridgecourse.core.manifest import ChunkLocation

SAMPLE_BYTES = 64
TOKEN_LENGTH = 8


class Weights:
    """The weight files of one version, concatenated in the order of their paths."""

    def __init__(self, files: Mapping[str, bytes]) -> None:
        self.data = b"".join(files[path] for path in sorted(files))

    def token(self, prompt: str, index: int) -> str:
        """Return the token at a position of the answer to a prompt."""
        seed = blake3(f"{index}/{prompt}".encode()).digest()
        offset = int.from_bytes(seed[:8], "big") % max(1, len(self.data))
        sample = self.data[offset : offset + SAMPLE_BYTES]
        return blake3(seed + sample).hexdigest()[:TOKEN_LENGTH]

    def answer(self, prompt: str, tokens: int) -> list[str]:
        """Return the tokens of a complete answer."""
        return [self.token(prompt, index) for index in range(tokens)]


def read_weights(directory: Path) -> Weights:
    """Return the weights in the directory of a version."""
    files = {
        str(path.relative_to(directory)): path.read_bytes()
        for path in weight_files(directory)
    }
    return Weights(files)


def weight_files(directory: Path) -> Iterator[Path]:
    """Yield the paths of the weight files in the directory of a version."""
    for path in sorted(directory.rglob("*")):
        if path.is_file() and path.name != "manifest.json":
            yield path


def join_files(
    locations: Iterator[ChunkLocation], chunks: Mapping[str, bytes]
) -> dict[str, bytes]:
    """Return the files that chunks make up.

    Args:
        locations: File and digest of each chunk, in file order.
        chunks: Data of the chunks, by digest.
    """
    files: dict[str, list[bytes]] = {}
    for location in locations:
        files.setdefault(location.path, []).append(chunks[location.digest])
    return {path: b"".join(parts) for path, parts in files.items()}
