"""Makes versions of a model: directories of safetensors files."""

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
    """Write a version.

    Args:
        directory: Where; it is made.
        total_bytes: Size of all files together, about.
        seed: Decides the content.
        files: Number of files.
        shared_seed: Content of the files that another version shares.
        shared_files: How many of the files are shared.
    """
    directory.mkdir(parents=True, exist_ok=True)
    for number in range(files):
        shared = number < shared_files and shared_seed is not None
        random = np.random.default_rng((shared_seed if shared else seed, number))
        size = max(1, total_bytes // files // TENSORS_PER_FILE)
        tensors = {
            f"layers.{number}.{index}": random.integers(0, 256, size, dtype=np.uint8)
            for index in range(TENSORS_PER_FILE)
        }
        save_file(tensors, str(directory / f"model-{number:05}.safetensors"))
