"""Hosts of which some are out of step with the store or the other hosts."""

import attrs

from godwitglade.coordination import effects as shared_effects
from godwitglade.coordination import messages as shared_messages
from godwitglade.routing import effects
from godwitglade.routing import messages
from tests.routing import builders
from tests.routing import fleet

DOCUMENT = builders.document(
    fleet.ROUTE, fleet.RESUMABLE, fleet.WITHOUT_PROMPT
)
#: Time after which the store has a change, and the hosts that follow it.
STORE_DELAY_MS = 100
FEED_DELAY_MS = (5, 60)
#: Time for which a feed without changes is held.
FEED_MS = 2_000
FIRST_VERSION = 10
FEED_MESSAGES = (messages.TargetsChanged, messages.TargetsRead)
ERA = 1


class Fleet(fleet.Fleet):
    """Hosts that follow a store or learn its tables from one another.

    Hosts in ``without_store`` do not reach the store. Those in ``still`` do
    not run: what arrives there waits until they wake. Callers take up
    streams at the ``odd`` hosts more often than at others.
    """

    def __init__(self, seed, host_count):
        self.version = FIRST_VERSION
        self.store_delay_ms = STORE_DELAY_MS
        self.entries = {}
        self.without_store = set()
        self.still = {}
        self.following = {}
        self.odd = ()
        self._unanswered = set()
        self._read_ms = {}
        super().__init__(seed, host_count)
        for node in self.nodes.values():
            self._feed(node)

    # Hosts

    def start(self, node):
        """Start the process of a host."""
        self.following[node.name] = True
        super().start(node)
        if node.name not in self.without_store:
            self._read_list(node)

    def _post(self, node, message):
        if node.name in self.still:
            waiting = self.still[node.name]
            is_read = isinstance(message, FEED_MESSAGES)
            # A host that stands still sends no further feed.
            if not (is_read and any(map(_is_read, waiting))):
                waiting.append((node.incarnation, message))
            return
        super()._post(node, message)

    def stand_still(self, names):
        """Stop hosts, which do not notice."""
        self.still.update((name, []) for name in names)

    def wake(self, names):
        """Let hosts go on; they read the store first or last."""
        for name in names:
            waiting = self.still.pop(name)
            waiting.sort(key=_is_read, reverse=self.rng.random() < 0.5)
            for incarnation, message in waiting:
                self._post_to(self.nodes[name], incarnation, message)
            self._later(self._read_list, self.nodes[name])

    def cut_store(self, names):
        """Cut hosts off from the store."""
        self.without_store.update(names)

    def end_cut_store(self, names):
        """Let hosts reach the store again."""
        self.without_store.difference_update(names)
        for name in names:
            self._later(self._read_list, self.nodes[name], 3_000)

    def break_channels(self, gap_ms):
        """Let channels break whose callers have a part of a stream."""
        streams = [
            attempt
            for attempt in self._open.values()
            if attempt.begun_ms is not None and not attempt.is_ended
        ]
        if streams:
            attempt = self.rng.choice(streams)
            node = self.nodes[attempt.host_name]
            self._post(node, messages.CallerDisconnected(attempt.name))
            self._break(attempt)
        self.at(self.now_ms + gap_ms, self.break_channels, gap_ms)

    def _choose_node(self, running, fields):
        odd = [node for node in running if node.name in self.odd]
        if odd and fields.get('resumes') and self.rng.random() < 0.6:
            return self.rng.choice(odd)
        return super()._choose_node(running, fields)

    # Messages

    def _send_peer(self, node, effect):
        # A host that has ended or stands still does not reply in time.
        token = f'{effect.token}#{next(self._numbers)}'
        self._unanswered.add(token)
        super()._send_peer(node, attrs.evolve(effect, token=token))
        due_ms = self.now_ms + effect.timeout_ms
        reply = shared_messages.PeerReply(token, None)
        self.at(due_ms, self._post_to, node, node.incarnation, reply)

    def _post_to(self, node, incarnation, message):
        if isinstance(message, shared_messages.PeerReply):
            token = message.token
            if '#' in token:
                if token not in self._unanswered:
                    return
                self._unanswered.remove(token)
            token = token.partition('#')[0]
            message = attrs.evolve(message, token=token)
        super()._post_to(node, incarnation, message)

    # The store

    def _tell_later(self, message, extra_ms=0):
        due_ms = self.now_ms + extra_ms + self.store_delay_ms
        self.at(due_ms if self.now_ms else 0, self._change, message)

    def _change(self, message):
        self.version += 1
        self.entries.update((e.name, e) for e in message.present)
        for name in message.removed:
            self.entries.pop(name, None)
        changed = attrs.evolve(message, version=self.version, era=ERA)
        for node in self.nodes.values():
            if self._follows(node):
                self._deliver(node, changed)

    def _follows(self, node):
        is_reached = node.name not in self.without_store
        return is_reached and self.following[node.name]

    def _feed(self, node):
        """Confirm what a host has read."""
        if self._follows(node):
            unchanged = messages.TargetsChanged(
                (), (), self.version, ERA, read_from_ms=self.now_ms - FEED_MS
            )
            self._deliver(node, unchanged)
            self._post(node, messages.DocumentRead(DOCUMENT, self.now_ms))
        self._later(self._feed, node, span_ms=(FEED_MS, FEED_MS + 50))

    def _read_list(self, node, outage_ms=0):
        if not self._follows(node):
            return
        self._read_now(node, outage_ms)

    def _read_now(self, node, outage_ms=0):
        read = messages.TargetsRead(
            tuple(self.entries.values()),
            self.version,
            outage_ms,
            ERA,
            read_from_ms=self.now_ms,
        )
        self._deliver(node, read)

    def _deliver(self, node, message):
        """Deliver what the store sent; a host has one read at a time."""
        due_ms = self.now_ms + self.rng.randint(*FEED_DELAY_MS)
        due_ms = max(due_ms, self._read_ms.get(node.name, 0))
        self._read_ms[node.name] = due_ms
        self.at(due_ms, self._post, node, message)

    def _refresh_targets(self, node, _effect):
        self._read_list(node)

    def _confirm_targets(self, node, _effect):
        if node.name not in self.without_store:
            self._read_now(node)

    def _follow(self, node, effect):
        self.following[node.name] = effect.is_following
        self._read_list(node)

    _HANDLERS = fleet.Fleet._HANDLERS | {
        shared_effects.SendPeer: _send_peer,
        effects.ConfirmTargets: _confirm_targets,
        effects.RefreshTargets: _refresh_targets,
        effects.FollowTables: _follow,
    }


def _is_read(item):
    return isinstance(item[1], FEED_MESSAGES)
