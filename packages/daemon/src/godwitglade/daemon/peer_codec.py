"""The codec of all messages that hosts of this release exchange."""

from godwitglade.coordination import bodies
from godwitglade.coordination import claim_messages
from godwitglade.peers import codec


def make_codec() -> codec.Codec:
    """Return a codec with all kinds of messages registered."""
    codec_ = codec.Codec(bodies.KINDS)
    codec_.register('claim_question', claim_messages.ClaimQuestion)
    codec_.register('claim_answer', claim_messages.ClaimAnswer)
    return codec_
