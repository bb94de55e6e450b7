import signal

import hypothesis

# A slow machine must not turn a test red.
hypothesis.settings.register_profile(
  'ci',
  derandomize=True,
  deadline=None,
  database=None,
  suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile('ci')

# A run that is told to end ends its daemons, which have process groups of their
# own.
signal.signal(signal.SIGTERM, signal.default_int_handler)
