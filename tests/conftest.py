import signal

import hypothesis

# A slow machine must not fail a test.
hypothesis.settings.register_profile(
  'ci',
  derandomize=True,
  deadline=None,
  database=None,
  suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile('ci')

# Daemons have process groups of their own, and do not get the SIGTERM of a test
# run: it raises KeyboardInterrupt here, so that fixtures stop the daemons.
signal.signal(signal.SIGTERM, signal.default_int_handler)
