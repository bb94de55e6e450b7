"""Tests of the command line, settings, examples and documentation."""

import importlib.util
import json
import pathlib
import re
import sys

import pytest

from woadrun import errors
from woadrun import settings
from woadrun.cli import app
from woadrun.model import workload
from woadrun.version import rows

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLES = ROOT / 'examples'


def load_tool(name):
  path = ROOT / 'tools' / f'{name}.py'
  spec = importlib.util.spec_from_file_location(name, path)
  module = importlib.util.module_from_spec(spec)
  spec.loader.exec_module(module)
  return module


@pytest.mark.parametrize('site', ['consortium', 'tuilagi'])
def test_examples_load(site):
  checked = settings.load(EXAMPLES / f'{site}.toml')
  file = EXAMPLES / f'{site}.csv'
  table = rows.from_csv(file.read_text(), file=str(file))
  experiment = workload.load(EXAMPLES / f'{site}-experiment.toml')
  teams = {t for c in checked.security.callers for t in c.teams}
  assert teams == {key.split('/')[0] for key in table}
  assert {k.row for k in experiment.kinds} <= set(table)


def test_reference_matches_code():
  expected = load_tool('reference').make_reference()
  assert (ROOT / 'docs' / 'reference.md').read_text() == expected


def test_links_between_pages_resolve():
  pages = [ROOT / 'README.md', *(ROOT / 'docs').rglob('*.md')]
  for page in pages:
    for target in re.findall(r'\]\(([^)#:]+)\)', page.read_text()):
      assert (page.parent / target).exists(), f'{page}: {target}'


def test_all_errors_in_settings_are_reported_together(tmp_path, capsys):
  path = tmp_path / 'bad.toml'
  path.write_text(
    '[daemon]\naddress = "here:80"\ndomain = "north"\nregion_domains = []\n'
    '[platform]\ntable = "ftp://x"\nobjects = "http://x"\nvms = "http://x"\n'
    'speed = 3\n[security]\npeer_key = "short"\n[limits]\nprograms = 0\n'
    '[[engines]]\nname = "e"\nurl = "http://e"\ndomain = "north"\nslots = 0\n'
  )
  assert app.run(['config', 'check', str(path)]) == app.ExitCode.USAGE
  printed = capsys.readouterr().err
  for key in (
    'daemon.address', 'daemon.region_domains', 'platform.table',
    'platform.speed', 'security.peer_key', 'limits.programs',
    'engines.0.slots', 'engines.0.models',
  ):  # fmt: skip
    assert f'{path}: {key}: ' in printed
  assert app.run(['serve', '--config', str(path)]) == app.ExitCode.USAGE


@pytest.mark.parametrize(
  ('text', 'key'), [(None, '(file)'), ('[daemon', '(syntax)')]
)
def test_unreadable_settings_are_reported(tmp_path, capsys, text, key):
  path = tmp_path / 'x.toml'
  if text is not None:
    path.write_text(text)
  assert app.run(['config', 'check', str(path)]) == app.ExitCode.USAGE
  assert f'{path}: {key}: ' in capsys.readouterr().err


def test_errors_in_a_csv_file_are_reported_with_line_numbers():
  text = 'key,weight\nriders,4\ncrews,-1\n,2\nriders,1\n'
  with pytest.raises(errors.FindingsError) as caught:
    rows.from_csv(text, file='t.csv')
  keys = [finding.key for finding in caught.value.findings]
  assert keys == ['line 3, weight', 'line 4, key', 'line 5']


def test_exit_codes(capsys):
  assert app.run(['no-such-command']) == app.ExitCode.USAGE
  nobody = ['--address', '127.0.0.1:1', '--token', 'nobodys-token']
  assert app.run(['dump', *nobody]) == app.ExitCode.UNREACHABLE
  assert 'No answer' in capsys.readouterr().err
  assert (
    app.run(['table', 'edit', 'no-file', *nobody]) == app.ExitCode.UNREACHABLE
  )


def test_demo_serves_all_programs(capsys):
  arguments = ['demo', '--daemons', '2', '--programs', '3', '--json']
  assert app.run(arguments) == app.ExitCode.OK
  seconds = json.loads(capsys.readouterr().out)
  assert {len(s) for s in seconds.values()} == {3} and len(seconds) == 3


def test_table_commands(capsys, tmp_path, monkeypatch):
  """Show, set, edit, history and status against a running daemon."""
  import asyncio
  import threading

  import fleet as fleets

  started, stop = threading.Event(), threading.Event()
  daemon_info = {}

  async def serve():
    async with fleets.make_fleet(tmp_path, 'n') as fleet:
      daemon_info['address'] = fleet.nodes[0].listen
      started.set()
      await asyncio.to_thread(stop.wait)

  thread = threading.Thread(target=lambda: asyncio.run(serve()))
  thread.start()
  try:
    assert started.wait(60)
    monkeypatch.setenv('WOADRUN_ADDRESS', daemon_info['address'])
    monkeypatch.setenv('WOADRUN_TOKEN', fleets.local.OPERATOR_TOKEN)
    assert app.run(['table', 'set', 'riders', 'weight=4']) == 0
    assert app.run(['table', 'show']) == 0
    shown = capsys.readouterr().out.split('accepted.\n')[1]
    assert rows.from_csv(shown, file='x')['riders'].weight == 4.0
    base = tmp_path / 'base.csv'
    base.write_text(shown)
    new = tmp_path / 'new.csv'
    new.write_text(shown.replace('riders,4.0', 'riders,8.0'))
    assert app.run(['table', 'edit', str(new), '--base', str(base)]) == 0
    assert (
      app.run(['table', 'set', 'riders', 'weight=-4']) == app.ExitCode.USAGE
    )
    other = tmp_path / 'other.csv'
    other.write_text(shown.replace('riders,4.0', 'riders,9.0'))
    code = app.run(['table', 'edit', str(other), '--base', str(base)])
    assert code == app.ExitCode.REFUSED
    assert 'table_conflict (riders)' in capsys.readouterr().err
    assert app.run(['table', 'history']) == 0
    assert app.run(['table', 'status']) == 0
    assert app.run(['table', 'get', 'riders']) == 0
    assert app.run(['table', 'get', 'nobody']) == app.ExitCode.REFUSED
    assert app.run(['top', '--rounds', '1']) == 0
    out = capsys.readouterr().out
    assert 'weight          8.0' in out and daemon_info['address'].split(':')[0]
    assert app.run(['dump', '--json']) == 0
    assert json.loads(capsys.readouterr().out)['configuration']['version'] == 3
  finally:
    stop.set()
    thread.join(30)


def test_python_version_is_supported():
  assert sys.version_info >= (3, 11)
