"""A model check of the places of a request, over orders of what may happen.

Each failure domain is one place of knowledge.  Reports, answers, cuts, restarts
and ends come in any order; a request whose callers send it to any domain ends
each instance that runs it, sooner or later.
"""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from woadrun.decisions import crash_limit

State = crash_limit.State

DOMAINS = ('a', 'b', 'c')
NUMBERS = strategies.integers(0, 30)
INDICES = strategies.integers(0, len(DOMAINS) - 1)
# What becomes known of an instance that the request did not leave.
SIGNS = strategies.sampled_from(
  (State.LOST, State.ABANDONED, State.SURVIVED, State.ENDED)
)


class Places(stateful.RuleBasedStateMachine):
  """Domains that know of places, and instances that took one."""

  @stateful.initialize(count=strategies.integers(1, len(DOMAINS)))
  def start(self, count):
    self.domains = DOMAINS[:count]
    self.places_by_domain = {domain: {} for domain in self.domains}
    self.cut = set()
    self.taken = 0
    # Domains that sent the request before they knew of any place.
    self.unaware = set()
    self.forgot = 0

  def find_reached(self, domain):
    """Returns the domains that answer a domain."""
    is_cut_off = domain in self.cut
    return {
      other
      for other in self.domains
      if other == domain or not (is_cut_off or other in self.cut)
    }

  def tell(self, source, target):
    """Adds what one domain knows to what another one knows."""
    known = self.places_by_domain[target]
    for id, place in self.places_by_domain[source].items():
      old = known.get(id)
      domains = {source, target} | (old.domains if old else set())
      known[id] = crash_limit.Place(
        state=max(place.state, old.state) if old else place.state,
        domains=frozenset(domains),
      )

  def mark_known(self, domain, other):
    """Records that another domain knows of all places of a domain."""
    places = self.places_by_domain[domain]
    for id, place in places.items():
      places[id] = dataclasses.replace(place, domains=place.domains | {other})

  def exchange(self, domain, other):
    """A claim or a report is answered with what the other domain knows."""
    self.tell(domain, other)
    self.tell(other, domain)
    self.mark_known(domain, other)

  @stateful.rule(index=INDICES, state=SIGNS)
  def send(self, index, state):
    domain = self.domains[index % len(self.domains)]
    places = self.places_by_domain[domain]
    reached = {domain}
    if crash_limit.is_suspect(places.values()):
      reached = self.find_reached(domain)
      for other in reached - {domain}:
        self.exchange(domain, other)
      sides = crash_limit.Sides(domains=self.domains, reached=reached)
      verdict = crash_limit.decide(places.values(), sides)
      if verdict is not crash_limit.Verdict.RUN:
        # An instance that holds a place may run it, which takes no further one.
        return
    else:
      self.unaware.add(domain)
    self.taken += 1
    # The domains that granted the claim of the place hold it.
    for other in reached:
      self.places_by_domain[other][self.taken] = crash_limit.Place(
        state=state, domains=frozenset((domain, other))
      )

  @stateful.rule(index=INDICES, number=INDICES)
  def report(self, index, number):
    """A report arrives, and its acknowledgement is lost."""
    source = self.domains[index % len(self.domains)]
    target = self.domains[number % len(self.domains)]
    if target in self.find_reached(source):
      self.tell(source, target)

  @stateful.rule(index=INDICES, number=INDICES)
  def report_with_answer(self, index, number):
    source = self.domains[index % len(self.domains)]
    target = self.domains[number % len(self.domains)]
    if target in self.find_reached(source) - {source}:
      self.exchange(source, target)

  @stateful.rule(index=INDICES, number=NUMBERS, state=SIGNS)
  def see(self, index, number, state):
    """A domain gets a sign of an instance, in whichever order."""
    places = self.places_by_domain[self.domains[index % len(self.domains)]]
    if places:
      id = sorted(places)[number % len(places)]
      places[id] = dataclasses.replace(places[id], state=state)

  @stateful.rule(index=INDICES)
  def cut_off(self, index):
    self.cut.add(self.domains[index % len(self.domains)])

  @stateful.rule(index=INDICES)
  def heal(self, index):
    self.cut.discard(self.domains[index % len(self.domains)])

  @stateful.rule(index=INDICES)
  def restart(self, index):
    """All daemons of a domain restart, and ask the others before they send."""
    domain = self.domains[index % len(self.domains)]
    others = self.find_reached(domain) - {domain}
    if not others:
      # A domain that is alone forgets what it did: one more bound.
      return
    lost = set(self.places_by_domain[domain])
    self.places_by_domain[domain] = {}
    for other in others:
      self.tell(other, domain)
    self.forgot += len(lost - set(self.places_by_domain[domain]))

  @stateful.invariant()
  def at_most_three_take_a_place(self):
    if not hasattr(self, 'taken'):
      return
    # The first attempt of a domain that knows of none needs no place.
    unasked = max(crash_limit.MAX_ENDED_INSTANCES, len(self.unaware))
    assert self.taken <= unasked + self.forgot


TestPlaces = Places.TestCase
TestPlaces.settings = hypothesis.settings(
  max_examples=400, stateful_step_count=40, deadline=None
)


@hypothesis.given(
  left=strategies.integers(0, 3),
  count=strategies.integers(1, 6),
  sides=strategies.lists(strategies.integers(0, 2), min_size=6, max_size=6),
)
def test_the_shares_of_all_sides_are_what_is_left(left, count, sides):
  domains = [f'd{number}' for number in range(count)]
  shares = [
    crash_limit.get_share(
      left,
      crash_limit.Sides(
        domains=domains,
        reached=[d for d, s in zip(domains, sides, strict=False) if s == side],
      ),
    )
    for side in range(3)
  ]
  assert sum(shares) == left


def test_a_domain_that_does_not_know_of_a_place_may_take_another_one():
  places = [
    crash_limit.Place(state=State.LOST, domains=frozenset('a')),
    crash_limit.Place(state=State.LOST, domains=frozenset('ab')),
  ]
  apart = crash_limit.Sides(domains=('a', 'b'), reached=('a',))
  together = crash_limit.Sides(domains=('a', 'b'), reached=('a', 'b'))
  assert crash_limit.has_free_place(places, together)
  assert not crash_limit.has_free_place(places, apart)
