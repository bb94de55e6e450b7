"""Fingerprints of requests: equal for tries of the same request.

Each try has a request id of its own, so that ids cannot tell whether a request
was sent before.
"""

from __future__ import annotations

import hashlib

from woadrun.request import exchange

DIGEST_BYTES = 16
# Length of a fingerprint in log lines, which is that of a request id.
LOGGED_CHARACTERS = 16


def get_fingerprint(
  request: exchange.Request, *, team: str | None, body: bytes
) -> str:
  """Returns a digest of what an instance would run, in hexadecimal.

  `body` is the body sent to the instance, with the history of a turn.  `team`
  is the name of the caller's team, so that no team can influence how the
  requests of another one are handled.  Headers that differ between tries, such
  as ids and deadlines, are left out.

  Programs send equal requests that have nothing to do with each other, so that
  a request counts as the same within its program, and without a body, which
  leaves little but its path, within one session of it.
  """
  parts = [
    # Requests without teams differ from requests of a team without a name.
    b'' if team is None else b'team ' + team.encode(),
    request.method.encode(),
    request.host.lower().encode(),
    request.target.encode(),
    *_encode_cookies(request.headers),
    request.program.encode(),
    b'' if body else request.session_id.encode(),
  ]
  digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
  for part in parts:
    # The length keeps the parts apart.
    digest.update(len(part).to_bytes(4) + part)
  digest.update(body)
  return digest.hexdigest()


def shorten(fingerprint: str) -> str:
  """Returns the form of a fingerprint for log lines and errors."""
  return fingerprint[:LOGGED_CHARACTERS]


def _encode_cookies(headers: exchange.Headers) -> list[bytes]:
  """Returns the cookies, which name the object that a request is about."""
  found = [value for name, value in headers if name.lower() == 'cookie']
  return [str(len(found)).encode(), *(value.encode() for value in found)]
