"""A simulated entry: the real link and resolution state on a fake network."""

from collections.abc import Callable

import msgspec

from benchmarks._outcomes_clock import Node, VirtualClock
from benchmarks._outcomes_network import Channel, Network
from benchmarks._outcomes_target import Answer, Call, TargetNode
from daisywharf._errors import ErrorKind
from daisywharf._ids import Incarnation, RequestId, TargetId
from daisywharf._outcomes import _call_events, _resolution
from daisywharf._outcomes._call_events import CallPlan
from daisywharf._outcomes._link import (
    CloseLink,
    LinkAction,
    LinkState,
    SendHeartbeat,
    TryNewConnection,
    link_tick,
    record_echo,
    record_probe_answer,
)
from daisywharf._outcomes._once import OnceDecision, RefuseRun, RepeatAnswer, StoredAnswer
from daisywharf._outcomes._resolution import ResolutionState, resolution_step
from daisywharf._outcomes._ticket import TicketKind

TICK_PERIOD_S = 0.1
CONNECT_S = 0.001
CONNECT_TIMEOUT_S = 0.5
RESOLVE_TIMEOUT_S = 0.5
SEND_AGAIN_TIMEOUT_S = 1.5
SUSPECT_S = 2.0  # for which an entry avoids a target that it could not reach

OnEnd = Callable[["Sending", _call_events.CallAction], None]


class Link:
    """One link: its channel, its liveness state and its pending calls."""

    def __init__(self, channel: Channel, target: TargetNode, *, now: float) -> None:
        self.channel = channel
        self.target = target
        self.state = LinkState(now=now)
        self.pending_by_number: dict[int, Sending] = {}


class Sending(msgspec.Struct, eq=False):
    """One attempt to run a call at one target; `sent_at` is in seconds since 1970."""

    call: Call
    state: ResolutionState
    ended: OnEnd
    sent_at: float
    number: int = 0
    link: Link | None = None
    was_resolved: bool = False


