"""`woadrun explain` finds the log lines that explain a request."""

import json

from woadrun.cli import explain

TURN, PARENT = '0123456789abcdef', 'fedcba9876543210'


def write_log(path, *lines):
  path.write_text(
    ''.join(
      json.dumps(
        {
          'time': f'2026-01-01 00:00:{at:06.3f}'.replace('.', ','),
          'level': 'INFO',
          'part': f'woadrun.{part}',
          'message': message,
        }
      )
      + '\n'
      for at, part, message in lines
    )
  )
  return path


def test_includes_related_turns_and_known_state_of_all_daemons(
  tmp_path, capsys
):
  one = write_log(
    tmp_path / 'one.log',
    (1.0, 'store', 'The store serves this VM.'),
    (8.0, 'store', 'The store does not serve this VM: no answer.'),
    (9.0, 'ingress', f'Request {TURN}: refused, turn {PARENT} is not found.'),
    (9.1, 'store', 'The store serves this VM.'),
  )
  two = write_log(
    tmp_path / 'two.log',
    (5.0, 'serving', f'Turn {PARENT} of p is kept: 1 events, 3 tokens.'),
    (8.5, 'store', 'The store does not serve this VM: no answer.'),
  )
  assert explain.explain(TURN, one, two) == 0
  printed = capsys.readouterr().out.splitlines()
  assert [line.split()[:2] for line in printed] == [
    ['5.000', 'two'],
    ['8.000', 'one'],
    ['9.000', 'one'],
  ]


def test_reports_an_id_that_no_line_names(tmp_path, capsys):
  log = write_log(tmp_path / 'one.log', (1.0, 'store', 'x'))
  log.write_text(log.read_text() + 'no JSON\n{broken\n')
  assert explain.explain(TURN, log) == 1
  assert 'No log line names' in capsys.readouterr().out


def test_a_refused_request_leads_to_the_tries_that_ended_instances(
  tmp_path, capsys
):
  fingerprint = 'ad76f5463e55f76e'
  one = write_log(
    tmp_path / 'one.log',
    (
      1.0,
      'attempts',
      f'Request {PARENT} at i-1 (north, 4000 ms left): no reply after 52 ms, '
      f'beside 3 other requests of this daemon (incarnation i-1, fingerprint '
      f'{fingerprint}): Server disconnected.',
    ),
    (
      1.1,
      'crashes',
      f'Instance i-1 ended while running request fingerprint {fingerprint}: '
      '1 of 3 instances.',
    ),
    (1.2, 'attempts', 'Request 00000000000000aa at i-1: answers 200.'),
  )
  two = write_log(
    tmp_path / 'two.log',
    (
      2.0,
      'serving',
      f'Request {TURN}: request_quarantined after 0 ms (3 instances ended '
      f'while they ran this request (fingerprint {fingerprint}): i-1.).',
    ),
  )
  assert explain.explain(TURN, one, two) == 0
  printed = capsys.readouterr().out.splitlines()
  assert [line.split()[:2] for line in printed] == [
    ['1.000', 'one'],
    ['1.100', 'one'],
    ['2.000', 'two'],
  ]
