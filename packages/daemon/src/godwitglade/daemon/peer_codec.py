"""Every kind of message that hosts of this release exchange."""

from godwitglade.coordination import bodies
from godwitglade.coordination import claim_messages
from godwitglade.peers import codec


def make_codec() -> codec.Codec:
    """Return a codec for all kinds."""
    made = codec.Codec(bodies.KINDS)
    made.register('claim_question', claim_messages.ClaimQuestion)
    made.register('claim_answer', claim_messages.ClaimAnswer)
    return made
