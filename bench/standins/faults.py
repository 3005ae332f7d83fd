"""Faults that every stand-in can show, set by ``PUT /faults``."""

import attrs


@attrs.frozen
class Faults:
    """What goes wrong with calls while it is set.

    ``calls`` bounds how many calls are affected; None for all. ``path``
    limits the faults to paths that start with it.

    - ``slow_ms``: waits before the call is run;
    - ``down``: closes the connection before the call is run;
    - ``reset``: the same with a TCP reset;
    - ``lose_answer_after_effect``: runs the call, closes the connection;
    - ``silence``: neither runs nor answers the call;
    - ``silence_open``: connections open when it was set go silent;
    - ``crash``: the process ends on the call;
    - ``cut_stream_after``: ends a stream after that many pieces;
    - ``leaving``, ``busy``: answers that the call was not run;
    - ``error_status``: answers with this status, the call is not run;
    - ``garbage``: runs the call, answers 200 with broken JSON.
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
