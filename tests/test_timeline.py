"""`woadrun timeline` charts when a program's requests ran."""

import logging

from woadrun.cli import timeline
from woadrun.process import logs


def write_log(path, *records):
  """Writes (seconds, message, request, line) records as a daemon logs them."""
  formatter = logs.JsonFormatter()
  lines = []
  for at, message, request, line in records:
    record = logging.makeLogRecord(
      {
        'name': 'woadrun.serving',
        'levelname': 'INFO',
        'msg': message,
        'created': at,
        'msecs': at % 1 * 1000,
        'request': request,
        'program': 'p1',
        'line': line,
        'kind': 'stream',
      }
    )
    lines.append(formatter.format(record))
  path.write_text('\n'.join(lines) + '\n')
  return path


def test_charts_requests_of_all_daemons_in_order(tmp_path, capsys):
  one = write_log(
    tmp_path / 'one.log',
    (10.2, 'Request a at e1 (north, 900 ms left): answers 200.', 'a', 'x'),
    (11.0, 'Request a: 2xx after 1000 ms.', 'a', 'x'),
  )
  two = write_log(
    tmp_path / 'two.log',
    (14.0, 'Request c: timeout after 1000 ms (too late).', 'c', 'x'),
    (12.0, 'Request b: 2xx after 500 ms.', 'b', 'y'),
  )
  assert timeline.timeline('p1', one, two) == 0
  rows = capsys.readouterr().out.splitlines()
  starts = [row.split()[0] for row in rows if row[:8].strip()]
  assert starts == ['0.000', '1.500', '3.000']
  assert 'e1 in north: answers 200' in rows[1]
  assert 'timeout (too late)' in rows[3]
  assert [rows[n].count('=') for n in (0, 2, 3)] == [15, 8, 15]


def test_reports_a_program_without_requests(tmp_path, capsys):
  log = write_log(
    tmp_path / 'one.log', (1.0, 'Request a: 2xx after 1 ms.', 'a', '')
  )
  assert timeline.timeline('other', log) == 1
  assert 'No finished request of program other in' in capsys.readouterr().out
