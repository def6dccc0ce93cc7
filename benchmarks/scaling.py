"""Measures control traffic and processor time by the size of the fleet.

Pure nodes exchange frames through the real codec on a virtual clock. Only the
processor time is real; the overhead of a call is added from ``--overhead``.
"""

import heapq
import itertools
import json
import random
import resource
import socket
import threading
import time
import zlib
from collections import Counter, defaultdict
from collections.abc import Callable
from concurrent import futures
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from hashlib import sha256
from typing import Annotated, Any, Final

import grpc
import typer

from dotterelhatch.backing.interfaces import HostEntry, HostRole, HostState
from dotterelhatch.backing.records import HOST_LIST_ADAPTER
from dotterelhatch.core.events import (
    ApplyConfig,
    ConfigInForce,
    ConfigStored,
    DispatchRequest,
    Event,
    FrameReceived,
    HostsListed,
    ReplyFrame,
    RequestArrived,
    RequestFinished,
    RequestProgressed,
    SendFrame,
    Ticked,
)
from dotterelhatch.core.messages import Frame, RequestClass
from dotterelhatch.core.node import Node
from dotterelhatch.core.placement import candidates_of, coordinators_of
from dotterelhatch.core.queues import PendingRequest
from dotterelhatch.document import (
    decode_document,
    effective_config,
    encode_document,
)
from dotterelhatch.fleet import (
    FleetConfig,
    Organisation,
    Service,
    ServiceKind,
    ServiceLimits,
    Target,
)
from dotterelhatch.ids import (
    ConfigVersion,
    FailureDomain,
    Incarnation,
    OrganisationId,
    RequestId,
    RouterId,
    ServiceId,
    TargetId,
)
from dotterelhatch.settings import PlatformSettings, RouterSettings
from dotterelhatch.wire import exchange_pb2 as wire
from dotterelhatch.wire import exchange_pb2_grpc as wire_grpc
from dotterelhatch.wire.codec import decode_frame, frame_to_wire

__all__ = ('main',)

_LINK_SECONDS: Final = 0.001
# 52 ms between tokens; 27 slots on 6 targets then make 3,115 tokens/s.
_TOKENS_PER_SECOND: Final = 1 / 0.052
_DOMAINS: Final = 11
_ENTRIES_PER_ORGANISATION: Final = 3
_WAITING_PER_ENTRY: Final = 8
# Share of the slots that organisations without a backlog use.
_OPEN_SHARE: Final = 0.7
# The daemon ticks at these intervals.
_BUSY_TICK_SECONDS: Final = 0.02
_IDLE_TICK_SECONDS: Final = 0.1
_POLL_SECONDS: Final = 3.0


@dataclass(frozen=True)
class Sizes:
    """What one run is made of."""

    routers: int
    targets_per_router: int
    organisations: int
    services: int
    requests_per_second: float
    tokens_per_second: float


