"""Prefix affinity: prompts with the same prefix go to the same engines.

Rendezvous hashing ranks the targets for a prefix. All hosts compute the same
order without communicating, and when a target leaves, only its own prefixes
move to others.
"""

import xxhash

from godwitglade.decisions import directory
from godwitglade.decisions import documents
from godwitglade.decisions import jobs
from godwitglade.decisions import payloads

#: Length of the prefix, in characters of the prompt.
PREFIX_LENGTH = 256


def key_of(job: jobs.Job) -> str:
    """Return the prefix key of the current stage, or an empty string."""
    if job.stage.kind is not documents.StageKind.GENERATE:
        return ''
    model = job.stage.model
    name = f'{model.name}@{model.version}' if model else ''
    prompt = payloads.prompt_of(job.request.payload)
    return f'{name}/{prompt[:PREFIX_LENGTH]}'


def ranked(
    key: str, tracked: list[directory.TrackedTarget]
) -> list[directory.TrackedTarget]:
    """Return the targets in their order of preference for a prefix."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    return sorted(
        tracked,
        key=lambda t: xxhash.xxh3_64_intdigest(t.name.encode(), seed),
        reverse=True,
    )
