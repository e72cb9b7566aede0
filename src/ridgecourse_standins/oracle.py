"""The stand-in model: each token depends on the prompt and on weight bytes.

A client that holds the weights can compute the answer a version must give, so
partial or mixed weights show in the answer itself.
"""

from collections.abc import Iterator, Mapping
from pathlib import Path

from blake3 import blake3

from ridgecourse.core.manifest import ChunkPlace

SAMPLE_BYTES = 64
TOKEN_LENGTH = 8


class Weights:
    """The weight files of one version, as one run of bytes."""

    def __init__(self, files: Mapping[str, bytes]) -> None:
        self.data = b"".join(files[path] for path in sorted(files))

    def token(self, prompt: str, index: int) -> str:
        """Return the token at a position of the answer to a prompt."""
        seed = blake3(f"{index}/{prompt}".encode()).digest()
        place = int.from_bytes(seed[:8], "big") % max(1, len(self.data))
        sample = self.data[place : place + SAMPLE_BYTES]
        return blake3(seed + sample).hexdigest()[:TOKEN_LENGTH]

    def answer(self, prompt: str, tokens: int) -> list[str]:
        """Return a whole answer."""
        return [self.token(prompt, index) for index in range(tokens)]


def read_weights(directory: Path) -> Weights:
    """Return the weights of a version's directory."""
    files = {
        str(path.relative_to(directory)): path.read_bytes()
        for path in weight_files(directory)
    }
    return Weights(files)


def weight_files(directory: Path) -> Iterator[Path]:
    """Yield the weight files of a version's directory."""
    for path in sorted(directory.rglob("*")):
        if path.is_file() and path.name != "manifest.json":
            yield path


def join_files(
    places: Iterator[ChunkPlace], chunks: Mapping[str, bytes]
) -> dict[str, bytes]:
    """Return files put together from chunks."""
    files: dict[str, list[bytes]] = {}
    for place in places:
        files.setdefault(place.path, []).append(chunks[place.digest])
    return {path: b"".join(parts) for path, parts in files.items()}
