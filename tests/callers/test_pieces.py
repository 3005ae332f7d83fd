"""Tests how pieces of a stream are combined into events."""

from godwitglade.callers import exchanges
from godwitglade.callers import rendering
from godwitglade.decisions import effects


def test_queued_pieces_are_sent_in_one_event():
    open_exchanges = exchanges.Exchanges('host')
    exchange = open_exchanges.open()
    for offset, text in ((0, 'ab'), (2, 'é'), (3, 'd')):
        piece = effects.SendPiece(exchange.identifier, offset, text)
        open_exchanges.deliver(exchange.identifier, piece)
    events = open_exchanges.wait_all(exchange, 1_000)
    assert len(events) == 3
    event = rendering.piece_event(events[1:]).decode()
    assert event == 'event: piece\ndata: {"offset":2,"text":"éd"}\n\n'
    assert open_exchanges.wait_all(exchange, 1) == [None]
