"""Prefix affinity: the same prompt beginning goes to the same engines.

Rendezvous hashing ranks the targets for a prefix; all hosts find the same
order without talking, and a target that leaves moves only its own prefixes.
"""

import xxhash

from godwitglade.decisions import directory
from godwitglade.decisions import documents
from godwitglade.decisions import jobs
from godwitglade.decisions import payloads

#: Characters of the prompt that make up its prefix.
PREFIX_LENGTH = 256


def key_of(job: jobs.Job) -> str:
    """Return the key of the current stage's prefix, empty for none."""
    if job.stage.kind is not documents.StageKind.GENERATE:
        return ''
    model = job.stage.model
    name = f'{model.name}@{model.version}' if model else ''
    prompt = payloads.prompt_of(job.request.payload)
    return f'{name}/{prompt[:PREFIX_LENGTH]}'


def ranked(
    key: str, tracked: list[directory.TrackedTarget]
) -> list[directory.TrackedTarget]:
    """Return the targets in the order of preference for a prefix."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    return sorted(
        tracked,
        key=lambda t: xxhash.xxh3_64_intdigest(t.name.encode(), seed),
        reverse=True,
    )
