"""Signals that arrive while a process is still starting."""

import signal
import subprocess
import sys
import textwrap

from tests.test_config import ROOT


def test_a_reload_signal_during_the_start_does_not_end_the_process() -> None:
    """SIGHUP arrives before the loop handles it, at the import of the process module."""
    program = textwrap.dedent("""
        import os, signal, sys
        from millfront.gatekeeper import start

        class AtFirstImport:
            def find_spec(self, name, path=None, target=None):
                if name == "millfront.gatekeeper.process":
                    os.kill(os.getpid(), signal.SIGHUP)
                return None

        sys.meta_path.insert(0, AtFirstImport())
        sys.exit(start.run({}, []))
    """)
    done = subprocess.run([sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode != -signal.SIGHUP
    assert (done.returncode, done.stderr) == (2, "millfront: MILLFRONT_CONFIG: is not set\n")
