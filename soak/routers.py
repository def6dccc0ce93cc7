"""Router processes of a soak run, controlled by signals."""

import os
import random
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

__all__ = ('RouterEndpoints', 'RouterProcess')

_MODULE = 'dotterelhatch.platform'
_PORTS_COUNT = 5
# Below the ephemeral ports, which outgoing connections use.
_PORT_RANGE = (12_000, 30_000)
_SUBNET_RANGE = (1, 255)
_SOURCE_DIRECTORY = Path(__file__).parent.parent / 'src'


@dataclass(frozen=True)
class RouterEndpoints:
    """Addresses of a router, which has a loopback address of its own.

    :param ip: the loopback address, one for each router.
    """

    name: str
    ip: str
    ports: tuple[int, ...]
    zone: str

    @classmethod
    def allocate(cls, count: int) -> list['RouterEndpoints']:
        """Return endpoints whose ports are free on all loopback addresses."""
        # Routers share one metrics port number, and runs may be parallel: each
        # run takes a subnet of its own.
        subnet = random.SystemRandom().randrange(*_SUBNET_RANGE)
        hosts = [f'127.0.{subnet}.{number + 1}' for number in range(count)]
        ports = _free_ports(hosts, _PORTS_COUNT)
        return [
            cls(f'edge-{index}', host, ports, f'zone-{index % 3}')
            for index, host in enumerate(hosts)
        ]

    def address(self, index: int) -> str:
        """Return the address with the port at an index."""
        return f'{self.ip}:{self.ports[index]}'

    @property
    def caller_address(self) -> str:
        """Return the address for requests of callers."""
        return self.address(0)

    @property
    def readiness_address(self) -> str:
        """Return the address of the readiness endpoint."""
        return self.address(1)

    @property
    def directory_address(self) -> str:
        """Return the address at which callers resolve router addresses."""
        return self.address(3)


def _free_ports(hosts: list[str], count: int) -> tuple[int, ...]:
    """Return ports that are free on all hosts.

    They are outside the ephemeral range: an outgoing connection could take
    such a port while a router is being restarted.
    """
    start = random.SystemRandom().randrange(*_PORT_RANGE)
    found: list[int] = []
    port = start
    while len(found) < count:
        port += 1
        if all(_is_free(host, port) for host in hosts):
            found.append(port)
    return tuple(found)


def _is_free(host: str, port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class RouterProcess:
    """One router, restarted with the same addresses and settings.

    :param folder: for its settings and logs.
    :param store: address of its proxy to the store.
    :param seeds: control addresses of the routers.
    """

    def __init__(
        self,
        endpoints: RouterEndpoints,
        folder: Path,
        store: str,
        seeds: list[str],
    ) -> None:
        """Write the settings; the process is not started yet."""
        self.endpoints = endpoints
        self.log_path = folder / f'{endpoints.name}.log'
        self._settings_path = folder / f'{endpoints.name}.toml'
        self._settings_path.write_text(
            _render_settings(endpoints, store, seeds)
        )
        self.is_restarting = False
        self._process: subprocess.Popen[bytes] | None = None
        self._started_seconds = 0.0

    @property
    def age_seconds(self) -> float:
        """Return the time since the process was started."""
        return time.monotonic() - self._started_seconds

    @property
    def is_running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process."""
        self._started_seconds = time.monotonic()
        with self.log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', _MODULE],
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(_SOURCE_DIRECTORY),
                    'DOTTERELHATCH_CONFIG': str(self._settings_path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process; does nothing once it has exited."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signum)

    def reap(self) -> int | None:
        """Return the exit code and drop the process; None while it runs."""
        code = self._process.poll() if self._process else None
        if code is not None:
            self._process = None
        return code

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self.reap()


def _render_settings(
    endpoints: RouterEndpoints, store: str, seeds: list[str]
) -> str:
    seed_list = ', '.join(f'"{seed}"' for seed in seeds)
    return f"""
node-name = "{endpoints.name}"
ip = "{endpoints.ip}"
zone = "{endpoints.zone}"
region = "loopback"
port-range = [{endpoints.ports[4]}, {endpoints.ports[4]}]
seeds = [{seed_list}]
[listen]
front = "{endpoints.caller_address}"
ready = "{endpoints.readiness_address}"
control = "{endpoints.address(2)}"
directory = "{endpoints.directory_address}"
[bounds]
grace-s = 4
ttl_max_s = 1
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 60
quota-window-s = 4
[platform]
address = "{store}"
"""
