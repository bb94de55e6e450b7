"""Entry point of `python -m woadrun` and of the single-file executable."""

from woadrun.cli import app

if __name__ == '__main__':
  app.main()
