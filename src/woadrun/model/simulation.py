"""A discrete-event simulation of programs, policies and engines.

Queues, routing and the estimate for early refusal are the daemon's own code
from `woadrun.decisions`, which takes the time as a parameter.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools

from woadrun.decisions import admission
from woadrun.decisions import queue
from woadrun.decisions import routing
from woadrun.model import engines
from woadrun.model import policies
from woadrun.model import workload

# Interval at which engines report their load to the daemons.
LOAD_REPORT_INTERVAL_SECONDS = 0.5
# Early refusal applies to calls whose expected wait exceeds 1.5 times this.
WAIT_LIMIT_SECONDS = 30.0
# A caller retries a refused call after the delay it was given, at most this
# many times.
MAX_RETRIES = 20
# Weight of a new measurement in the moving average of call times.
CALL_SECONDS_SMOOTHING_WEIGHT = 0.1
# Length of the windows in which the rows' shares of service are measured.
FAIRNESS_WINDOW_SECONDS = 10.0
# Time until the failure of a call on a failed or unreachable engine is noticed.
FAILURE_DETECTION_SECONDS = 0.5
# Time for which a domain places no calls on an engine after a failure there.
AVOIDANCE_SECONDS = 2.0


@dataclasses.dataclass(eq=False, kw_only=True)
class ProgramRun:
  """The state of a running program or sub-agent.

  `step` is the index of the next call, `tokens` the size of the history,
  `engine` the index of the engine of the last call or -1, and `attained` the
  program's service so far in seconds of a slot.
  """

  number: int
  shape: workload.Shape
  daemon: int
  domain: int
  begun_at: float
  parent: ProgramRun | None = None
  step: int = 0
  tokens: int = 0
  engine: int = -1
  attained: float = 0.0
  retries: int = 0
  pending_agents: int = 0
  has_ended: bool = False
  queued_at: float = 0.0

  def get_prompt(self) -> int:
    """Returns the size of the next call's prompt in tokens."""
    return self.tokens + self.shape.steps[self.step].prompt

  def get_attained(self) -> float:
    """Returns the attained service, including that of all parents.

    The result is in seconds of a slot.
    """
    return self.attained + (self.parent.get_attained() if self.parent else 0)


@dataclasses.dataclass(kw_only=True)
class Result:
  """The results of one run of a scenario under a policy.

  `late` counts programs that missed their deadline or did not end;
  `abandoned` counts programs and sub-agents whose caller stopped retrying.  An
  abandoned program is counted in `late` as well.  `good_seconds` is the slot
  time of programs that met their deadline.  `fairness` is the lowest mean
  ratio of a row's share of service to its share of the weights.
  """

  latencies: list[float] = dataclasses.field(default_factory=list)
  late: int = 0
  abandoned: int = 0
  refusals: int = 0
  good_seconds: float = 0.0
  waste: engines.Waste = dataclasses.field(default_factory=engines.Waste)
  fairness: float = 1.0
  peak_waiting: int = 0


