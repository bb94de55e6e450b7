"""Reload of the settings: valid ones are applied, invalid ones ignored."""

import json

import aiohttp

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
