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
