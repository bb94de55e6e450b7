"""Expected time of a turn, and the relative slowness of an instance.

A turn is a request that generates tokens at an instance of a model service.
Instances of one service may run at different speeds that nobody reports.  The
times of all turns of a service give a linear model of the time of a turn.  The
slowness of an instance is the ratio of the times observed there to the times
that the model predicts; 1.0 is the mean of the service.

The functions and classes here use neither a clock nor the network.  Times are
passed as `now`, in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import heapq
from typing import NamedTuple

# Half-life of the turns from which a service's model is fitted.  A daemon sees
# one to ten turns per second, so that some 40 to 400 turns determine the five
# coefficients.
MODEL_HALF_LIFE_SECONDS = 30.0
# Coefficients before any turn was seen: seconds per turn, per 1000 prompt
# tokens, per 100 generated tokens, per turn beside it, per queue of `slots`
# turns.  They count as much as PRIOR_WEIGHT turns.
PRIOR_COEFFICIENTS = (0.05, 0.025, 0.05, 0.01, 0.2)
PRIOR_WEIGHT = 0.5
# Weight of turns below which the model is not used: the coefficients would
# mostly show single turns.
MIN_MODEL_TURNS = 8.0
# A prediction is at least this part of the mean time of a turn.  A linear model
# may predict 0 or less for small turns.
MIN_PREDICTED_PART = 0.2
# Limit of the ratio of a single turn, so that a turn that was stuck does not
# decide for its instance.
MAX_TURN_RATIO = 5.0
# Half-life of the sums by instance.
SUMS_HALF_LIFE_SECONDS = 10.0
# Turns of mean time and slowness 1.0 that are added to the sums of an instance.
# They keep instances of equal speed within TOLERANCE although turns of equal
# size take different times.
PRIOR_TURNS = 20.0
# A slowness that differs from 1.0 by at most this much counts as 1.0.
TOLERANCE = 0.15
# An instance begins to differ beyond this.  Instances of equal speed reach 1.2
# while they have more turns than the others.
ENTRY_TOLERANCE = 0.25
# Number of instances whose sums are sent in one datagram.
MAX_REPORTED = 32
# Number of instances that a hub compares for each digest, so that its cost does
# not grow with the number of instances.
MAX_DIFFERING = 256
# Interval in which instances with hardly any turns are dropped, and the turns
# below which they are.
CLEANUP_INTERVAL_SECONDS = 10.0
MIN_KEPT_TURNS = 0.05

_SIZE = len(PRIOR_COEFFICIENTS)


class Sums(NamedTuple):
  """Observed and predicted times of an instance's turns, with decay.

  The unit is the mean time of a turn of the service, so that `predicted` is
  about the number of turns.
  """

  observed: float = 0.0
  predicted: float = 0.0


class TurnSize(NamedTuple):
  """What the time of a turn depends on.

  `uncached` is the number of prompt tokens that are not in the instance's
  cache, `tokens` the number of generated tokens or events, `running` the number
  of other turns at the instance, and `slots` the turns that it runs at a time.
  """

  uncached: int
  tokens: int
  running: float
  slots: int


class Model:
  """A linear model of the time of a turn, fitted by decayed least squares."""

  def __init__(self, *, now: float) -> None:
    self._at = now
    self._turns = 0.0
    self._seconds = 0.0
    self._slowness = 0.0
    # The normal equations: the products of features, and of features and time.
    self._products = [[0.0] * _SIZE for _ in range(_SIZE)]
    self._targets = [0.0] * _SIZE
    self._coefficients: list[float] | None = None

  @property
  def mean_seconds(self) -> float:
    """The mean time of a turn, 0.0 before the first."""
    return self._seconds / self._turns if self._turns else 0.0

  def learn(
    self, size: TurnSize, seconds: float, *, slowness: float, now: float
  ) -> None:
    """Adds the time of a finished turn.

    `slowness` is what is known of its instance.  The time is converted to an
    instance of mean slowness: fast instances run more turns at a time, so that
    the coefficients would otherwise explain a part of their speed by that.
    """
    keep = 0.5 ** ((now - self._at) / MODEL_HALF_LIFE_SECONDS)
    self._at = now
    features = _make_features(size)
    self._turns = keep * self._turns + 1.0
    self._seconds = keep * self._seconds + seconds
    self._slowness = keep * self._slowness + slowness
    seconds *= self._slowness / self._turns / slowness
    for row, left in zip(self._products, features, strict=True):
      row[:] = [
        keep * product + left * right
        for product, right in zip(row, features, strict=True)
      ]
    self._targets = [
      keep * target + feature * seconds
      for target, feature in zip(self._targets, features, strict=True)
    ]
    self._coefficients = None

  def predict(self, size: TurnSize) -> float | None:
    """Returns the expected time of a turn; None while turns are too few."""
    if self._turns < MIN_MODEL_TURNS:
      return None
    if self._coefficients is None:
      self._coefficients = self._fit()
    predicted = sum(
      coefficient * feature
      for coefficient, feature in zip(
        self._coefficients, _make_features(size), strict=True
      )
    )
    return max(predicted, MIN_PREDICTED_PART * self.mean_seconds)

  def _fit(self) -> list[float]:
    rows = [
      [
        *(
          product + (PRIOR_WEIGHT if column == index else 0.0)
          for column, product in enumerate(products)
        ),
        target + PRIOR_WEIGHT * prior,
      ]
      for index, (products, target, prior) in enumerate(
        zip(self._products, self._targets, PRIOR_COEFFICIENTS, strict=True)
      )
    ]
    return _solve(rows)


def _make_features(size: TurnSize) -> tuple[float, ...]:
  queued = max(0.0, size.running + 1 - size.slots) / max(1, size.slots)
  return 1.0, size.uncached / 1000, size.tokens / 100, size.running, queued


def _solve(rows: list[list[float]]) -> list[float]:
  """Returns the solution of positive definite linear equations.

  Each row has the coefficients of an equation and its right side.  Gaussian
  elimination needs no pivoting for such equations.
  """
  for index, pivot in enumerate(rows):
    for row in rows[index + 1 :]:
      factor = row[index] / pivot[index]
      for column in range(index, len(pivot)):
        row[column] -= factor * pivot[column]
  solution = [0.0] * len(rows)
  for index in reversed(range(len(rows))):
    row = rows[index]
    known = sum(row[i] * solution[i] for i in range(index + 1, len(rows)))
    solution[index] = (row[-1] - known) / row[index]
  return solution


class SumsByInstance:
  """Decayed sums of several sources.

  The cost of `add` and `find_differing` does not grow with the number of
  instances: at most MAX_DIFFERING are compared.
  """

  def __init__(self) -> None:
    self._sums_by_id: dict[str, tuple[float, Sums]] = {}
    self._differing: set[str] = set()
    self._cleaned_at = 0.0

  def add(self, added: Mapping[str, Sums], *, now: float) -> None:
    """Adds the turns that ended a moment ago."""
    for id, sums in added.items():
      known = self._get(id, now)
      total = Sums(
        known.observed + sums.observed, known.predicted + sums.predicted
      )
      self._sums_by_id[id] = now, total
      if (
        abs(estimate_slowness(total) - 1.0) > ENTRY_TOLERANCE
        and len(self._differing) < MAX_DIFFERING
      ):
        self._differing.add(id)
    if now - self._cleaned_at >= CLEANUP_INTERVAL_SECONDS:
      self._cleaned_at = now
      self._drop_small(now)

  def find_differing(self, *, now: float) -> dict[str, Sums]:
    """Returns the sums of the instances that differ from the mean.

    If there are more than MAX_REPORTED, returns those that differ most.
    """
    found = {id: self._get(id, now) for id in self._differing}
    # Decay only reduces a difference; `add` finds the instances anew.
    self._differing = {
      id
      for id, sums in found.items()
      if abs(estimate_slowness(sums) - 1.0) > TOLERANCE
    }
    return select_differing(found)

  def _get(self, id: str, now: float) -> Sums:
    at, sums = self._sums_by_id.get(id, (now, Sums()))
    keep = 0.5 ** ((now - at) / SUMS_HALF_LIFE_SECONDS)
    return Sums(keep * sums.observed, keep * sums.predicted)

  def _drop_small(self, now: float) -> None:
    self._sums_by_id = {
      id: found
      for id, found in self._sums_by_id.items()
      if self._get(id, now).predicted >= MIN_KEPT_TURNS
    }


def make_turn_sums(*, seconds: float, predicted: float, mean: float) -> Sums:
  """Returns the sums of a single turn.

  `mean` is the mean time of a turn of the service.
  """
  return Sums(
    observed=round(min(seconds, MAX_TURN_RATIO * predicted) / mean, 2),
    predicted=round(predicted / mean, 2),
  )


def add_up(sources: Iterable[Mapping[str, Sums]]) -> dict[str, Sums]:
  """Returns the sums of several sources, by instance."""
  total: dict[str, Sums] = {}
  for source in sources:
    for id, sums in source.items():
      known = total.get(id, Sums())
      total[id] = Sums(
        round(known.observed + sums.observed, 2),
        round(known.predicted + sums.predicted, 2),
      )
  return total


def estimate_slowness(sums: Sums) -> float:
  """Returns the slowness of an instance, near 1.0 while turns are few."""
  return (sums.observed + PRIOR_TURNS) / (sums.predicted + PRIOR_TURNS)


def select_differing(sums_by_id: Mapping[str, Sums]) -> dict[str, Sums]:
  """Returns the sums of the instances that differ from the mean.

  If there are more than MAX_REPORTED, returns those that differ most.
  """

  def distance(id: str) -> float:
    return abs(estimate_slowness(sums_by_id[id]) - 1.0)

  differing = [id for id in sums_by_id if distance(id) > TOLERANCE]
  found = heapq.nlargest(MAX_REPORTED, differing, key=distance)
  return {
    id: Sums(
      round(sums_by_id[id].observed, 2), round(sums_by_id[id].predicted, 2)
    )
    for id in found
  }