class EntryNode(Node):
    """An entry process, with a link to each target that it has called."""

    def __init__(
        self,
        clock: VirtualClock,
        name: str,
        zone: int,
        *,
        network: Network,
        target_by_id: dict[TargetId, TargetNode],
    ) -> None:
        super().__init__(clock, name, zone)
        self.network = network
        self.target_by_id = target_by_id
        self.link_by_target: dict[TargetId, Link] = {}
        self.suspect_until_by_target: dict[TargetId, float] = {}
        self.sendings = 0
        self.after(TICK_PERIOD_S, self._tick)

    def send(self, call: Call, *, is_first_use: bool, ended: OnEnd) -> Sending:
        """Send a call under its ticket; `ended` is called once, with the call's outcome."""
        ticket = call.ticket
        request_id = RequestId(f"r{call.attempt.order}")
        plan = CallPlan(request_id, ticket.target_id, ticket.incarnation, ticket, is_first_use)
        self.sendings += 1
        state = ResolutionState(plan)
        sending = Sending(call, state, ended, self.clock.now, self.sendings)
        time_left_s = call.deadline - self.clock.now
        if time_left_s <= 0.0:
            self._handle_event(sending, _call_events.DeadlinePassed())
            return sending
        self.after(time_left_s, lambda: self._handle_event(sending, _call_events.DeadlinePassed()))
        self._connect(sending)
        return sending

    def abandon(self, sending: Sending) -> None:
        """Handle a caller that no longer waits for its answer."""
        self._handle_event(sending, _call_events.CallerGone())

    def _connect(self, sending: Sending) -> None:
        target_id = sending.call.ticket.target_id
        link = self.link_by_target.get(target_id)
        if link is not None and link.target.incarnation < sending.call.ticket.incarnation:
            # The ticket shows that the peer has restarted; the link hasn't detected it yet.
            self._drop(link)
            link = None
        if link is not None:
            self._write(sending, link)
            return
        target = self.target_by_id[target_id]
        if self.network.is_partitioned(self, target) or target.is_paused or target.is_gone:
            self._suspect(target_id)
            failed = _call_events.ConnectFailed()
            self.after(CONNECT_TIMEOUT_S, lambda: self._handle_event(sending, failed))
            return
        self.after(CONNECT_S, lambda: self._write(sending, self._open(target)))

    def _open(self, target: TargetNode) -> Link:
        link = self.link_by_target.get(target.target_id)
        if link is not None and not link.state.is_closed:
            return link
        channel = Channel(self, target)
        opened = Link(channel, target, now=self.clock.now)
        channel.break_hooks.append(lambda: self._drop(opened))
        self.link_by_target[target.target_id] = opened
        return opened

    def _write(self, sending: Sending, link: Link) -> None:
        if sending.state.phase is _resolution.CallPhase.ENDED:
            return
        if sending.call.deadline <= self.clock.now:
            # The process was paused past the deadline, and the deadline's timer hasn't run yet.
            self._handle_event(sending, _call_events.DeadlinePassed())
            return
        if link.target.incarnation != sending.call.ticket.incarnation:
            # The peer's greeting names its incarnation; a call is never sent to another one.
            self._handle_event(sending, _call_events.ConnectFailed())
            return
        self._handle_event(sending, _call_events.CallSent())
        sending.link = link
        link.pending_by_number[sending.number] = sending
        answer = self._answer_on(link, sending)
        self.network.send(link.channel, lambda: link.target.call(sending.call, answer))

    def _answer_on(self, link: Link, sending: Sending) -> Answer:
        def answer(decision: OnceDecision) -> None:
            incarnation = link.target.incarnation
            self.network.reply(
                link.channel,
                lambda is_cut: self._handle_reply(
                    link, sending, _reply_event(sending, incarnation, decision, is_cut)
                ),
            )

        return answer

    def _handle_reply(self, link: Link, sending: Sending, event: _call_events.CallEvent) -> None:
        if link.channel.is_broken:
            return
        if self.network.rng.random() < self.network.rates.mix_up:
            for other in list(link.pending_by_number.values()):
                self._handle_event(other, event)
        self._handle_event(sending, event)

    def _handle_event(self, sending: Sending, event: _call_events.CallEvent) -> None:
        for action in resolution_step(sending.state, event):
            if isinstance(action, _call_events.Resolve | _call_events.SendAgain):
                sending.was_resolved = True
                self.after(action.after_s, lambda: self._resolve(sending))
            else:
                if sending.link is not None:
                    sending.link.pending_by_number.pop(sending.number, None)
                sending.ended(sending, action)

    def _resolve(self, sending: Sending) -> None:
        if sending.state.phase is _resolution.CallPhase.ENDED:
            return
        ticket = sending.call.ticket
        target = self.target_by_id[ticket.target_id]
        is_resolve = ticket.kind is TicketKind.SINGLE_USE
        event_of = _resolved_event if is_resolve else _reply_event
        channel = Channel(self, target)
        is_open = [True]

        def answered(event: _call_events.CallEvent) -> None:
            if is_open[0]:
                is_open[0] = False
                self._handle_event(sending, event)

        channel.break_hooks.append(lambda: answered(_call_events.ResolveFailed()))

        def answer(decision: OnceDecision) -> None:
            self.network.reply(
                channel,
                lambda is_cut: answered(event_of(sending, target.incarnation, decision, is_cut)),
            )

        timeout_s = RESOLVE_TIMEOUT_S if is_resolve else SEND_AGAIN_TIMEOUT_S
        self.after(timeout_s, lambda: answered(_call_events.ResolveFailed()))
        if self.network.is_partitioned(self, target) or target.is_gone:
            self._suspect(ticket.target_id)
        elif is_resolve:
            self.network.send(channel, lambda: target.resolve(ticket, answer))
        else:
            self.network.send(channel, lambda: target.call(sending.call, answer))

    def _tick(self) -> None:
        for link in list(self.link_by_target.values()):
            actions = link_tick(
                link.state, now=self.clock.now, pending_calls=len(link.pending_by_number)
            )
            self._perform(link, actions)
        self.after(TICK_PERIOD_S, self._tick)

    def _perform(self, link: Link, actions: list[LinkAction]) -> None:
        for action in actions:
            match action:
                case SendHeartbeat(sequence):
                    self._send_heartbeat(link, sequence)
                case TryNewConnection():
                    self._probe(link)
                case CloseLink():
                    self._drop(link)

    def _send_heartbeat(self, link: Link, sequence: int) -> None:
        def echo() -> None:
            if not link.target.is_gone:
                self.network.reply(link.channel, lambda _: record_echo(link.state, sequence))

        self.network.send(link.channel, echo)

    def _probe(self, link: Link) -> None:
        target = self.target_by_id[link.target.target_id]
        if self.network.is_partitioned(self, target) or target.is_gone:
            return
        channel = Channel(self, target)

        def greeted(_is_cut: bool) -> None:
            self._perform(link, record_probe_answer(link.state, now=self.clock.now))

        self.network.send(channel, lambda: self.network.reply(channel, greeted))

    def _drop(self, link: Link) -> None:
        link.state.is_closed = True
        link.channel.is_broken = True
        if self.link_by_target.get(link.target.target_id) is link:
            del self.link_by_target[link.target.target_id]
        self._suspect(link.target.target_id)
        for sending in list(link.pending_by_number.values()):
            self._handle_event(sending, _call_events.LinkBroke())

    def _suspect(self, target_id: TargetId) -> None:
        self.suspect_until_by_target[target_id] = self.clock.now + SUSPECT_S


def _cut(answer: StoredAnswer, is_cut: bool) -> StoredAnswer:
    body = answer.body[: len(answer.body) // 2] if is_cut else answer.body
    return StoredAnswer(answer.status, answer.headers, body)


def _reply_event(
    sending: Sending, incarnation: Incarnation, decision: OnceDecision, is_cut: bool
) -> _call_events.CallEvent:
    plan = sending.state.plan
    if isinstance(decision, RepeatAnswer):
        answer = _cut(decision.answer, is_cut)
        size = len(decision.answer.body)
        return _call_events.AnswerArrived(
            plan.request_id, plan.target_id, incarnation, answer, size
        )
    kind = decision.kind if isinstance(decision, RefuseRun) else ErrorKind.INTERNAL
    return _call_events.RefusalArrived(plan.request_id, plan.target_id, incarnation, kind)


def _resolved_event(
    sending: Sending, _incarnation: Incarnation, decision: OnceDecision, is_cut: bool
) -> _call_events.CallEvent:
    ticket = sending.call.ticket
    if isinstance(decision, RepeatAnswer):
        size = len(decision.answer.body)
        return _call_events.Resolved(ticket, RepeatAnswer(_cut(decision.answer, is_cut)), size)
    return _call_events.Resolved(ticket, decision)