class _Fleet:
    """Nodes, links and targets on a virtual clock."""

    def __init__(self, sizes: Sizes, seed: int) -> None:
        self.sizes = sizes
        self.now_seconds = 0.0
        self.counts: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.cpu_seconds: defaultdict[str, float] = defaultdict(float)
        self.peers: set[tuple[RouterId, RouterId]] = set()
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._ends: dict[RequestId, Callable[[], None]] = {}
        self._costs: dict[RequestId, float] = {}
        self._answer: Frame | None = None
        self.in_use = 0
        self._config = _fleet_config(sizes)
        self.slots = sum(
            target.slots_count
            for service in self._config.services
            for target in service.targets
        )
        self.nodes = {
            name: _make_node(index, self._rng)
            for index, name in enumerate(_names(sizes))
        }
        hosts = [_host(node.settings) for node in self.nodes.values()]
        for name in self.nodes:
            self.give(name, ConfigStored(ConfigVersion(1), b'document'))
            self.give(name, HostsListed(hosts))
            delay = self._rng.random() * _IDLE_TICK_SECONDS
            self._after(delay, partial(self._tick, name))
        # Longer than it takes until all routers know each other.
        self._after(4, self._start_load)

    def run(self, duration_seconds: float) -> None:
        """Advance the clock."""
        end_seconds = self.now_seconds + duration_seconds
        while self._heap and self._heap[0][0] <= end_seconds:
            self.now_seconds, _order, action = heapq.heappop(self._heap)
            action()
        self.now_seconds = end_seconds

    def give(self, name: RouterId, event: Event) -> None:
        """Hand an event to a node and take its actions."""
        started = time.thread_time()
        actions = self.nodes[name].handle(event, self.now_seconds)
        kind = type(event).__name__
        self.cpu_seconds[kind] += time.thread_time() - started
        self.counts[kind] += 1
        for action in actions:
            match action:
                case SendFrame():
                    self._call(name, action)
                case ReplyFrame():
                    self._answer = action.frame
                case DispatchRequest():
                    self._dispatch(name, action)
                case ApplyConfig():
                    self.give(name, ConfigInForce(action.version, self._config))
                case _:
                    self.counts[type(action).__name__] += 1

    def change(self, content: bytes) -> None:
        """Store a new configuration; each node polls within 3 s."""
        for name in self.nodes:
            stored = ConfigStored(ConfigVersion(2), content)
            delay = self._rng.random() * _POLL_SECONDS
            self._after(delay, partial(self.give, name, stored))

    def unchanged_count(self) -> int:
        """Return how many nodes have not applied the new configuration."""
        return sum(
            node.rollout.active_version < 2 for node in self.nodes.values()
        )

    def reset(self) -> None:
        """Start a new measurement."""
        self.counts.clear()
        self.sent_bytes.clear()
        self.cpu_seconds.clear()
        self.peers.clear()

    def _after(self, delay: float, action: Callable[[], None]) -> None:
        moment = self.now_seconds + delay
        heapq.heappush(self._heap, (moment, next(self._order), action))

    def _tick(self, name: RouterId) -> None:
        self.give(name, Ticked())
        busy = self.nodes[name].waiting_count() > 0
        delay = _BUSY_TICK_SECONDS if busy else _IDLE_TICK_SECONDS
        self._after(delay, lambda: self._tick(name))

    def _carry(self, frame: Frame) -> Frame:
        """Encode and decode a frame and count its bytes by kind."""
        started = time.thread_time()
        encoded = frame_to_wire(frame)
        content = encoded.SerializeToString()
        decoded = decode_frame(content)
        self.cpu_seconds['codec'] += time.thread_time() - started
        rest = len(content)
        for part in encoded.messages:
            size = part.ByteSize() + 2
            kind = part.WhichOneof('kind')
            self.sent_bytes[kind] += size
            self.counts[f'message {kind}'] += 1
            rest -= size
        records = sum(one.ByteSize() + 2 for one in encoded.records)
        self.counts['message record'] += len(encoded.records)
        self.sent_bytes['records'] += records
        self.sent_bytes['frame and names'] += rest - records
        return decoded

    def _call(self, name: RouterId, call: SendFrame) -> None:
        self.counts['calls'] += 1
        self.peers.add((name, call.router))
        received = FrameReceived(self._carry(call.frame), callee=None)

        def arrive() -> None:
            self.give(call.router, received)
            if self._answer is None:
                raise RuntimeError('a call was not answered')
            answer = FrameReceived(self._carry(self._answer), call.router)
            self._answer = None
            self._after(_LINK_SECONDS, lambda: self.give(name, answer))

        self._after(_LINK_SECONDS, arrive)

    def _dispatch(self, name: RouterId, action: DispatchRequest) -> None:
        self.in_use += 1
        self.counts['dispatches'] += 1
        ends = self.now_seconds + (
            self._costs[action.request_id] / _TOKENS_PER_SECOND
        )
        self._progress(name, action.request_id, self.now_seconds, ends)

    def _progress(
        self, name: RouterId, request: RequestId, began: float, ends: float
    ) -> None:
        left = ends - self.now_seconds
        units = (self.now_seconds - began) * _TOKENS_PER_SECOND
        if left <= 0:
            self.in_use -= 1
            cost = self._costs.pop(request)
            self.give(name, RequestFinished(request, cost, False))
            self._ends.pop(request)()
            return
        self.give(name, RequestProgressed(request, units))
        # Once per exchange period, because no more is reported.
        self._after(
            min(left + 1e-6, 1.0),
            lambda: self._progress(name, request, began, ends),
        )

    def _request(
        self,
        name: RouterId,
        organisation: OrganisationId,
        service: ServiceId,
        on_end: Callable[[], None],
    ) -> None:
        mean = self.sizes.tokens_per_second / self.sizes.requests_per_second
        request_id = RequestId(f'request-{next(self._order)}')
        self._costs[request_id] = self._rng.expovariate(1 / mean) + 1
        self._ends[request_id] = on_end
        pending = PendingRequest(
            request_id,
            service,
            organisation,
            RequestClass.LONG,
            mean,
            self.now_seconds + 1e6,
            self.now_seconds,
        )
        self.give(name, RequestArrived(pending))

    def _start_load(self) -> None:
        sizes = self.sizes
        names = list(self.nodes)
        by_kind: dict[bool, list[Any]] = {True: [], False: []}
        for index in range(sizes.organisations):
            backlogged = index // sizes.services % 10 == 0
            entries = self._rng.sample(
                names, min(len(names), _ENTRIES_PER_ORGANISATION)
            )
            by_kind[backlogged].append(
                (
                    OrganisationId(f'organisation-{index}'),
                    ServiceId(f'model-{index % sizes.services}'),
                    entries,
                )
            )
        open_rate = sizes.requests_per_second * sizes.routers * _OPEN_SHARE
        for one in by_kind[False]:
            self._arrive(one, open_rate / len(by_kind[False]))
        # Enough to fill all slots, so that requests wait all the time.
        share = self.slots / len(by_kind[True])
        for name, service, entries in by_kind[True]:
            depth = int(share / len(entries)) + _WAITING_PER_ENTRY
            for entry in entries * depth:
                self._repeat(entry, name, service)

    def _arrive(self, one: Any, rate: float) -> None:
        name, service, entries = one
        entry = self._rng.choice(entries)
        self._request(entry, name, service, lambda: None)
        delay = self._rng.expovariate(rate)
        self._after(delay, lambda: self._arrive(one, rate))

    def _repeat(
        self, entry: RouterId, name: OrganisationId, service: ServiceId
    ) -> None:
        self._request(
            entry, name, service, lambda: self._repeat(entry, name, service)
        )


