"""Annotations that hold the generation of a stored configuration.

They let relays watch only the metadata of the object. Another writer can omit
the annotations, or keep old ones while it changes the content. The sequence
number that results from the write is therefore stored with the generation: the
object API increments it at each change of the content by any writer.
"""

from __future__ import annotations

from collections.abc import Mapping

from guavalane_core.objects import ObjectMetadata

GENERATION_ANNOTATION = "guavalane.dev/generation"
SEQUENCE_ANNOTATION = "guavalane.dev/content-sequence"


def make_annotations(
    generation: int, replaced: ObjectMetadata | None
) -> dict[str, str]:
    """Returns the annotations of a write.

    Args:
      generation: Generation of the written configuration.
      replaced: Metadata of the object that the write replaces; None if it
          creates one.
    """
    sequence = replaced.sequence + 1 if replaced else 1
    return {
        GENERATION_ANNOTATION: str(generation),
        SEQUENCE_ANNOTATION: str(sequence),
    }


def annotated_generation(metadata: ObjectMetadata) -> int | None:
    """Returns the generation of the content, or None if it is unknown."""
    return _parse_generation(metadata.annotations, metadata.sequence)


def _parse_generation(
    annotations: Mapping[str, str], sequence: int
) -> int | None:
    # The sequence number is 0 if the object API does not provide one.
    if not sequence or annotations.get(SEQUENCE_ANNOTATION) != str(sequence):
        return None
    text = annotations.get(GENERATION_ANNOTATION, "")
    return int(text) if text.isascii() and text.isdigit() else None
