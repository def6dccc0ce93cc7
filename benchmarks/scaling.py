"""Measures control traffic and CPU time by the size of the fleet.

Nodes without I/O exchange frames through the real codec on a virtual clock.
Only the CPU time is real. The bytes that a call adds to its frames are given
as ``--overhead-bytes`` and can be measured with ``--overhead``.
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

_LINK_DELAY_SECONDS: Final = 0.001
# 52 ms between tokens; 27 slots on each of 6 targets then generate 3,115
# tokens/s.
_TOKENS_PER_SECOND: Final = 1 / 0.052
_FAILURE_DOMAINS_COUNT: Final = 11
_ROUTERS_PER_ORGANISATION: Final = 3
_QUEUED_PER_ROUTER: Final = 8
# Share of the request rate, and so of the slots, that organisations without a
# backlog take.
_OPEN_LOAD_SHARE: Final = 0.7
# Intervals at which the daemon ticks, with and without waiting requests.
_BUSY_TICK_SECONDS: Final = 0.02
_IDLE_TICK_SECONDS: Final = 0.1
_CONFIG_POLL_SECONDS: Final = 3.0


@dataclass(frozen=True)
class FleetSize:
    """Size of a fleet and its load.

    :param requests_per_second: per router.
    :param tokens_per_second: per router.
    """

    routers: int
    targets_per_router: int
    organisations: int
    services: int
    requests_per_second: float
    tokens_per_second: float


class _SimulatedFleet:
    """Simulates nodes, network links and targets on a virtual clock.

    :ivar event_counts: number of events, actions and messages by kind.
    :ivar cpu_seconds: CPU time of the codec and of the nodes by event.
    :ivar called_pairs: caller and callee of all calls.
    """

    def __init__(self, fleet_size: FleetSize, seed: int) -> None:
        self.fleet_size = fleet_size
        self.now_seconds = 0.0
        self.event_counts: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.cpu_seconds: defaultdict[str, float] = defaultdict(float)
        self.called_pairs: set[tuple[RouterId, RouterId]] = set()
        self._rng = random.Random(seed)
        self._sequence = itertools.count()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._end_callbacks: dict[RequestId, Callable[[], None]] = {}
        self._request_units: dict[RequestId, float] = {}
        self._reply: Frame | None = None
        self.slots_in_use = 0
        self._config = _fleet_config(fleet_size)
        self.total_slots = sum(
            target.slots_count
            for service in self._config.services
            for target in service.targets
        )
        self.nodes = {
            router_id: _make_node(index, self._rng)
            for index, router_id in enumerate(_router_ids(fleet_size))
        }
        hosts = [_host_entry(node.settings) for node in self.nodes.values()]
        for router_id in self.nodes:
            self.handle_event(
                router_id, ConfigStored(ConfigVersion(1), b'document')
            )
            self.handle_event(router_id, HostsListed(hosts))
            delay_seconds = self._rng.random() * _IDLE_TICK_SECONDS
            self._schedule(delay_seconds, partial(self._tick, router_id))
        # By then all routers know each other.
        self._schedule(4, self._start_load)

    def run(self, duration_seconds: float) -> None:
        """Advance the clock and run the callbacks that become due."""
        end_seconds = self.now_seconds + duration_seconds
        while self._timers and self._timers[0][0] <= end_seconds:
            self.now_seconds, _sequence, callback = heapq.heappop(self._timers)
            callback()
        self.now_seconds = end_seconds

    def handle_event(self, router_id: RouterId, event: Event) -> None:
        """Pass an event to a node and perform the resulting actions."""
        started_seconds = time.thread_time()
        actions = self.nodes[router_id].handle(event, self.now_seconds)
        kind = type(event).__name__
        self.cpu_seconds[kind] += time.thread_time() - started_seconds
        self.event_counts[kind] += 1
        for action in actions:
            match action:
                case SendFrame():
                    self._call(router_id, action)
                case ReplyFrame():
                    self._reply = action.frame
                case DispatchRequest():
                    self._dispatch(router_id, action)
                case ApplyConfig():
                    self.handle_event(
                        router_id, ConfigInForce(action.version, self._config)
                    )
                case _:
                    self.event_counts[type(action).__name__] += 1

    def store_new_config(self, content: bytes) -> None:
        """Store a new configuration, which each node polls within 3 s."""
        for router_id in self.nodes:
            stored = ConfigStored(ConfigVersion(2), content)
            delay_seconds = self._rng.random() * _CONFIG_POLL_SECONDS
            self._schedule(
                delay_seconds, partial(self.handle_event, router_id, stored)
            )

    def outdated_nodes_count(self) -> int:
        """Return how many nodes have not applied the new configuration."""
        return sum(
            node.rollout.active_version < 2 for node in self.nodes.values()
        )

    def reset_counters(self) -> None:
        """Reset all counters for a new measurement."""
        self.event_counts.clear()
        self.sent_bytes.clear()
        self.cpu_seconds.clear()
        self.called_pairs.clear()

    def _schedule(
        self, delay_seconds: float, callback: Callable[[], None]
    ) -> None:
        due_seconds = self.now_seconds + delay_seconds
        heapq.heappush(
            self._timers, (due_seconds, next(self._sequence), callback)
        )

    def _tick(self, router_id: RouterId) -> None:
        self.handle_event(router_id, Ticked())
        is_busy = self.nodes[router_id].waiting_count() > 0
        delay_seconds = _BUSY_TICK_SECONDS if is_busy else _IDLE_TICK_SECONDS
        self._schedule(delay_seconds, lambda: self._tick(router_id))

    def _transmit(self, frame: Frame) -> Frame:
        """Encode and decode a frame and count its bytes by kind of message."""
        started_seconds = time.thread_time()
        encoded = frame_to_wire(frame)
        content = encoded.SerializeToString()
        decoded = decode_frame(content)
        self.cpu_seconds['codec'] += time.thread_time() - started_seconds
        other_bytes = len(content)
        for message in encoded.messages:
            # Plus field tag and length: two bytes below a size of 128 bytes.
            message_bytes = message.ByteSize() + 2
            kind = message.WhichOneof('kind')
            self.sent_bytes[kind] += message_bytes
            self.event_counts[f'message {kind}'] += 1
            other_bytes -= message_bytes
        records_bytes = sum(record.ByteSize() + 2 for record in encoded.records)
        self.event_counts['message record'] += len(encoded.records)
        self.sent_bytes['records'] += records_bytes
        self.sent_bytes['frame and names'] += other_bytes - records_bytes
        return decoded

    def _call(self, router_id: RouterId, call: SendFrame) -> None:
        self.event_counts['calls'] += 1
        self.called_pairs.add((router_id, call.router))
        received = FrameReceived(self._transmit(call.frame), callee=None)

        def arrive() -> None:
            self.handle_event(call.router, received)
            if self._reply is None:
                raise RuntimeError('node did not reply to a call')
            received_reply = FrameReceived(
                self._transmit(self._reply), call.router
            )
            self._reply = None
            self._schedule(
                _LINK_DELAY_SECONDS,
                lambda: self.handle_event(router_id, received_reply),
            )

        self._schedule(_LINK_DELAY_SECONDS, arrive)

    def _dispatch(self, router_id: RouterId, action: DispatchRequest) -> None:
        self.slots_in_use += 1
        self.event_counts['dispatches'] += 1
        completed_seconds = self.now_seconds + (
            self._request_units[action.request_id] / _TOKENS_PER_SECOND
        )
        self._progress(
            router_id, action.request_id, self.now_seconds, completed_seconds
        )

    def _progress(
        self,
        router_id: RouterId,
        request_id: RequestId,
        dispatched_seconds: float,
        completed_seconds: float,
    ) -> None:
        remaining_seconds = completed_seconds - self.now_seconds
        units = (self.now_seconds - dispatched_seconds) * _TOKENS_PER_SECOND
        if remaining_seconds <= 0:
            self.slots_in_use -= 1
            cost = self._request_units.pop(request_id)
            self.handle_event(
                router_id, RequestFinished(request_id, cost, False)
            )
            self._end_callbacks.pop(request_id)()
            return
        self.handle_event(router_id, RequestProgressed(request_id, units))
        # Progress is reported to coordinators at most once per exchange period.
        self._schedule(
            min(remaining_seconds + 1e-6, 1.0),
            lambda: self._progress(
                router_id, request_id, dispatched_seconds, completed_seconds
            ),
        )

    def _submit_request(
        self,
        router_id: RouterId,
        organisation: OrganisationId,
        service: ServiceId,
        on_end: Callable[[], None],
    ) -> None:
        mean_units = (
            self.fleet_size.tokens_per_second
            / self.fleet_size.requests_per_second
        )
        request_id = RequestId(f'request-{next(self._sequence)}')
        self._request_units[request_id] = (
            self._rng.expovariate(1 / mean_units) + 1
        )
        self._end_callbacks[request_id] = on_end
        pending = PendingRequest(
            request_id,
            service,
            organisation,
            RequestClass.LONG,
            mean_units,
            self.now_seconds + 1e6,
            self.now_seconds,
        )
        self.handle_event(router_id, RequestArrived(pending))

    def _start_load(self) -> None:
        fleet_size = self.fleet_size
        router_ids = list(self.nodes)
        loads_by_backlog: dict[bool, list[Any]] = {True: [], False: []}
        for index in range(fleet_size.organisations):
            # In each service, every tenth organisation has a backlog.
            is_backlogged = index // fleet_size.services % 10 == 0
            entry_routers = self._rng.sample(
                router_ids, min(len(router_ids), _ROUTERS_PER_ORGANISATION)
            )
            loads_by_backlog[is_backlogged].append(
                (
                    OrganisationId(f'organisation-{index}'),
                    ServiceId(f'model-{index % fleet_size.services}'),
                    entry_routers,
                )
            )
        open_rate = (
            fleet_size.requests_per_second
            * fleet_size.routers
            * _OPEN_LOAD_SHARE
        )
        for load in loads_by_backlog[False]:
            self._send_open_load(load, open_rate / len(loads_by_backlog[False]))
        # Enough outstanding requests to fill all slots, so that some requests
        # always wait.
        slots_per_organisation = self.total_slots / len(loads_by_backlog[True])
        for organisation, service, entry_routers in loads_by_backlog[True]:
            concurrency = (
                int(slots_per_organisation / len(entry_routers))
                + _QUEUED_PER_ROUTER
            )
            for entry_router in entry_routers * concurrency:
                self._send_backlogged(entry_router, organisation, service)

    def _send_open_load(self, load: Any, rate: float) -> None:
        organisation, service, entry_routers = load
        entry_router = self._rng.choice(entry_routers)
        self._submit_request(entry_router, organisation, service, lambda: None)
        delay_seconds = self._rng.expovariate(rate)
        self._schedule(delay_seconds, lambda: self._send_open_load(load, rate))

    def _send_backlogged(
        self,
        entry_router: RouterId,
        organisation: OrganisationId,
        service: ServiceId,
    ) -> None:
        self._submit_request(
            entry_router,
            organisation,
            service,
            lambda: self._send_backlogged(entry_router, organisation, service),
        )


def _router_ids(fleet_size: FleetSize) -> list[RouterId]:
    return [RouterId(f'router-{index}') for index in range(fleet_size.routers)]


def _make_node(index: int, rng: random.Random) -> Node:
    url = 'http://127.0.0.1:1'
    settings = RouterSettings(
        router_id=RouterId(f'router-{index}'),
        failure_domain=FailureDomain(
            f'domain-{index % _FAILURE_DOMAINS_COUNT}'
        ),
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
        # Incarnations are wall-clock times in milliseconds, as long as this.
        Incarnation(1_790_000_000_000 + index),
        random.Random(rng.getrandbits(32)),
        is_usable=lambda _document: True,
    )


def _host_entry(settings: RouterSettings) -> HostEntry:
    return HostEntry(
        settings.router_id,
        HostRole.ENTRY,
        settings.peer_address,
        settings.failure_domain,
        'a',
        HostState.LIVE,
    )


def _fleet_config(fleet_size: FleetSize) -> FleetConfig:
    targets_count = fleet_size.routers * fleet_size.targets_per_router
    slots_per_router = fleet_size.tokens_per_second / _TOKENS_PER_SECOND
    limits = ServiceLimits(queue_limit_count=10_000, deadline_seconds=3600)
    targets = [
        Target(
            id=TargetId(f'target-{index}'),
            address=f'127.0.0.1:{23000 + index}',
            failure_domain=FailureDomain(
                f'domain-{index % _FAILURE_DOMAINS_COUNT}'
            ),
            slots_count=round(slots_per_router / fleet_size.targets_per_router),
        )
        for index in range(targets_count)
    ]
    return FleetConfig(
        organisations=tuple(
            Organisation(
                id=OrganisationId(f'organisation-{index}'),
                weight=1.0 if index % 8 else 4.0,
            )
            for index in range(fleet_size.organisations)
        ),
        services=tuple(
            Service(
                id=ServiceId(f'model-{index}'),
                kind=ServiceKind.MODEL,
                idempotent=True,
                limits=limits,
                targets=tuple(targets[index :: fleet_size.services]),
            )
            for index in range(fleet_size.services)
        ),
    )


def _peak_memory_bytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


class _CountingRelay:
    """Relays one TCP connection on loopback and counts bytes and reads."""

    def __init__(self, port: int) -> None:
        self.bytes_count = 0
        self.reads_count = 0
        self._port = port
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        client_socket, _address = self._listener.accept()
        server_socket = socket.create_connection(('127.0.0.1', self._port))
        for source, destination in (
            (client_socket, server_socket),
            (server_socket, client_socket),
        ):
            threading.Thread(
                target=self._copy, args=(source, destination), daemon=True
            ).start()

    def _copy(self, source: socket.socket, destination: socket.socket) -> None:
        with suppress(OSError):
            while content := source.recv(65536):
                self.bytes_count += len(content)
                self.reads_count += 1
                destination.sendall(content)


class _EchoServicer(wire_grpc.PeersServicer):
    """Replies with the frame that it received."""

    def Exchange(  # noqa: N802 - the generated name of the call
        self, request: wire.Frame, context: Any
    ) -> wire.Frame:
        """Return the received frame as the reply."""
        return request


def _measure_call_overhead(calls_count: int = 2000) -> dict[str, float]:
    """Return the cost of a call in addition to its two encoded frames."""
    server = grpc.server(futures.ThreadPoolExecutor(8))
    add_servicer: Any = wire_grpc.add_PeersServicer_to_server
    add_servicer(_EchoServicer(), server)
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
    relayed_bytes = relay.bytes_count - before[0]
    relayed_reads = relay.reads_count - before[1]
    cpu_seconds = time.process_time() - before[2]
    channel.close()
    server.stop(None)
    return {
        'overhead_bytes_per_call': relayed_bytes / calls_count
        - 2 * frame.ByteSize(),
        'segments_per_call': relayed_reads / calls_count,
        # Includes the relay, so an upper bound for the two ends.
        'cpu_us_per_call_both_ends': cpu_seconds / calls_count * 1e6,
    }


def _measure(
    fleet_size: FleetSize,
    seed: int,
    warm_up_seconds: float,
    duration_seconds: float,
    overhead_bytes: float,
) -> dict[str, Any]:
    initial_memory_bytes = _peak_memory_bytes()
    fleet = _SimulatedFleet(fleet_size, seed)
    fleet.run(warm_up_seconds)
    fleet.reset_counters()
    slots_in_use_sum = 0
    for _sample in range(int(duration_seconds * 10)):
        fleet.run(0.1)
        slots_in_use_sum += fleet.slots_in_use
    router_seconds = fleet_size.routers * duration_seconds
    calls_per_second = fleet.event_counts['calls'] / router_seconds
    sent_bytes_per_second = {
        kind: count / router_seconds for kind, count in fleet.sent_bytes.items()
    }
    sent_bytes_per_second['call overhead'] = calls_per_second * overhead_bytes
    cpu_percent = {
        kind: seconds / router_seconds * 100
        for kind, seconds in fleet.cpu_seconds.items()
    }
    return {
        'sizes': vars(fleet_size),
        'bytes_per_second': round(sum(sent_bytes_per_second.values())),
        'calls_per_second': round(calls_per_second, 2),
        'cpu_percent': round(sum(cpu_percent.values()), 3),
        'memory_mib': round(
            (_peak_memory_bytes() - initial_memory_bytes)
            / fleet_size.routers
            / 2**20,
            2,
        ),
        'requests_per_second': round(
            fleet.event_counts['dispatches'] / router_seconds, 2
        ),
        'slots_in_use': round(
            slots_in_use_sum / int(duration_seconds * 10) / fleet.total_slots, 4
        ),
        'peers_called': round(len(fleet.called_pairs) / fleet_size.routers, 1),
        'sent_by_kind': _round_and_sort(sent_bytes_per_second, 1),
        'cpu_percent_by_kind': _round_and_sort(cpu_percent, 3),
        'events_per_second': _round_and_sort(
            {
                kind: count / router_seconds
                for kind, count in fleet.event_counts.items()
            },
            2,
        ),
    }


def _time_call(function: Callable[[], Any]) -> tuple[Any, float]:
    started_seconds = time.thread_time()
    outcome = function()
    return outcome, round((time.thread_time() - started_seconds) * 1000, 1)


def _measure_hosts(fleet_size: FleetSize) -> dict[str, float]:
    """Return the CPU time that a node spends on an unchanged host list."""
    node = _make_node(0, random.Random(1))
    others = [
        _make_node(index, random.Random(1))
        for index in range(1, fleet_size.routers)
    ]
    records = tuple(other.membership.own_record() for other in others)
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
    config = _fleet_config(fleet_size)
    hosts = [_host_entry(other.settings) for other in (node, *others)]
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
    _actions, handle_ms = _time_call(lambda: node.handle(HostsListed(hosts), 2))
    hosts_json = HOST_LIST_ADAPTER.dump_json(tuple(hosts))
    _hosts, parse_ms = _time_call(
        lambda: HOST_LIST_ADAPTER.validate_json(hosts_json)
    )
    return {
        'hosts': len(hosts),
        'list_bytes': len(hosts_json),
        'parse_ms': parse_ms,
        'live_routers': len(node.membership.live()),
        'handle_ms': handle_ms,
    }


def _measure_document(fleet_size: FleetSize) -> dict[str, float]:
    """Return size and CPU time of the configuration of a whole fleet."""
    config = _fleet_config(fleet_size).model_dump(
        mode='json', exclude_unset=True
    )
    for index, organisation in enumerate(config['organisations']):
        organisation['key_digests'] = [
            sha256(f'{index}/{number}'.encode()).hexdigest()
            for number in range(2)
        ]
    document = decode_document(
        json.dumps({'base': config, 'overlays': {}}).encode()
    )
    content = encode_document(document)
    compressed, compress_ms = _time_call(lambda: zlib.compress(content))
    decoded, decode_ms = _time_call(lambda: decode_document(content))
    _config, effective_ms = _time_call(
        lambda: effective_config(decoded, FailureDomain('domain-1'))
    )
    router_ids = _router_ids(fleet_size)
    target_counts = {
        service.id: len(service.targets)
        for service in _fleet_config(fleet_size).services
    }
    candidates, candidates_ms = _time_call(
        lambda: candidates_of(target_counts, router_ids)
    )
    _coordinators, coordinators_ms = _time_call(
        lambda: [
            coordinators_of(
                (target.id for target in service.targets),
                candidates[service.id],
            )
            for service in decoded.base.services
        ]
    )
    return {
        'document_bytes': len(content),
        'packed_bytes': len(compressed),
        'pack_ms': compress_ms,
        'decode_ms': decode_ms,
        'effective_ms': effective_ms,
        'place_ms': candidates_ms + coordinators_ms,
    }


def _measure_config_change(
    fleet_size: FleetSize, seed: int
) -> dict[str, float]:
    """Return how long a new configuration takes to be active on all nodes.

    The number and the bytes of the offers that spread it are returned too.
    """
    fleet = _SimulatedFleet(fleet_size, seed)
    fleet.run(10)
    fleet.reset_counters()
    fleet.store_new_config(random.Random(seed).randbytes(50_000))
    elapsed_seconds = 0.0
    while fleet.outdated_nodes_count():
        fleet.run(0.05)
        elapsed_seconds += 0.05
    fleet.run(2)
    return {
        'routers': fleet_size.routers,
        'in_force_seconds': round(elapsed_seconds, 2),
        'offers_per_router': fleet.event_counts['message config_offer']
        / fleet_size.routers,
        'offer_bytes_per_router': fleet.sent_bytes['config_offer']
        / fleet_size.routers,
    }


def _round_and_sort(values: dict[str, float], digits: int) -> dict[str, float]:
    ordered = sorted(values.items(), key=lambda item: -item[1])
    return {name: round(number, digits) for name, number in ordered}


def main(
    routers: Annotated[int, typer.Option()] = 16,
    targets_per_router: Annotated[int, typer.Option()] = 6,
    organisations: Annotated[
        int, typer.Option(help='0: about as many as routers, at least 16.')
    ] = 0,
    services: Annotated[
        int, typer.Option(help='0: one for every 23 routers.')
    ] = 0,
    requests_per_second: Annotated[float, typer.Option()] = 11,
    tokens_per_second: Annotated[float, typer.Option()] = 3250,
    seed: Annotated[int, typer.Option()] = 1,
    warm_up_seconds: Annotated[float, typer.Option()] = 15,
    duration_seconds: Annotated[float, typer.Option()] = 10,
    overhead_bytes: Annotated[float, typer.Option()] = 0,
    overhead: Annotated[
        bool, typer.Option(help='Measure the overhead of a call only.')
    ] = False,
    change: Annotated[
        bool, typer.Option(help='Measure a configuration change only.')
    ] = False,
    hosts: Annotated[
        bool, typer.Option(help='Measure reading the host list only.')
    ] = False,
    document: Annotated[
        bool, typer.Option(help='Measure the configuration document only.')
    ] = False,
) -> None:
    """Print traffic, CPU time and memory per router as JSON.

    Requests and tokens per second are given per router, too.
    """
    if overhead:
        print(json.dumps(_measure_call_overhead()))
        return
    fleet_size = FleetSize(
        routers,
        targets_per_router,
        # The defaults keep the ratio of 390 organisations and 16 model
        # services to 370 routers.
        organisations or max(16, round(routers * 390 / 370)),
        services or max(1, round(routers * 16 / 370)),
        requests_per_second,
        tokens_per_second,
    )
    if change:
        print(json.dumps(_measure_config_change(fleet_size, seed)))
        return
    if hosts:
        print(json.dumps(_measure_hosts(fleet_size)))
        return
    if document:
        print(json.dumps(_measure_document(fleet_size)))
        return
    print(
        json.dumps(
            _measure(
                fleet_size,
                seed,
                warm_up_seconds,
                duration_seconds,
                overhead_bytes,
            )
        )
    )


if __name__ == '__main__':
    typer.run(main)
