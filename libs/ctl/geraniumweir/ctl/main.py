"""Reads the command line and runs one command."""

import asyncio
import pathlib
import sys
import typing
import uuid

import aiohttp
import configargparse
from geraniumweir.configuration import errors, reading
from geraniumweir.ctl import client

VERSION = '0.1.0'
EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_ARGUMENT = 2
EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4


def main(argv: typing.Sequence[str] | None = None) -> None:
    """Run one command and exit with its status.

    :param argv: arguments, by default those of the process.
    """
    opts = _parser().parse_args(argv)
    sys.exit(_run(opts))


def _run(opts: typing.Any) -> int:
    try:
        return asyncio.run(opts.command(opts))
    except client.RefusedError as exc:
        sys.stderr.write(f'geraniumctl: {exc}\n')
        return EXIT_REFUSED
    except aiohttp.ClientError as exc:
        sys.stderr.write(f'geraniumctl: {exc}\n')
        return EXIT_UNREACHABLE
    except (OSError, errors.DocumentError) as exc:
        sys.stderr.write(f'geraniumctl: {exc}\n')
        return EXIT_FAILED


async def _check(opts: typing.Any) -> int:
    doc = reading.read(pathlib.Path(opts.file).read_text())
    print(f'{opts.file}: {len(doc.rules)} rules, no fault')
    return EXIT_DONE


async def _apply(opts: typing.Any) -> int:
    text = pathlib.Path(opts.file).read_text()
    change_id = opts.change_id or uuid.uuid4().hex
    version = await client.put_config(
        opts.operator_address,
        client.Change(opts.base, change_id, text),
    )
    print(f'version {version}')
    return EXIT_DONE


async def _show(opts: typing.Any) -> int:
    in_force = await client.get_config(opts.operator_address)
    print(f'# version {in_force["version"]}')
    print(in_force['document'])
    return EXIT_DONE


def _parser() -> configargparse.ArgumentParser:
    parser = configargparse.ArgumentParser(
        prog='geraniumctl',
        description='Operates a geraniumweir system.',
        auto_env_var_prefix='GERANIUMWEIR_',
        add_config_file_help=False,
    )
    parser.add_argument(
        '--version', action='version', version=f'geraniumctl {VERSION}'
    )
    parser.add_argument(
        '--operator-address',
        default='127.0.0.1:7403',
        help='IP:PORT of an entry host',
    )
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    check = commands.add_parser('check', help='check a configuration file')
    check.add_argument('file')
    check.set_defaults(command=_check)
    apply = commands.add_parser('apply', help='put a file in force')
    apply.add_argument('file')
    apply.add_argument('--base', type=int, required=True)
    apply.add_argument('--change-id')
    apply.set_defaults(command=_apply)
    show = commands.add_parser('show', help='show what is in force')
    show.set_defaults(command=_show)
    return parser
