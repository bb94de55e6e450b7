import pytest

from woadrun.decisions import usual_duration


@pytest.mark.parametrize(
  ('left', 'work', 'answer', 'expected'),
  [
    (2.0, 0.5, 0.1, 1.5),
    (1.0, 2.0, 0.1, 0.1),
    (1.0, 0.95, 0.1, 0.1),
    (0.05, 2.0, 0.1, 0.05),
  ],
)
def test_wait_leaves_the_caller_time_for_the_work(left, work, answer, expected):
  wait = usual_duration.limit_wait(
    left, work_seconds=work, answer_seconds=answer
  )
  assert wait == pytest.approx(expected)


def test_failure_never_lowers_the_usual_duration():
  duration = usual_duration.UsualDuration(mean=1.0, deviation=0.5)
  duration.record(0.1, is_failure=True)
  assert duration.seconds == 1.5
  duration.record(2.0, is_failure=True)
  assert duration.mean == pytest.approx(1.05)
  duration.record(0.1)
  assert duration.mean == pytest.approx(0.95 * 1.05 + 0.05 * 0.1)
  assert duration.deviation > 0.5
