"""Runs an experiment and summarizes its results as a table."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import statistics

from woadrun import errors
from woadrun.model import policies
from woadrun.model import simulation
from woadrun.model import workload


@dataclasses.dataclass(frozen=True, kw_only=True)
class Line:
  """Results of one policy in one scenario, over all seeds.

  Latencies are in seconds; `spread` is the standard deviation of the mean
  latency over the seeds.  `gone` and `unused` are wasted cache memory,
  `useful` is used cache memory, all in millions of token-seconds.  `goodput`
  is the work of programs that met their deadline, as the mean number of
  slots that it occupies.
  """

  scenario: str
  policy: str
  programs: int
  mean: float
  spread: float
  p50: float
  p95: float
  p99: float
  gone: float
  unused: float
  useful: float
  refusals: int
  failed: int
  goodput: float
  fairness: float


def run(experiment: workload.Experiment) -> Iterator[Line]:
  """Yields a line for each scenario and policy.

  Raises `FindingsError` where the experiment names an unknown policy.
  """
  unknown = set(experiment.policies) - policies.POLICY_BY_NAME.keys()
  if unknown:
    known = ', '.join(policies.POLICY_BY_NAME)
    finding = errors.Finding(
      file=experiment.name,
      key='policies',
      reason=f'unknown policies: {", ".join(sorted(unknown))}; '
      f'known policies: {known}',
    )
    raise errors.FindingsError([finding])
  for scenario in experiment.scenarios:
    for name in experiment.policies:
      results = [
        simulation.Simulation(
          experiment=experiment,
          scenario=scenario,
          policy=policies.POLICY_BY_NAME[name],
          seed=seed,
        ).run()
        for seed in range(experiment.seeds)
      ]
      yield summarize(experiment, scenario.name, name, results)


def summarize(
  experiment: workload.Experiment,
  scenario: str,
  policy: str,
  results: Sequence[simulation.Result],
) -> Line:
  """Returns the line for the runs of a policy in a scenario."""
  latencies = sorted(x for result in results for x in result.latencies)
  means = [statistics.fmean(r.latencies) for r in results if r.latencies]
  count = len(results)
  return Line(
    scenario=scenario,
    policy=policy,
    programs=len(latencies),
    mean=statistics.fmean(means),
    spread=statistics.stdev(means) if len(means) > 1 else 0.0,
    p50=get_quantile(latencies, 0.5),
    p95=get_quantile(latencies, 0.95),
    p99=get_quantile(latencies, 0.99),
    gone=sum(r.waste.gone for r in results) / count / 1e6,
    unused=sum(r.waste.unused for r in results) / count / 1e6,
    useful=sum(r.waste.useful for r in results) / count / 1e6,
    refusals=sum(r.refusals for r in results) // count,
    failed=sum(r.late + r.abandoned for r in results) // count,
    goodput=sum(r.good_seconds for r in results) / count / experiment.seconds,
    fairness=min(r.fairness for r in results),
  )


def get_quantile(ordered: Sequence[float], fraction: float) -> float:
  """Returns the quantile at `fraction` of values in ascending order."""
  return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]


def format_cells(line: Line) -> list[object]:
  """Returns the cells of a line as text, in the order of the heading."""
  return [
    f'{value:.2f}' if isinstance(value, float) else str(value)
    for value in dataclasses.astuple(line)
  ]


def get_heading() -> list[object]:
  """Returns the names of the columns, which are the fields of `Line`."""
  return [field.name for field in dataclasses.fields(Line)]
