"""Authentication of callers, operators and daemons by bearer tokens."""

from __future__ import annotations

import hmac

from aiohttp import web

from woadrun import errors
from woadrun import settings

_SCHEME = 'Bearer '


class Access:
  """Checks requests against the tokens in the settings.

  `rejected` counts the requests with an unknown token.
  """

  def __init__(self, *, security: settings.Security) -> None:
    self._security = security
    self.rejected = 0

  def authenticate_caller(self, request: web.Request) -> list[str]:
    """Returns the teams that the caller of a request may act for.

    Raises `unauthorized` if the token is not a caller's.
    """
    token = _get_token(request)
    matched: list[str] | None = None
    for caller in self._security.callers:
      if _is_equal(token, caller.token):
        matched = caller.teams
    if matched is None:
      raise self._reject()
    return matched

  def authenticate_operator(self, request: web.Request) -> str:
    """Returns the name of the operator who sent a request.

    Raises `unauthorized` if the token is not an operator's.
    """
    token = _get_token(request)
    matched: str | None = None
    for operator in self._security.operators:
      if _is_equal(token, operator.token):
        matched = operator.name
    if matched is None:
      raise self._reject()
    return matched

  def check_peer(self, request: web.Request) -> None:
    """Raises `unauthorized` unless another daemon sent the request."""
    if not _is_equal(_get_token(request), self._security.peer_key):
      raise self._reject()

  def _reject(self) -> errors.WoadrunError:
    self.rejected += 1
    return errors.WoadrunError(
      errors.Code.UNAUTHORIZED, 'The bearer token is missing or unknown.'
    )


def _get_token(request: web.Request) -> str:
  header = request.headers.get('Authorization', '')
  return header[len(_SCHEME) :] if header.startswith(_SCHEME) else ''


def _is_equal(given: str, known: str) -> bool:
  # Compares in constant time, so that response times reveal nothing about the
  # token.
  return hmac.compare_digest(given.encode(), known.encode())
