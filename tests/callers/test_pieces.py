"""Pieces of a stream on their way from the loop to the caller."""

from godwitglade.callers import exchanges
from godwitglade.callers import rendering
from godwitglade.decisions import effects


def test_pieces_that_are_ready_leave_in_one_event():
    waiting = exchanges.Exchanges('host')
    exchange = waiting.open()
    for offset, text in ((0, 'ab'), (2, 'é'), (3, 'd')):
        piece = effects.SendPiece(exchange.identifier, offset, text)
        waiting.deliver(exchange.identifier, piece)
    found = waiting.wait_all(exchange, 1_000)
    assert len(found) == 3
    event = rendering.piece_event(found[1:]).decode()
    assert event == 'event: piece\ndata: {"offset":2,"text":"éd"}\n\n'
    assert waiting.wait_all(exchange, 1) == [None]
