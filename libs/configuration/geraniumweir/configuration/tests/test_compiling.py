"""Differential tests of the compiled rules and of covering."""

import dataclasses

import hypothesis
from geraniumweir.configuration import (
    compiling,
    covering,
    document,
    explain,
    matching,
)
from hypothesis import strategies

_NAMES = strategies.sampled_from(('a', 'b', 'c'))
_PATHS = strategies.sampled_from(
    ('/v1/a', '/v1/b', '/v1/', '/services/p/x', '/', '/v1/a\n', ''),
)
_GLOBS = strategies.sampled_from(
    ('/v1/*', '*', '/v1/a', '/v1/[ab]', '/v1/[!a]', '/*/a', '/v1/?', '/s*/p/*'),
)
_COUNTS = strategies.integers(0, 3)
_HEADERS = strategies.dictionaries(_NAMES, _NAMES, max_size=2)
_WHENS = strategies.builds(
    document.When,
    customer=strategies.lists(_NAMES, max_size=2).map(tuple),
    path=strategies.none() | _GLOBS,
    model=strategies.none() | _NAMES,
    header=_HEADERS,
    min_tokens=strategies.none() | _COUNTS,
    max_tokens=strategies.none() | _COUNTS,
    idempotent=strategies.none() | strategies.booleans(),
    failure_domain=strategies.lists(_NAMES, max_size=2).map(tuple),
)
_FACTS = strategies.builds(
    matching.Facts,
    customer=_NAMES | strategies.just('stranger'),
    path=_PATHS,
    failure_domain=_NAMES,
    model=strategies.none() | _NAMES | strategies.just('unknown'),
    headers=_HEADERS,
    prompt_tokens=_COUNTS,
    idempotent=strategies.booleans(),
)
_FIELDS = [field.name for field in dataclasses.fields(document.When)]
_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
)


def _rules(whens: list[document.When]) -> tuple[document.Rule, ...]:
    return tuple(
        document.Rule(f'r{number}', when, document.Refuse('no'))
        for number, when in enumerate(whens)
    )


@_SETTINGS
@hypothesis.given(
    strategies.lists(_WHENS, max_size=8),
    strategies.lists(_FACTS, min_size=1, max_size=8),
)
def test_compiled_rules_decide_like_the_plain_ones(
    whens: list[document.When],
    requests: list[matching.Facts],
) -> None:
    """The fast matcher, the plain one and the explanation agree."""
    doc = document.Document(rules=_rules(whens))
    compiled = compiling.CompiledDocument(doc)
    for facts in requests:
        expected = matching.first_match(doc.rules, facts)
        assert compiled.first_match(facts) is expected
        told = explain.explain(document.InForce(1, doc), facts)
        assert told.rule is expected
        place = len(doc.rules) if expected is None else expected.name[1:]
        assert len(told.passed) == int(place)


@_SETTINGS
@hypothesis.given(
    _WHENS,
    _WHENS,
    strategies.sets(strategies.sampled_from(_FIELDS), max_size=2),
    strategies.lists(_FACTS, max_size=10),
)
def test_covering_is_never_wrong(
    one: document.When,
    source: document.When,
    changed: set[str],
    requests: list[matching.Facts],
) -> None:
    """What a covered condition takes, the covering one takes too."""
    taken = {field: getattr(source, field) for field in changed}
    other = dataclasses.replace(one, **taken)
    is_covered = covering.covers(one, other)
    hypothesis.event(f'covered: {is_covered}')
    for facts in requests:
        if is_covered and matching.mismatch(other, facts) is None:
            assert matching.mismatch(one, facts) is None


def test_explanation_shows_what_differed() -> None:
    """The first field that isn't met is shown with both sides."""
    doc = document.Document(rules=_rules([document.When(max_tokens=5)]))
    facts = explain.facts_from_json(
        {'customer': 'a', 'prompt_tokens': 6},
        'milano-a',
    )
    told = explain.explain(document.InForce(3, doc), facts).as_json()
    assert told['passed'] == [
        {
            'rule': 'r0',
            'field': 'prompt_tokens',
            'wanted': {'min': None, 'max': 5},
            'got': 6,
        },
    ]
