"""Reload of the settings: valid ones are applied, invalid ones ignored."""

import asyncio
import json
import subprocess
import sys

import aiohttp
import nodes

from woadrun.platform import program
from woadrun.platform import settings

GOOD = {
  'node_name': 'n1',
  'ip': '127.0.0.1',
  'zone': 'north',
  'listen_addrs': {'front': '127.0.0.1:1', 'ready': '127.0.0.1:2'},
  'internal_port_range': [7380, 7395],
  'platform': {'address': '127.0.0.1:3'},
}


async def test_reload_applies_store_address_and_ignores_invalid_settings(
  tmp_path, caplog
):
  caplog.set_level('INFO', logger='woadrun')
  path = tmp_path / 'settings.json'
  path.write_text(json.dumps(GOOD))
  config = settings.load(path)
  async with aiohttp.ClientSession() as session:
    binding = program.make_binding(config, session)
    moved = {**GOOD, 'platform': {'address': '127.0.0.1:4'}}
    path.write_text(json.dumps(moved))
    program.reload(str(path), config, binding)
    assert binding.store.address == '127.0.0.1:4'
    assert 'different since the start: store_address' in caplog.text
    path.write_text(json.dumps({**GOOD, 'platform': {'address': 'x'}}))
    program.reload(str(path), config, binding)
    assert binding.store.address == '127.0.0.1:4'
    assert 'platform.address' in caplog.text


# Guards against a daemon that stays with an address that the store has left, as
# the file changed without a signal, or before the daemon handles signals.
async def test_settings_that_change_without_a_signal_are_applied(
  tmp_path, monkeypatch
):
  monkeypatch.setattr(program, 'SETTINGS_CHECK_INTERVAL_SECONDS', 0.02)
  path = tmp_path / 'settings.json'
  path.write_text(json.dumps(GOOD))
  config = settings.load(path)
  path.write_text(json.dumps({**GOOD, 'platform': {'address': '127.0.0.1:4'}}))
  async with aiohttp.ClientSession() as session:
    binding = program.make_binding(config, session)
    watch = program.SettingsWatch(
      path=str(path), config=config, binding=binding
    )
    task = asyncio.ensure_future(watch.run())
    await nodes.wait_until(lambda: binding.store.address == '127.0.0.1:4')
    path.unlink()
    await asyncio.sleep(0.1)
    path.write_text('{')
    await asyncio.sleep(0.1)
    path.write_text(
      json.dumps({**GOOD, 'platform': {'address': '127.0.0.1:5'}})
    )
    await nodes.wait_until(lambda: binding.store.address == '127.0.0.1:5')
    assert not task.done()
    task.cancel()


# Sends the signal to its own process as the daemon's modules are imported.
SIGNAL_DURING_IMPORTS = """
import os, signal, sys
from woadrun.platform import __main__

class Finder:
  def find_spec(self, name, path, target=None):
    if name == 'woadrun.platform.program':
      os.kill(os.getpid(), signal.SIGHUP)
      sys.exit(7)

sys.meta_path.insert(0, Finder())
__main__.main()
"""


# Guards against a process that a change of the settings ends while it starts.
def test_signal_during_the_imports_does_not_end_the_daemon():
  ended = subprocess.run([sys.executable, '-c', SIGNAL_DURING_IMPORTS])
  assert ended.returncode == 7
