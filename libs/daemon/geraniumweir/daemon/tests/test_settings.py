"""Tests that an invalid setting is named with what is accepted."""

import pytest
from geraniumweir.daemon import settings

_GOOD = {
    'HOST_ID': 'entry-1',
    'FAILURE_DOMAIN': 'milano-a',
    'CALLER_ADDRESS': '127.0.0.1:7401',
    'BACKEND_ADDRESS': '127.0.0.1:7402',
    'OPERATOR_ADDRESS': '127.0.0.1:7403',
    'PEER_ADDRESS': '127.0.0.1:7404',
    'RECORDERS': 'entry-1=127.0.0.1:7404',
    'DATA_FOLDER': 'data',
}


def _parse(argv: tuple[str, ...] = (), **changes: str) -> settings.Settings:
    merged = {**_GOOD, **changes}
    env = {f'GERANIUMWEIR_{name}': text for name, text in merged.items()}
    return settings.parse(argv, env)


def test_flag_overrides_variable() -> None:
    """A flag on the command line overrides the environment."""
    cfg = _parse(('--host-id=entry-1', '--region=be-vl'), REGION='nord-ovest')
    assert cfg.region == 'be-vl'
    assert list(cfg.recorders) == ['entry-1']


@pytest.mark.parametrize(
    ('setting', 'text', 'accepted'),
    [
        ('HOST_ID', 'a b', 'letters, digits'),
        ('FAILURE_DOMAIN', '', 'letters, digits'),
        ('CALLER_ADDRESS', 'localhost:80', 'IP:PORT'),
        ('PEERS', '127.0.0.1:1,nowhere', 'IP:PORT'),
        ('RECORDERS', 'entry-1', 'ID=IP:PORT'),
        ('RECORDERS', 'a=127.0.0.1:1,b=127.0.0.1:2', '1, 3, 5 or 7'),
        ('RECORDERS', 'a=127.0.0.1:1,a=127.0.0.1:2', 'twice'),
        ('RECORDERS', 'entry-1=127.0.0.1:9', '--peer-address'),
        ('DATA_FOLDER', ' ', 'path'),
        ('DRAIN_TIMEOUT', '-1', 'from 0 up'),
        ('DRAIN_TIMEOUT', 'nan', 'from 0 up'),
        ('TRACE_SAMPLE', '1.5', 'from 0 to 1'),
        ('LOG_LEVEL', 'loud', 'notice'),
        ('LOG_FORMAT', 'xml', 'json'),
        ('TEST_LINK_DELAY_MS', '-1', 'from 0 to 1000'),
    ],
)
def test_wrong_setting_is_named_on_one_line(
    capsys: pytest.CaptureFixture[str],
    setting: str,
    text: str,
    accepted: str,
) -> None:
    """Status 2, one line: the setting, its value, what is accepted."""
    with pytest.raises(SystemExit) as exited:
        _parse(**{setting: text})
    line = capsys.readouterr().err
    flag = setting.lower().replace('_', '-')
    assert exited.value.code == settings.EXIT_BAD_SETTING
    assert line.count('\n') == 1
    assert f'--{flag}: ' in line
    assert repr(text) in line or text in line
    assert accepted in line


@pytest.mark.parametrize(
    ('changes', 'flag'),
    [
        ({'PEER_ADDRESS': '127.0.0.1:7401'}, '127.0.0.1:7401 is given twice'),
        ({'RECORDERS': '', 'PEERS': '127.0.0.1:1'}, '--peer-address'),
        ({'DATA_FOLDER': None}, '--data-folder'),
    ],
)
def test_contradicting_settings_are_named(
    capsys: pytest.CaptureFixture[str],
    changes: dict[str, str | None],
    flag: str,
) -> None:
    """The message names the setting that contradicts another one."""
    merged = {**_GOOD, **changes}
    if 'PEERS' in changes:
        merged.pop('PEER_ADDRESS')
    env = {
        f'GERANIUMWEIR_{name}': text
        for name, text in merged.items()
        if text is not None
    }
    with pytest.raises(SystemExit) as exited:
        settings.parse((), env)
    assert exited.value.code == settings.EXIT_BAD_SETTING
    assert flag in capsys.readouterr().err


def test_mistyped_variable_is_named(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A mistyped variable must not leave a setting silently unset."""
    with pytest.raises(SystemExit) as exited:
        _parse(RECORDER='entry-1=127.0.0.1:7404')
    line = capsys.readouterr().err
    assert exited.value.code == settings.EXIT_BAD_SETTING
    assert 'GERANIUMWEIR_RECORDER:' in line
    assert line.count('\n') == 1


def test_variables_of_the_operators_tool_are_no_fault() -> None:
    """The daemon and geraniumctl may run in one environment."""
    assert _parse(OUTPUT='json', TIMEOUT='5').host_id == 'entry-1'