class Simulation:
  """Simulates one scenario under one policy."""

  def __init__(
    self,
    *,
    experiment: workload.Experiment,
    scenario: workload.Scenario,
    policy: policies.Policy,
    seed: int,
  ) -> None:
    self._experiment = experiment
    self._scenario = scenario
    self._policy = policy
    self._site = experiment.site
    self._seed = seed
    self.now = 0.0
    self._events: list[tuple[float, int, Callable[[], None]]] = []
    self._sequence_numbers = itertools.count()
    self._program_numbers = itertools.count()
    count = self._site.engines
    self._engines = [
      engines.EngineModel(site=self._site, domain=n % self._site.domains)
      for n in range(count)
    ]
    self._queues = [policy.make_queue() for _ in range(count)]
    self._call_seconds = [2.0] * count
    self._load_reports = [(0, 0)] * count
    self._own_calls = [[0] * count for _ in range(self._site.daemons)]
    # Time of the last failure by domain and engine: each domain detects for
    # itself which engines it cannot reach.
    self._failed_at: dict[tuple[int, int], float] = {}
    self._waiting_by_id: dict[str, tuple[ProgramRun, int]] = {}
    self._begun_at_by_program: dict[int, float] = {}
    self._service_by_row: dict[str, float] = {}
    self._share_ratios_by_row: dict[str, list[float]] = {}
    self._call_numbers = itertools.count()
    self.result = Result()

  # --- The clock ------------------------------------------------------------

  def schedule(self, time: float, action: Callable[[], None]) -> None:
    """Schedules an action at a simulated time."""
    heapq.heappush(self._events, (time, next(self._sequence_numbers), action))

  def run(self) -> Result:
    """Runs the simulation and returns its result.

    The run ends when no events are left, or after twice the length of the
    experiment.
    """
    shapes = list(
      workload.draw_programs(self._experiment, self._scenario, self._seed)
    )
    for shape in shapes:
      self.schedule(
        shape.arrives, functools.partial(self._start_program, shape)
      )
    self.schedule(LOAD_REPORT_INTERVAL_SECONDS, self._report_loads)
    self.schedule(FAIRNESS_WINDOW_SECONDS, self._measure_shares)
    self._schedule_faults()
    end = self._experiment.seconds * 2
    while self._events and self._events[0][0] <= end:
      self.now, _, action = heapq.heappop(self._events)
      action()
    # A program that has not ended counts with its time so far: without it, a
    # policy that starves programs would show lower latencies.
    self.result.late += len(self._begun_at_by_program)
    self.result.latencies += [
      end - begun for begun in self._begun_at_by_program.values()
    ]
    for engine in self._engines:
      engine.close(self.now)
      self.result.waste.add(engine.waste)
    self.result.fairness = self._get_fairness()
    return self.result

  def _schedule_faults(self) -> None:
    scenario = self._scenario
    if scenario.engine >= 0:
      engine = self._engines[scenario.engine]
      if scenario.slowdown > 1:
        self.schedule(
          scenario.fault_from, lambda: self._set_slowdown(engine, True)
        )
        self.schedule(
          scenario.fault_until, lambda: self._set_slowdown(engine, False)
        )
      else:
        self.schedule(
          scenario.fault_from, lambda: self._fail_engine(scenario.engine)
        )
        self.schedule(
          scenario.fault_until, lambda: self._recover_engine(scenario.engine)
        )

  def _set_slowdown(self, engine: engines.EngineModel, is_slow: bool) -> None:
    engine.slowdown = self._scenario.slowdown if is_slow else 1.0

  def _fail_engine(self, index: int) -> None:
    self._engines[index].fail(self.now)
    # Waiting calls are placed again once the failure is detected.
    while (call := self._queues[index].pop()) is not None:
      run, _ = self._waiting_by_id.pop(call.id)
      self._own_calls[run.daemon][index] -= 1
      self.schedule(
        self.now + FAILURE_DETECTION_SECONDS,
        functools.partial(self._place_call, run),
      )

  def _recover_engine(self, index: int) -> None:
    self._engines[index].has_failed = False
    self._grant_slots(index)

  def _is_partitioned(self, domain: int, other: int) -> bool:
    scenario = self._scenario
    is_active = scenario.fault_from <= self.now < scenario.fault_until
    return is_active and domain != other and scenario.domain in (domain, other)

  # --- Programs -------------------------------------------------------------

  def _start_program(
    self, shape: workload.Shape, parent: ProgramRun | None = None
  ) -> None:
    number = next(self._program_numbers)
    if parent is None:
      domain = number % self._site.domains
      daemon = number % self._site.daemons
    else:
      domain, daemon = parent.domain, parent.daemon
    run = ProgramRun(
      number=number,
      shape=shape,
      daemon=daemon,
      domain=domain,
      begun_at=self.now,
      parent=parent,
    )
    if parent is None:
      self._begun_at_by_program[number] = self.now
    self._place_call(run)

  def _place_call(self, run: ProgramRun) -> None:
    if run.has_ended:
      return
    index = self._policy.choose(self._make_views(run), next(self._call_numbers))
    if index is None:
      self.schedule(self.now + AVOIDANCE_SECONDS, lambda: self._place_call(run))
      return
    engine = self._engines[index]
    if engine.has_failed or self._is_partitioned(run.domain, engine.domain):
      self._fail_call(run, index)
      return
    wait = admission.estimate_wait(
      len(self._queues[index]), self._site.slots, self._call_seconds[index]
    )
    is_busy = engine.running >= self._site.slots
    is_new = run.attained == 0 or self._policy.refuses_all
    if (
      self._policy.refuses and is_new and is_busy and wait > WAIT_LIMIT_SECONDS
    ):
      self._refuse_call(run, wait)
      return
    self._enqueue(run, index)

  def _fail_call(self, run: ProgramRun, index: int) -> None:
    self._failed_at[run.domain, index] = self.now
    self.schedule(
      self.now + FAILURE_DETECTION_SECONDS, lambda: self._place_call(run)
    )

  def _refuse_call(self, run: ProgramRun, seconds: float) -> None:
    self.result.refusals += 1
    run.retries += 1
    if run.retries > MAX_RETRIES:
      self.result.abandoned += 1
      self._end_program(run)
      return
    self.schedule(self.now + seconds, lambda: self._place_call(run))

  def _enqueue(self, run: ProgramRun, index: int) -> None:
    if self._policy.drops_on_move and run.engine not in (index, -1):
      self._engines[run.engine].drop(run.number, self.now)
    step = run.shape.steps[run.step]
    name = f'{run.number}/{run.step}/{next(self._sequence_numbers)}'
    run.queued_at = self.now
    self._own_calls[run.daemon][index] += 1
    self._waiting_by_id[name] = (run, index)
    self._queues[index].push(
      queue.QueuedCall(
        id=name,
        row=run.shape.kind.row,
        weight=run.shape.kind.weight,
        attained=self._policy.get_attained(
          run.get_attained(), self._get_remaining(run)
        ),
        cost=step.output * self._site.token_seconds,
        arrived=self.now,
      )
    )
    self._grant_slots(index)
    waiting = sum(map(len, self._queues))
    self.result.peak_waiting = max(self.result.peak_waiting, waiting)

  def _get_remaining(self, run: ProgramRun) -> float:
    # Only the policy `bound` uses this value: it is unknown in production.
    left = run.shape.steps[run.step :]
    return sum(step.output for step in left) * self._site.token_seconds

  def _grant_slots(self, index: int) -> None:
    engine = self._engines[index]
    while engine.running < self._site.slots and not engine.has_failed:
      call = self._queues[index].pop()
      if call is None:
        return
      run, _ = self._waiting_by_id.pop(call.id)
      step = run.shape.steps[run.step]
      prompt = run.get_prompt()
      seconds = engine.get_call_seconds(run.number, prompt, step.output)
      engine.begin_call(run.number, self.now)
      self.schedule(
        self.now + seconds,
        functools.partial(self._finish_call, run, index, seconds),
      )

  def _finish_call(self, run: ProgramRun, index: int, seconds: float) -> None:
    engine = self._engines[index]
    if engine.has_failed:
      self._own_calls[run.daemon][index] -= 1
      self._fail_call(run, index)
      return
    step = run.shape.steps[run.step]
    run.tokens = run.get_prompt() + step.output
    engine.finish_call(run.number, run.tokens, self.now)
    self._own_calls[run.daemon][index] -= 1
    self._update_call_seconds(index, seconds)
    run.engine = index
    run.attained += seconds
    row = run.shape.kind.row
    self._service_by_row[row] = self._service_by_row.get(row, 0.0) + seconds
    self._advance(run, step)
    self._grant_slots(index)

  def _update_call_seconds(self, index: int, seconds: float) -> None:
    self._call_seconds[index] += CALL_SECONDS_SMOOTHING_WEIGHT * (
      seconds - self._call_seconds[index]
    )

  def _advance(self, run: ProgramRun, step: workload.Step) -> None:
    run.step += 1
    if step.agents:
      run.pending_agents = len(step.agents)
      for shape in step.agents:
        self._start_program(shape, run)
    elif run.step == len(run.shape.steps):
      self._end_program(run)
    else:
      self._pause(run, step.pause)

  def _pause(self, run: ProgramRun, seconds: float) -> None:
    if self._policy.drops_at_pause(seconds) and run.engine >= 0:
      self._engines[run.engine].drop(run.number, self.now)
    self.schedule(self.now + seconds, lambda: self._place_call(run))

  def _end_program(self, run: ProgramRun) -> None:
    run.has_ended = True
    for engine in self._engines:
      engine.mark_ended(run.number, self.now)
      if self._policy.drops_at_end:
        engine.drop(run.number, self.now)
    parent = run.parent
    if parent is not None:
      parent.pending_agents -= 1
      if parent.pending_agents == 0:
        self._resume_parent(parent)
      return
    if run.retries > MAX_RETRIES:
      return
    self._begun_at_by_program.pop(run.number, None)
    latency = self.now - run.begun_at
    self.result.latencies.append(latency)
    if latency > run.shape.kind.deadline:
      self.result.late += 1
    elif self.now <= self._experiment.seconds:
      self.result.good_seconds += workload.get_minimum_seconds(
        run.shape, self._site
      )

  def _resume_parent(self, parent: ProgramRun) -> None:
    if parent.step == len(parent.shape.steps):
      self._end_program(parent)
    else:
      self._place_call(parent)

  # --- What the daemons know -------------------------------------------------

  def _report_loads(self) -> None:
    self._load_reports = [
      (engine.running, len(waiting))
      for engine, waiting in zip(self._engines, self._queues, strict=True)
    ]
    self.schedule(self.now + LOAD_REPORT_INTERVAL_SECONDS, self._report_loads)

  def _make_views(self, run: ProgramRun) -> list[policies.View]:
    return [self._make_view(run, index) for index in range(len(self._engines))]

  def _make_view(self, run: ProgramRun, index: int) -> policies.View:
    running, waiting = self._load_reports[index]
    own = self._own_calls[run.daemon][index]
    failed_at = self._failed_at.get((run.domain, index), float('-inf'))
    is_avoided = self.now - failed_at < AVOIDANCE_SECONDS
    return policies.View(
      candidate=routing.Candidate(
        name=str(index),
        slots=0 if is_avoided else self._site.slots,
        running=max(own, running),
        waiting=waiting,
        seconds=self._call_seconds[index],
        cached=run.tokens if run.engine == index else 0,
        is_near=self._engines[index].domain == run.domain,
      ),
      prompt=run.get_prompt(),
      prefill_rate=self._site.prefill_rate,
    )

  # --- Shares ---------------------------------------------------------------

  def _measure_shares(self) -> None:
    waiting = {run.shape.kind.row for run, _ in self._waiting_by_id.values()}
    kinds = {kind.row: kind.weight for kind in self._experiment.kinds}
    if len(waiting) == len(kinds) > 1:
      total = sum(self._service_by_row.values())
      weights = sum(kinds.values())
      for row, weight in kinds.items():
        share = self._service_by_row.get(row, 0.0) / total if total else 0.0
        self._share_ratios_by_row.setdefault(row, []).append(
          share / (weight / weights)
        )
    self._service_by_row = {}
    if self.now < self._experiment.seconds:
      self.schedule(self.now + FAIRNESS_WINDOW_SECONDS, self._measure_shares)

  def _get_fairness(self) -> float:
    means = [
      sum(r) / len(r) for r in self._share_ratios_by_row.values() if len(r) > 1
    ]
    return min(means, default=1.0)
