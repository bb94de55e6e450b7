"""`woadrun experiment`: simulates policies under given workloads."""

from __future__ import annotations

import dataclasses
import pathlib
import sys

import msgspec

from woadrun.cli import operator
from woadrun.model import report
from woadrun.model import workload


def experiment(
  file: pathlib.Path,
  *,
  scenario: list[str] | None = None,
  policy: list[str] | None = None,
  seeds: int = 0,
  json: bool = False,
) -> None:
  """Compares scheduling policies in simulation and prints one table.

  Parameters
  ----------
  file
    Site, workload, scenarios and policies in TOML; see examples/.
  scenario
    Run only these scenarios.
  policy
    Run only these policies.
  seeds
    Number of runs of each scenario and policy, each with its own random
    seed; 0 uses the number in the file.
  json
    Print JSON lines instead of a table.
  """
  loaded = workload.load(file)
  scenarios = [
    s for s in loaded.scenarios if not scenario or s.name in scenario
  ]
  chosen = loaded.model_copy(
    update={
      'scenarios': scenarios,
      'policies': policy or loaded.policies,
      'seeds': seeds or loaded.seeds,
    }
  )
  lines: list[report.Line] = []
  for line in report.run(chosen):
    if json:
      print(msgspec.json.encode(dataclasses.asdict(line)).decode())
    elif sys.stderr.isatty():
      print(
        f'Scenario {line.scenario}, policy {line.policy}: finished.',
        file=sys.stderr,
      )
    lines.append(line)
  if not json:
    operator.print_columns(
      [report.get_heading(), *(report.format_cells(line) for line in lines)]
    )