def _names(sizes: Sizes) -> list[RouterId]:
    return [RouterId(f'router-{index}') for index in range(sizes.routers)]


def _make_node(index: int, rng: random.Random) -> Node:
    url = 'http://127.0.0.1:1'
    settings = RouterSettings(
        router_id=RouterId(f'router-{index}'),
        failure_domain=FailureDomain(f'domain-{index % _DOMAINS}'),
        region='region',
        caller_address=f'127.0.0.1:{20000 + index}',
        peer_address=f'127.0.0.1:{21000 + index}',
        operations_address=f'127.0.0.1:{22000 + index}',
        platform=PlatformSettings(
            tables_url=url, objects_url=url, hosts_url=url
        ),
    )
    return Node(
        settings,
        # The wall clock in milliseconds, which has this length.
        Incarnation(1_790_000_000_000 + index),
        random.Random(rng.getrandbits(32)),
        is_usable=lambda _document: True,
    )


def _host(settings: RouterSettings) -> HostEntry:
    return HostEntry(
        settings.router_id,
        HostRole.ENTRY,
        settings.peer_address,
        settings.failure_domain,
        'a',
        HostState.LIVE,
    )


def _fleet_config(sizes: Sizes) -> FleetConfig:
    total = sizes.routers * sizes.targets_per_router
    slots = sizes.tokens_per_second / _TOKENS_PER_SECOND
    limits = ServiceLimits(queue_limit_count=10_000, deadline_seconds=3600)
    targets = [
        Target(
            id=TargetId(f'target-{index}'),
            address=f'127.0.0.1:{23000 + index}',
            failure_domain=FailureDomain(f'domain-{index % _DOMAINS}'),
            slots_count=round(slots / sizes.targets_per_router),
        )
        for index in range(total)
    ]
    return FleetConfig(
        organisations=tuple(
            Organisation(
                id=OrganisationId(f'organisation-{index}'),
                weight=1.0 if index % 8 else 4.0,
            )
            for index in range(sizes.organisations)
        ),
        services=tuple(
            Service(
                id=ServiceId(f'model-{index}'),
                kind=ServiceKind.MODEL,
                idempotent=True,
                limits=limits,
                targets=tuple(targets[index :: sizes.services]),
            )
            for index in range(sizes.services)
        ),
    )


def _peak_bytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


class _CountingRelay:
    """A TCP relay on loopback that counts bytes and reads."""

    def __init__(self, port: int) -> None:
        self.bytes_count = 0
        self.reads_count = 0
        self._port = port
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        near, _address = self._listener.accept()
        far = socket.create_connection(('127.0.0.1', self._port))
        for source, sink in ((near, far), (far, near)):
            threading.Thread(
                target=self._copy, args=(source, sink), daemon=True
            ).start()

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        with suppress(OSError):
            while content := source.recv(65536):
                self.bytes_count += len(content)
                self.reads_count += 1
                sink.sendall(content)


