"""A large manifest is sent; after it no manifest is accepted any more."""

import asyncio
import json
import pathlib
import secrets
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import rig as rigs  # noqa: E402

TENANTS = 1400
# With 86 keys of 32 characters each the manifest has 4.5 MB.
KEYS = 86 if rigs.TROUBLE else 1
ACK_SECONDS = rigs.BOUNDS['ackMs'] / 1000
SECONDS_PER_ROUTE = 0.003
WATCH_SECONDS = 30


def large_manifest(version):
    found = rigs.manifest(version)
    for number in range(TENANTS):
        found['tenants'].append(
            {
                'name': f'customer-{number}',
                'apiKeys': [secrets.token_hex(16) for _ in range(KEYS)],
                'priority': 1,
                'unit': 'token_count',
                'plainTokens': 200,
                'ratePerS': 0,
                'burst': 0,
            }
        )
    return found


async def publish(rig, found, seconds):
    """Send a manifest as the operator does; return the seconds until its ack, or None."""
    body = json.dumps(found).encode()
    started = time.monotonic()
    rig.record(f'operator: version {found["version"]} has {len(body)} bytes')
    try:
        got = await rig.publish(body, seconds)
    except rigs.UnableError:
        return None
    return time.monotonic() - started if got.status == 200 else None


async def case(rig):
    rig.servers.extend(rigs.Server(zone=zone) for zone in rigs.ZONES)
    await rig.start(rigs.manifest(1))
    # Longer than contactMs: the core is stable from here on.
    await asyncio.sleep(3)
    took = await publish(rig, large_manifest(2), ACK_SECONDS)
    rig.record(f'operator: version 2 acknowledged after {took} s')
    await asyncio.sleep(3)
    later = rigs.manifest(3)
    later['routes'].append(
        rigs.route('r-new', '/new/', 'idempotent', rigs.PLAIN)
    )
    took = await publish(rig, later, WATCH_SECONDS)
    rig.record(f'operator: version 3 acknowledged after {took} s')
    for node in rig.cores:
        rig.record(f'platform: {node.name} runs: {node.lives}')
    for address in rig.control:
        got = await rigs.call(address, 'GET', '/v1/config', {}, seconds=3)
        version = (
            json.loads(got.body).get('version') if got.status == 200 else None
        )
        rig.record(
            f'operator: GET /v1/config at {address}: {got.status}, version {version}'
        )
    _, got = await rig.send(
        rig.fronts[0], 'POST', '/new/x', {}, b'x', seconds=1.5
    )
    rig.record(f'a request on the route of version 3 got {got and got.status}')
    allowed = ACK_SECONDS + SECONDS_PER_ROUTE * len(later['routes'])
    if took is None or took > allowed:
        rig.record(
            f'Acks: version 3, a valid manifest, has no ack after {allowed} s in a stable core'
        )
        return rigs.BROKEN
    return rigs.HELD


if __name__ == '__main__':
    rigs.main(FOLDER, case)
