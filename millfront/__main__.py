"""`python -m millfront`: without arguments one gatekeeper, as the platform starts it; else a command."""

import os
import sys


def main() -> int:
    if (
        sys.argv[1:2] == ["gatekeeper"] and "--help" not in sys.argv
    ):  # a role of the whole system: it starts without the commands' imports
        from millfront.gatekeeper import start

        return start.run(os.environ, sys.argv[2:])
    if len(sys.argv) > 1 or "_MILLFRONT_COMPLETE" in os.environ:
        from millfront.cli import commands

        return commands.main()
    from millfront import daemon

    return daemon.run(os.environ)


if __name__ == "__main__":
    sys.exit(main())
