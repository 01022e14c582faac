"""`python -m millfront`: without arguments runs a gatekeeper, as the platform starts it; else a command."""

import os
import sys


def main() -> int:
    # The system's gatekeeper process starts without the imports of the other commands
    if sys.argv[1:2] == ["gatekeeper"] and "--help" not in sys.argv:
        from millfront.gatekeeper import start

        return start.run(os.environ, sys.argv[2:])
    if len(sys.argv) > 1 or "_MILLFRONT_COMPLETE" in os.environ:
        from millfront.cli import commands

        return commands.main()
    from millfront import daemon

    return daemon.run(os.environ)


if __name__ == "__main__":
    sys.exit(main())
