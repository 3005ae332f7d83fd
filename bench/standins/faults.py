"""Faults that every stand-in can inject, set by ``PUT /faults``."""

import attrs


@attrs.frozen
class Faults:
    """The faults of calls until they are replaced.

    ``calls`` is the number of calls affected, None for all. ``path``
    limits the faults to paths with this prefix.

    - ``slow_ms``: waits before it runs the call;
    - ``down``: closes the connection without running the call;
    - ``reset``: the same with a TCP reset;
    - ``lose_answer_after_effect``: runs the call, then closes the connection;
    - ``silence``: neither runs the call nor replies;
    - ``silence_open``: calls on connections already open get no reply;
    - ``crash``: ends the process on the call;
    - ``cut_stream_after``: cuts a stream after this many pieces;
    - ``leaving``, ``busy``: replies that the call was not run;
    - ``error_status``: replies with this status without running the call;
    - ``garbage``: runs the call, replies 200 with malformed JSON.
    """

    slow_ms: int = 0
    down: bool = False
    reset: bool = False
    lose_answer_after_effect: bool = False
    silence: bool = False
    silence_open: bool = False
    crash: bool = False
    cut_stream_after: int | None = None
    leaving: bool = False
    busy: bool = False
    error_status: int | None = None
    garbage: bool = False
    calls: int | None = None
    path: str = '/'


NONE = Faults()
