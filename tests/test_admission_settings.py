import dataclasses
import pathlib
import subprocess
import sys

import pytest

from woadrun import errors
from woadrun.decisions import admission_policy
from woadrun.decisions import program_admission
from woadrun.process import admission_settings

EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples' / 'admission.toml'


def load(tmp_path, text):
  path = tmp_path / 'admission.toml'
  path.write_text(text, encoding='utf-8')
  return admission_settings.load(path)


def test_example_has_all_settings_with_their_defaults():
  assert admission_settings.load(EXAMPLE) == admission_policy.DEFAULT
  text = EXAMPLE.read_text(encoding='utf-8')
  for field in dataclasses.fields(admission_policy.AdmissionPolicy):
    assert f'\n{field.name} = ' in text


@pytest.mark.parametrize('text', ['', '[admission]\n'])
def test_settings_that_are_not_given_have_their_defaults(tmp_path, text):
  assert load(tmp_path, text) == admission_policy.DEFAULT


def test_whole_numbers_are_numbers(tmp_path):
  found = load(tmp_path, '[admission]\nusable_slots = 1\nidle_seconds = 3')
  assert (found.usable_slots, found.idle_seconds) == (1.0, 3.0)
  assert found.least_part == admission_policy.DEFAULT.least_part


def test_all_findings_are_told_at_once(tmp_path):
  with pytest.raises(errors.FindingsError) as caught:
    load(
      tmp_path,
      'other = 1\n[admission]\nleast_part = 1.5\nidle_seconds = 0\n'
      'usable_slots = "all"\nunknown = 1\n',
    )
  keys = [finding.key for finding in caught.value.findings]
  assert sorted(keys) == [
    'admission.idle_seconds',
    'admission.least_part',
    'admission.unknown',
    'admission.usable_slots',
    'other',
  ]


@pytest.mark.parametrize(
  ('data', 'key'),
  [
    (b'admission = 1', 'admission'),
    (b'[admission', '(syntax)'),
    (b'\xff', '(syntax)'),
    (b'[admission]\nleast_part = nan', 'admission.least_part'),
  ],
)
def test_files_that_are_no_settings_are_findings(tmp_path, data, key):
  path = tmp_path / 'admission.toml'
  path.write_bytes(data)
  with pytest.raises(errors.FindingsError) as caught:
    admission_settings.load(path)
  assert [finding.key for finding in caught.value.findings] == [key]


def test_missing_file_is_a_finding(tmp_path):
  with pytest.raises(errors.FindingsError, match='No such file'):
    admission_settings.load(tmp_path / 'missing.toml')


def test_daemon_with_invalid_settings_does_not_start(tmp_path):
  path = tmp_path / 'admission.toml'
  path.write_text('[admission]\nleast_part = 2', encoding='utf-8')
  settings = tmp_path / 'settings.json'
  settings.write_text(
    '{"node_name": "n", "ip": "127.0.0.1", "zone": "z",'
    ' "listen_addrs": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},'
    ' "internal_port_range": [3, 4], "platform": {"address": "127.0.0.1:5"}}',
    encoding='utf-8',
  )
  done = subprocess.run(
    [sys.executable, '-m', 'woadrun.platform', str(path)],
    env={'WOADRUN_CONFIG': str(settings)},
    capture_output=True,
    text=True,
    timeout=60,
    check=False,
  )
  assert done.returncode == 2
  assert 'admission.least_part' in done.stderr


def test_least_part_decides_what_a_less_urgent_priority_gets():
  asked = {
    program_admission.ClassKey(priority, program_admission.IN_TIME, 'red'): 50.0
    for priority in (0, 2)
  }
  state = program_admission.ServiceState(
    slots=100,
    running=0,
    programs=85,
    ended_per_second=0.0,
    asked_per_second=asked,
    turns_per_program=1.0,
    seconds_per_program=8.5,
  )
  for part in (0.25, 0.5):
    plan = program_admission.make_plan(
      state,
      weight_by_team={'red': 1.0},
      policy=admission_policy.AdmissionPolicy(least_part=part),
    )
    least = min(plan.fraction_by_class.values())
    assert least == pytest.approx(part * plan.budget / 100)
