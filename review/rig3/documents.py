"""The operator's document, as the pages show it."""

ENGINES = 'lm-advisori'
PLAIN = 'sportello-app'
HOST = 'ficu95.example'
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4194304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


def route(name, prefix, kind, service, **more):
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': 10000,
        'targetLatencyMs': 600,
        'priority': 0,
        'service': service,
        'maxAttempts': 1,
        'public': False,
        'stickySessions': kind == 'streaming',
        'streamResume': False,
        **({'gapTargetMs': 250} if kind == 'streaming' else {}),
        **more,
    }


def tenant(name, rate=0, burst=0, **more):
    return {
        'name': name,
        'apiKeys': [f'key-of-{name}'],
        'priority': 1,
        'unit': 'token_count',
        'plainTokens': 200,
        'ratePerS': rate,
        'burst': burst,
        **more,
    }


def document(
    version=1, tenants=('t1', 't2', 't3', 't4', 't5'), routes=None, slots=10
):
    return {
        'version': version,
        'routes': routes
        if routes is not None
        else [
            route('review', '/review/', 'streaming', ENGINES),
            route(
                'essay',
                '/essay/',
                'streaming',
                ENGINES,
                streamResume=True,
                maxAttempts=2,
            ),
            route(
                'book',
                '/book/',
                'non_idempotent',
                PLAIN,
                timeoutMs=1500,
                targetLatencyMs=150,
            ),
            route(
                'status',
                '/status/',
                'idempotent',
                PLAIN,
                timeoutMs=1500,
                targetLatencyMs=150,
                maxAttempts=2,
            ),
        ],
        'services': [
            {
                'name': ENGINES,
                'healthPath': '/health',
                'maxConnections': 360,
                'protocol': 'h1',
                'tls': False,
                'engine': {
                    'slots': slots,
                    'kvCapacityTokens': 600076,
                    'kvTokenBytes': 35136,
                    'linkMbps': 1100000.0,
                    'moves': True,
                    'backups': True,
                    'stride': 6,
                    'most': 12,
                    'pinMs': 4000.0,
                    'holdMs': 2000.0,
                    'handleS': 5.0,
                    'models': [{'name': 'm'}],
                },
            },
            {
                'name': PLAIN,
                'healthPath': '/health',
                'maxConnections': 96,
                'protocol': 'h1',
                'tls': False,
            },
        ],
        'limits': LIMITS,
        'tenants': [
            one if isinstance(one, dict) else tenant(one) for one in tenants
        ],
    }
