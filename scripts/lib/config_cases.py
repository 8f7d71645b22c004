"""Runs `pimentofoldctl config check` on each configuration in a folder and compares output and exit code.

NAME.json is checked, against NAME.previous.json if that exists. NAME.expected has the exit code, the exit code with
--strict, and the text output. The JSON output must have the same findings."""
import json
import pathlib
import re
import subprocess
import sys

BIN = pathlib.Path(__file__).resolve().parents[2] / "build" / "bin" / "pimentofoldctl"
LIMIT_SECONDS = 30
FINDING = re.compile(r"^[^ :]+:(?:(\d+):(\d+):)? (error|warning|difference): (.*) \[(\w+)\]$")


def check(folder, arguments):
    return subprocess.run([str(BIN), "config", "check", *arguments], cwd=folder, capture_output=True, text=True, timeout=LIMIT_SECONDS)


def findings_of_text(text):
    """Returns the findings of the text output as (kind, line, column, field and message, code)."""
    matches = [FINDING.match(line) for line in text.splitlines()[:-1]]
    return sorted((it[3], int(it[1] or 0), int(it[2] or 0), it[4], it[5]) for it in matches)


def findings_of_json(output):
    return sorted((kind, it["line"], it["column"], (it["field"] + ": " if it["field"] else "") + it["message"], it["code"])
                  for kind in ("error", "warning", "difference") for it in output[kind + "s"])


def problems_of(folder, name):
    previous = f"{name}.previous.json"
    arguments = [f"{name}.json"] + (["--against", previous] if (folder / previous).exists() else [])
    text = check(folder, arguments)
    strict = check(folder, arguments + ["--strict"])
    as_json = check(folder, arguments + ["--json"])
    found = f"exit {text.returncode}, with --strict {strict.returncode}\n{text.stdout}{text.stderr}"
    if found != (folder / f"{name}.expected").read_text():
        return f"found:\n{found}"
    if as_json.returncode != text.returncode or strict.stdout != text.stdout:
        return f"exit code with --json {as_json.returncode}, or output with --strict differs"
    if findings_of_json(json.loads(as_json.stdout)) != findings_of_text(text.stdout):
        return f"the JSON output differs:\n{as_json.stdout}"
    return ""


def run(folder):
    """Returns the exit status of the case."""
    names = sorted(it.name[: -len(".expected")] for it in folder.glob("*.expected"))
    status = 0 if names else 1
    for name in names:
        problem = problems_of(folder, name)
        if problem:
            print(f"FAILED: {folder.name}/{name}: {problem}")
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(run(pathlib.Path(sys.argv[1]).resolve()))