class _Echo(wire_grpc.PeersServicer):
    """Answers with the frame that it received."""

    def Exchange(  # noqa: N802 - the generated name of the call
        self, request: wire.Frame, context: Any
    ) -> wire.Frame:
        """Answer one call."""
        return request


def _measure_overhead(calls_count: int = 2000) -> dict[str, float]:
    """Return what a call costs beside its two encoded frames."""
    server = grpc.server(futures.ThreadPoolExecutor(8))
    add_servicer: Any = wire_grpc.add_PeersServicer_to_server
    add_servicer(_Echo(), server)
    relay = _CountingRelay(server.add_insecure_port('127.0.0.1:0'))
    server.start()
    channel = grpc.insecure_channel(f'ipv4:127.0.0.1:{relay.port}')
    make_stub: Any = wire_grpc.PeersStub
    exchange = make_stub(channel).Exchange
    frame = wire.Frame(names=['router-1'], incarnation=1_790_000_000_000)
    for _warm_up in range(100):
        exchange(frame)
    before = (relay.bytes_count, relay.reads_count, time.process_time())
    for _call in range(calls_count):
        exchange(frame)
    wire_bytes = relay.bytes_count - before[0]
    reads = relay.reads_count - before[1]
    cpu_seconds = time.process_time() - before[2]
    channel.close()
    server.stop(None)
    return {
        'overhead_bytes_per_call': wire_bytes / calls_count
        - 2 * frame.ByteSize(),
        'segments_per_call': reads / calls_count,
        # Both ends and the relay, so an upper bound of the two ends.
        'cpu_us_per_call_both_ends': cpu_seconds / calls_count * 1e6,
    }


def _measure(
    sizes: Sizes, seed: int, warm_up: float, duration: float, overhead: float
) -> dict[str, Any]:
    base_bytes = _peak_bytes()
    fleet = _Fleet(sizes, seed)
    fleet.run(warm_up)
    fleet.reset()
    used = 0
    for _sample in range(int(duration * 10)):
        fleet.run(0.1)
        used += fleet.in_use
    router_seconds = sizes.routers * duration
    calls = fleet.counts['calls'] / router_seconds
    sent = {
        kind: count / router_seconds for kind, count in fleet.sent_bytes.items()
    }
    sent['call overhead'] = calls * overhead
    cpu = {
        kind: seconds / router_seconds * 100
        for kind, seconds in fleet.cpu_seconds.items()
    }
    return {
        'sizes': vars(sizes),
        'bytes_per_second': round(sum(sent.values())),
        'calls_per_second': round(calls, 2),
        'cpu_percent': round(sum(cpu.values()), 3),
        'memory_mib': round(
            (_peak_bytes() - base_bytes) / sizes.routers / 2**20, 2
        ),
        'requests_per_second': round(
            fleet.counts['dispatches'] / router_seconds, 2
        ),
        'slots_in_use': round(used / int(duration * 10) / fleet.slots, 4),
        'peers_called': round(len(fleet.peers) / sizes.routers, 1),
        'sent_by_kind': _rounded(sent, 1),
        'cpu_percent_by_kind': _rounded(cpu, 3),
        'events_per_second': _rounded(
            {
                kind: count / router_seconds
                for kind, count in fleet.counts.items()
            },
            2,
        ),
    }


def _timed(function: Callable[[], Any]) -> tuple[Any, float]:
    started = time.thread_time()
    outcome = function()
    return outcome, round((time.thread_time() - started) * 1000, 1)


def _measure_hosts(sizes: Sizes) -> dict[str, float]:
    """Return what reading an unchanged host list costs a node."""
    node = _make_node(0, random.Random(1))
    others = [
        _make_node(index, random.Random(1)) for index in range(1, sizes.routers)
    ]
    records = tuple(one.membership.own_record() for one in others)
    sender = records[0]
    frame = Frame(
        sender.router,
        sender.incarnation,
        Incarnation(0),
        1,
        ConfigVersion(1),
        records,
        (),
    )
    config = _fleet_config(sizes)
    hosts = [_host(one.settings) for one in (node, *others)]
    hosts.extend(
        HostEntry(
            target.id,
            HostRole.TARGET,
            target.address,
            target.failure_domain,
            'instance-1',
            HostState.LIVE,
        )
        for service in config.services
        for target in service.targets
    )
    node.handle(FrameReceived(frame, callee=None), 0)
    node.handle(ConfigInForce(ConfigVersion(1), config), 0)
    node.handle(HostsListed(hosts), 0)
    _actions, handle_ms = _timed(lambda: node.handle(HostsListed(hosts), 2))
    listed = HOST_LIST_ADAPTER.dump_json(tuple(hosts))
    _hosts, parse_ms = _timed(lambda: HOST_LIST_ADAPTER.validate_json(listed))
    return {
        'hosts': len(hosts),
        'list_bytes': len(listed),
        'parse_ms': parse_ms,
        'live_routers': len(node.membership.live()),
        'handle_ms': handle_ms,
    }


