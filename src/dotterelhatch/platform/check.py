"""Validates a settings file: ``python -m dotterelhatch.platform.check``."""

import json
from pathlib import Path
from typing import Annotated

import typer

from dotterelhatch.errors import DotterelhatchError
from dotterelhatch.platform.settings import load_settings

__all__ = ('main',)


def main(
    path: Annotated[Path, typer.Argument(help='Settings file to check.')],
    as_json: Annotated[
        bool, typer.Option('--json', help='Print JSON.')
    ] = False,
) -> None:
    """Print the settings that a process takes from a file, or its errors.

    Exit code 0 if the file is valid, 19 if not.
    """
    try:
        settings = load_settings(path).gateway
    except DotterelhatchError as error:
        problems = error.detail.split('; ')
        typer.echo(
            json.dumps({'problems': problems})
            if as_json
            else '\n'.join(problems),
            err=not as_json,
        )
        raise typer.Exit(error.spec.exit_code) from error
    document = settings.model_dump(mode='json')
    typer.echo(
        json.dumps(document)
        if as_json
        else '\n'.join(f'{name}: {entry}' for name, entry in document.items())
    )


if __name__ == '__main__':
    typer.run(main)
