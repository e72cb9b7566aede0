"""Creates versions of a model as directories of safetensors files."""

from pathlib import Path

import numpy as np
from safetensors.numpy import save_file

TENSORS_PER_FILE = 8


def make_version(
    directory: Path,
    total_bytes: int,
    seed: int,
    files: int = 2,
    shared_seed: int | None = None,
    shared_files: int = 0,
) -> None:
    """Write the files of a version.

    Args:
        directory: Directory of the version; created if missing.
        total_bytes: Approximate size of all files together.
        seed: Seed of the content.
        files: Number of files.
        shared_seed: Seed of the content that the version shares with another version.
        shared_files: Number of shared files.
    """
    directory.mkdir(parents=True, exist_ok=True)
    for number in range(files):
        is_shared = number < shared_files and shared_seed is not None
        generator = np.random.default_rng((shared_seed if is_shared else seed, number))
        size = max(1, total_bytes // files // TENSORS_PER_FILE)
        tensors = {
            f"layers.{number}.{index}": generator.integers(0, 256, size, dtype=np.uint8)
            for index in range(TENSORS_PER_FILE)
        }
        save_file(tensors, str(directory / f"model-{number:05}.safetensors"))