def _measure_document(sizes: Sizes) -> dict[str, float]:
    """Return what a configuration document of a whole fleet costs."""
    config = _fleet_config(sizes).model_dump(mode='json', exclude_unset=True)
    for index, organisation in enumerate(config['organisations']):
        organisation['key_digests'] = [
            sha256(f'{index}/{number}'.encode()).hexdigest()
            for number in range(2)
        ]
    document = decode_document(
        json.dumps({'base': config, 'overlays': {}}).encode()
    )
    content = encode_document(document)
    packed, pack_ms = _timed(lambda: zlib.compress(content))
    decoded, decode_ms = _timed(lambda: decode_document(content))
    _config, effective_ms = _timed(
        lambda: effective_config(decoded, FailureDomain('domain-1'))
    )
    names = _names(sizes)
    counts = {one.id: len(one.targets) for one in _fleet_config(sizes).services}
    subsets, subsets_ms = _timed(lambda: candidates_of(counts, names))
    _homes, homes_ms = _timed(
        lambda: [
            coordinators_of(
                (one.id for one in service.targets), subsets[service.id]
            )
            for service in decoded.base.services
        ]
    )
    return {
        'document_bytes': len(content),
        'packed_bytes': len(packed),
        'pack_ms': pack_ms,
        'decode_ms': decode_ms,
        'effective_ms': effective_ms,
        'place_ms': subsets_ms + homes_ms,
    }


def _measure_change(sizes: Sizes, seed: int) -> dict[str, float]:
    """Return how a change reaches all nodes and what it sends."""
    fleet = _Fleet(sizes, seed)
    fleet.run(10)
    fleet.reset()
    fleet.change(random.Random(seed).randbytes(50_000))
    seconds = 0.0
    while fleet.unchanged_count():
        fleet.run(0.05)
        seconds += 0.05
    fleet.run(2)
    return {
        'routers': sizes.routers,
        'in_force_seconds': round(seconds, 2),
        'offers_per_router': fleet.counts['message config_offer']
        / sizes.routers,
        'offer_bytes_per_router': fleet.sent_bytes['config_offer']
        / sizes.routers,
    }


def _rounded(values: dict[str, float], digits: int) -> dict[str, float]:
    ordered = sorted(values.items(), key=lambda one: -one[1])
    return {name: round(number, digits) for name, number in ordered}


def main(
    routers: Annotated[int, typer.Option()] = 16,
    targets_per_router: Annotated[int, typer.Option()] = 6,
    organisations: Annotated[int, typer.Option(help='0: as routers')] = 0,
    services: Annotated[int, typer.Option(help='0: routers / 23')] = 0,
    requests_per_second: Annotated[float, typer.Option()] = 11,
    tokens_per_second: Annotated[float, typer.Option()] = 3250,
    seed: Annotated[int, typer.Option()] = 1,
    warm_up_seconds: Annotated[float, typer.Option()] = 15,
    duration_seconds: Annotated[float, typer.Option()] = 10,
    overhead_bytes: Annotated[float, typer.Option()] = 0,
    overhead: Annotated[bool, typer.Option(help='measure a call')] = False,
    change: Annotated[bool, typer.Option(help='roll a change out')] = False,
    hosts: Annotated[bool, typer.Option(help='read the list')] = False,
    document: Annotated[bool, typer.Option(help='measure a change')] = False,
) -> None:
    """Print the figures of one router, requests and tokens per router."""
    if overhead:
        print(json.dumps(_measure_overhead()))
        return
    sizes = Sizes(
        routers,
        targets_per_router,
        # 390 organisations and 16 models on 370 routers.
        organisations or max(16, round(routers * 390 / 370)),
        services or max(1, round(routers * 16 / 370)),
        requests_per_second,
        tokens_per_second,
    )
    if change:
        print(json.dumps(_measure_change(sizes, seed)))
        return
    if hosts:
        print(json.dumps(_measure_hosts(sizes)))
        return
    if document:
        print(json.dumps(_measure_document(sizes)))
        return
    print(
        json.dumps(
            _measure(
                sizes, seed, warm_up_seconds, duration_seconds, overhead_bytes
            )
        )
    )


if __name__ == '__main__':
    typer.run(main)
