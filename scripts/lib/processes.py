"""Processes of a test fleet on loopback: start, stop by id, resource use from /proc, and HTTP calls."""

import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request


class FleetError(RuntimeError):
    """A step of a run that didn't reach its condition."""


def http(method, address, path, body=None, headers=None, timeout=5.0):
    """Sends a request; returns (status, parsed JSON or text). Status 0 means that no answer came."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            status, text = response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read().decode()
    except (OSError, urllib.error.URLError):
        return 0, None
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


def expect(method, address, path, body=None, headers=None):
    """Like http(), but raises FleetError unless the status is 2xx; returns the answer."""
    status, answer = http(method, address, path, body, headers)
    if not 200 <= status < 300:
        raise FleetError(f"{method} {address}{path}: status {status}, answer {answer}")
    return answer


def wait_until(what, condition, limit, interval=0.1):
    """Waits until condition() is true and returns the seconds that it took; raises FleetError after the limit."""
    start = time.monotonic()
    while True:
        if condition():
            return time.monotonic() - start
        if time.monotonic() - start > limit:
            raise FleetError(f"not reached within {limit} s: {what}")
        time.sleep(interval)


class Process:
    """One process of the fleet, which writes its log to a file."""

    def __init__(self, name, program, settings, directory):
        self.name = name
        self.settings_file = pathlib.Path(directory) / f"{name}.json"
        self.settings_file.write_text(json.dumps(settings, indent=1))
        self.log_file = pathlib.Path(directory) / f"{name}.log"
        with open(self.log_file, "ab") as log:
            self.child = subprocess.Popen([str(program), str(self.settings_file)], stdout=log, stderr=log)

    @property
    def pid(self):
        return self.child.pid

    def is_running(self):
        return self.child.poll() is None

    def signal(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def terminate(self):
        """Starts the graceful stop."""
        self.signal(signal.SIGTERM)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def wait(self, limit):
        """Waits for the end; returns the exit status, or None after the limit."""
        try:
            return self.child.wait(limit)
        except subprocess.TimeoutExpired:
            return None

    def cpu_seconds(self):
        """User and system time used so far."""
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self):
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0


def stop_all(processes, limit=8.0):
    """Ends processes: SIGTERM, and SIGKILL for those that are still there after the limit."""
    for it in processes:
        it.resume()
        it.terminate()
    end = time.monotonic() + limit
    for it in processes:
        if it.wait(max(0.05, end - time.monotonic())) is None:
            it.kill()
