"""Experiment files and the random workloads drawn from them.

Times are in seconds, sizes in tokens.  A workload depends on the seed alone,
so all policies of an experiment run the same programs.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import math
import pathlib
import random
import tomllib
from typing import Any

import pydantic

from woadrun import errors
from woadrun import settings

# A hung tool ends after this long, at the time limit of the row.
TOOL_TIMEOUT_SECONDS = 30.0
MAX_AGENTS = 3


class Kind(settings.Section):
  """A row of the operators' table and the programs that run under it.

  The number of model calls of a program has a log-normal distribution with
  median `turns` and standard deviation `spread` of its logarithm.  Each call
  has `prompt` new tokens (the first one `first_prompt`) and `output`
  generated tokens at the median, and is followed by a pause with the mean
  `pause`.
  """

  row: str
  weight: float = pydantic.Field(1.0, gt=0)
  per_second: float = pydantic.Field(gt=0)
  turns: float = pydantic.Field(gt=0)
  spread: float = pydantic.Field(0.8, ge=0)
  first_prompt: int = pydantic.Field(800, ge=1)
  prompt: int = pydantic.Field(150, ge=1)
  output: int = pydantic.Field(120, ge=1)
  pause: float = pydantic.Field(2.0, ge=0)
  agents: float = pydantic.Field(0.1, ge=0, le=1)
  deadline: float = pydantic.Field(600.0, gt=0)
  max_calls: int = pydantic.Field(80, ge=1)


class Scenario(settings.Section):
  """The load and the faults of a run.

  Between `surge_from` and `surge_until` the arrival rate is multiplied by
  `factor`.  Between `fault_from` and `fault_until` the engine with the index
  `engine` fails, or is slowed down by `slowdown` if that is over 1, and the
  failure domain with the index `domain` is cut off from the others; -1 means
  none.  `loops` and `hangs` are the probabilities that a program runs until
  the limit of its calls, and that a tool hangs after a call.
  """

  name: str
  factor: float = 1.0
  surge_from: float = 0.0
  surge_until: float = 0.0
  loops: float = pydantic.Field(0.0, ge=0, le=1)
  hangs: float = pydantic.Field(0.0, ge=0, le=1)
  engine: int = -1
  slowdown: float = 1.0
  fault_from: float = 0.0
  fault_until: float = 0.0
  domain: int = -1


class Site(settings.Section):
  """The failure domains, engines and daemons of a site."""

  domains: int = pydantic.Field(ge=1)
  engines: int = pydantic.Field(ge=1)
  slots: int = pydantic.Field(8, ge=1)
  cache_tokens: int = pydantic.Field(120_000, ge=1)
  prefill_rate: float = pydantic.Field(4000.0, gt=0)
  token_seconds: float = pydantic.Field(0.02, gt=0)
  daemons: int = pydantic.Field(4, ge=1)


class Experiment(settings.Section):
  """An experiment: one site, its kinds of programs, scenarios and policies."""

  name: str
  seconds: float = pydantic.Field(600.0, gt=0)
  seeds: int = pydantic.Field(3, ge=1)
  site: Site
  kinds: list[Kind]
  scenarios: list[Scenario]
  policies: list[str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
  """One model call, followed by a pause or by sub-agents to wait for."""

  prompt: int
  output: int
  pause: float = 0.0
  agents: tuple[Shape, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shape:
  """All steps of a program; only the policy `bound` may look ahead in them."""

  kind: Kind
  steps: tuple[Step, ...]
  arrives: float = 0.0


def load(path: pathlib.Path) -> Experiment:
  """Returns the experiment in a TOML file.

  Raises `FindingsError` with all errors in the file.
  """
  file = str(path)
  try:
    data: dict[str, Any] = tomllib.loads(path.read_text())
    return Experiment.model_validate(data)
  except tomllib.TOMLDecodeError as error:
    finding = errors.Finding(file=file, key='(syntax)', reason=str(error))
    raise errors.FindingsError([finding]) from None
  except pydantic.ValidationError as error:
    findings = settings.get_findings(error, file=file)
    raise errors.FindingsError(findings) from None


# --- Drawing programs -------------------------------------------------------


def draw_programs(
  experiment: Experiment, scenario: Scenario, seed: int
) -> Iterator[Shape]:
  """Yields all programs of a run: by kind, and by arrival within a kind."""
  for index, kind in enumerate(experiment.kinds):
    rng = random.Random(f'{seed}/{scenario.name}/{index}')
    now = 0.0
    while now < experiment.seconds:
      is_surge = scenario.surge_from <= now < scenario.surge_until
      rate = kind.per_second * (scenario.factor if is_surge else 1.0)
      now += rng.expovariate(rate)
      yield _draw_shape(rng, kind, scenario, arrives=now, depth=0)


def _draw_shape(
  rng: random.Random,
  kind: Kind,
  scenario: Scenario,
  *,
  arrives: float,
  depth: int,
) -> Shape:
  turns = _draw_size(rng, kind.turns, kind.spread)
  if depth == 0 and rng.random() < scenario.loops:
    turns = kind.max_calls * 10
  turns = min(turns, kind.max_calls)
  steps = tuple(
    _draw_step(rng, kind, scenario, number=number, depth=depth)
    for number in range(turns)
  )
  return Shape(kind=kind, steps=steps, arrives=arrives)


def _draw_step(
  rng: random.Random,
  kind: Kind,
  scenario: Scenario,
  *,
  number: int,
  depth: int,
) -> Step:
  median = kind.prompt if number else kind.first_prompt
  pause = rng.expovariate(1 / kind.pause) if kind.pause else 0.0
  if rng.random() < scenario.hangs:
    pause += TOOL_TIMEOUT_SECONDS
  agents: tuple[Shape, ...] = ()
  if depth == 0 and rng.random() < kind.agents / max(1.0, kind.turns):
    count = rng.randint(1, MAX_AGENTS)
    agents = tuple(
      _draw_shape(rng, kind, scenario, arrives=0.0, depth=1)
      for _ in range(count)
    )
  return Step(
    prompt=_draw_size(rng, median, 0.5),
    output=_draw_size(rng, kind.output, 0.7),
    pause=pause,
    agents=agents,
  )


def _draw_size(rng: random.Random, median: float, spread: float) -> int:
  return max(1, round(median * math.exp(rng.gauss(0.0, spread))))


def get_minimum_seconds(shape: Shape, site: Site) -> float:
  """Returns the least slot time of a program, in seconds.

  It counts each prompt without the history before it, which is what a call
  costs with a full cache hit.
  """
  own = sum(
    step.prompt / site.prefill_rate + step.output * site.token_seconds
    for step in shape.steps
  )
  return own + sum(
    get_minimum_seconds(a, site) for s in shape.steps for a in s.agents
  )
