"""Generates the protobuf and gRPC modules of the exchange between routers."""

import pathlib
import sys
from importlib import resources

from grpc_tools import protoc

__all__ = ('main',)

_WIRE_DIRECTORY = (
    pathlib.Path(__file__).parent.parent / 'src' / 'dotterelhatch' / 'wire'
)


def main() -> None:
    """Write the generated modules next to the proto file."""
    include_directory = resources.files('grpc_tools') / '_proto'
    exit_code = protoc.main(
        [
            'protoc',
            f'--proto_path={_WIRE_DIRECTORY}',
            f'--proto_path={include_directory}',
            f'--python_out={_WIRE_DIRECTORY}',
            f'--pyi_out={_WIRE_DIRECTORY}',
            f'--grpc_python_out={_WIRE_DIRECTORY}',
            'exchange.proto',
        ]
    )
    if exit_code:
        sys.exit(exit_code)
    _make_import_absolute(_WIRE_DIRECTORY / 'exchange_pb2_grpc.py')


def _make_import_absolute(path: pathlib.Path) -> None:
    # protoc generates an import relative to the proto path, not to the package.
    text = path.read_text()
    generated_import = 'import exchange_pb2 as'
    if generated_import not in text:
        sys.exit(f"{path.name}: no line contains 'import exchange_pb2 as'")
    path.write_text(
        text.replace(
            generated_import, 'from dotterelhatch.wire import exchange_pb2 as'
        )
    )


if __name__ == '__main__':
    main()
