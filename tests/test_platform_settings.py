"""Settings file of the platform: decoding, and reporting of all findings."""

import json
import subprocess
import sys

import pytest

from woadrun import errors
from woadrun.platform import settings
from woadrun.request import held_bytes

GOOD = {
  'node_name': 'front-1',
  'role': 'daemon',
  'ip': '10.1.0.38',
  'zone': 'hall',
  'listen_addrs': {'front': '10.1.0.38:8149', 'ready': '10.1.0.38:8141'},
  'internal_port_range': [7380, 7395],
  'bounds': {'grace_s': 8, 'drain_ms': 2000},
  'platform': {'address': '10.200.1.7:8142', 'row_bytes': 65536},
  'data_dir': None,
}


def load(tmp_path, data):
  path = tmp_path / 'settings.json'
  path.write_text(data if isinstance(data, str) else json.dumps(data))
  return settings.load(path)


def test_valid_file_is_decoded_and_unknown_fields_are_ignored(tmp_path):
  loaded = load(tmp_path, GOOD)
  assert loaded.peers_address == '10.1.0.38:7380'
  assert (loaded.domain, loaded.grace) == ('hall', 8.0)


def test_all_findings_are_reported_together_with_their_keys(tmp_path):
  bad = {
    **GOOD,
    'ip': 'localhost',
    'platform': {'address': 'nowhere'},
    'internal_port_range': [0, 7395],
  }
  del bad['zone']
  with pytest.raises(errors.FindingsError) as caught:
    load(tmp_path, bad)
  keys = [finding.key for finding in caught.value.findings]
  assert keys == ['ip', 'zone', 'internal_port_range[0]', 'platform.address']


@pytest.mark.parametrize('text', ['{', '[]', ''])
def test_file_without_json_object_is_a_finding(tmp_path, text):
  with pytest.raises(errors.FindingsError) as caught:
    load(tmp_path, text)
  assert caught.value.findings[0].key == '(syntax)'


def test_missing_file_is_a_finding(tmp_path):
  with pytest.raises(errors.FindingsError) as caught:
    settings.load(tmp_path / 'none.json')
  assert caught.value.findings[0].key == '(file)'


def test_daemon_does_not_import_libraries_of_other_commands():
  code = (
    'import sys, woadrun.platform.program; '
    'print([m for m in ("pydantic", "cyclopts") if m in sys.modules])'
  )
  result = subprocess.run(
    [sys.executable, '-c', code], capture_output=True, text=True, check=True
  )
  assert result.stdout.strip() == '[]'


@pytest.mark.parametrize(
  ('limits', 'held'), [(None, 2**24), (128, 2**24), (64, 2**23)]
)
def test_memory_limit_bounds_the_bytes_held_for_slow_callers(
  tmp_path, limits, held
):
  data = {**GOOD, 'limits': {'memory_mb': limits}} if limits else GOOD
  memory_mb = load(tmp_path, data).memory_mb
  assert held_bytes.get_max_held_bytes(memory_mb) == held
