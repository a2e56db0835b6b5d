#!/usr/bin/env python3
"""Runs the fault matrix of docs/FAULTS.md and prints it with the results.

usage: faults.py BUILD_DIR [--list]

Each test program named in the page runs once, restricted to the named cases.
The exit status is 1 when a case fails, is skipped or does not exist, or when a
cell has neither a case nor a reason. Programs listed in KNOWN-RED.txt may fail
and are printed; if "case:" lines follow there, only these cases may, and the
program must end. --list checks the page without running tests.
"""
import os
import re
import subprocess
import sys

PAGE = "docs/FAULTS.md"
KNOWN_RED = "KNOWN-RED.txt"
PROGRAM_TIMEOUT_S = 400
CASE = re.compile(r"\btest_\w+:[\w/]+\.[\w/]+")
NOT_PROVED = "not proved: "
N_ROWS = 12


def read_table(path):
    """Returns the column names and, for each row, its name and cells."""
    lines = [ln.strip() for ln in open(path, encoding="utf-8")]
    rows = [
        [cell.strip() for cell in ln.strip("|").split("|")]
        for ln in lines
        if ln.startswith("|")
    ]
    columns = rows[0][1:]
    body = [(row[0], row[1:]) for row in rows[2:]]
    return columns, body


def format_errors(columns, body):
    """Returns the format errors of the table as messages."""
    errors = []
    if len(body) != N_ROWS:
        errors.append(f"{len(body)} rows, expected {N_ROWS}")
    for name, cells in body:
        if len(cells) != len(columns):
            errors.append(f"{name}: {len(cells)} cells, {len(columns)} columns")
        for column, cell in zip(columns, cells):
            reason = cell.startswith(NOT_PROVED) and len(cell) > len(NOT_PROVED)
            rest = re.sub(r"[\s`,]", "", CASE.sub("", cell))
            if not reason and (rest or not CASE.search(cell)):
                errors.append(f"{name}, {column}: {cell!r}")
    return errors


def cases_by_program(body):
    """Returns the cases in the table as a set for each program."""
    found = {}
    for _, cells in body:
        for cell in cells:
            for ref in CASE.findall(cell):
                program, case = ref.split(":")
                found.setdefault(program, set()).add(case)
    return found


def existing_cases(path):
    """Returns the names of all cases of a test program."""
    if not os.path.exists(path):
        return set()
    out = subprocess.run(
        [path, "--gtest_list_tests"], capture_output=True, text=True, timeout=60
    ).stdout
    names = set()
    suite = ""
    for line in out.splitlines():
        word = line.split("#")[0].rstrip()
        if word.endswith(".") and not word.startswith(" "):
            suite = word
        elif word.startswith("  "):
            names.add(suite + word.strip())
    return names


def run(path, cases):
    """Runs the cases of one program.

    Returns pass or FAIL for each, and whether the program ran to its end.
    """
    log_path = f"{path}.faults.log"
    with open(log_path, "w", encoding="utf-8") as log:
        status = subprocess.run(
            ["timeout", str(PROGRAM_TIMEOUT_S), path,
             "--gtest_filter=" + ":".join(sorted(cases))],
            stdout=log, stderr=subprocess.STDOUT, check=False,
        ).returncode
    text = open(log_path, encoding="utf-8", errors="replace").read()
    passed = set(re.findall(r"^\[       OK \] ([\w/]+\.[\w/]+)", text, re.M))
    ended = status in (0, 1) and re.search(r"^\[=+\] .* ran\.", text, re.M)
    words = {c: "pass" if c in passed else "FAIL" for c in cases}
    return words, bool(ended)


def known_red():
    """Returns the cases that each program of KNOWN-RED.txt may fail.

    None stands for all cases.
    """
    known = {}
    if not os.path.exists(KNOWN_RED):
        return known
    text = open(KNOWN_RED, encoding="utf-8").read()
    for program, lines in re.findall(
        r"^test: (\S+)\n((?:case: .*\n)*)", text + "\n", re.M
    ):
        cases = set(re.findall(r"^case: (\S+)", lines, re.M))
        if not cases or known.get(program, cases) is None:
            known[program] = None
        else:
            known.setdefault(program, set()).update(cases)
    return known


def excused(known, program, case, ended):
    """Returns whether KNOWN-RED.txt permits the case to fail."""
    if program not in known:
        return False
    return known[program] is None or (ended and case in known[program])


def cell_result(cell, results):
    """Returns the result to print for a cell."""
    if cell.startswith(NOT_PROVED):
        return "-"
    seen = {results[ref] for ref in CASE.findall(cell)}
    for word in ("FAIL", "absent", "known red"):
        if word in seen:
            return word
    return "pass"


def print_table(columns, body, results):
    """Prints one line per row, then the reasons of unproved cells."""
    width = max(len(name) for name, _ in body)
    for number, column in enumerate(columns, 1):
        print(f"{number:2} {column}")
    print(" " * width, *(f"{n:>9}" for n in range(1, len(columns) + 1)))
    unproved = 0
    for name, cells in body:
        results_of_row = [cell_result(cell, results) for cell in cells]
        unproved += results_of_row.count("-")
        print(name.ljust(width), *(f"{w:>9}" for w in results_of_row))
    print()
    for name, cells in body:
        for column, cell in zip(columns, cells):
            if cell.startswith(NOT_PROVED):
                print(f"not proved: {name} / {column}: "
                      f"{cell[len(NOT_PROVED):]}")
    total = len(body) * len(columns)
    print(f"cells: {total}, named a case: {total - unproved}, "
          f"not proved: {unproved}")


def main():
    """Checks the page, runs its cases and prints the table."""
    build = sys.argv[1]
    columns, body = read_table(PAGE)
    errors = format_errors(columns, body)
    known = known_red()
    results = {}
    for program, cases in sorted(cases_by_program(body).items()):
        path = os.path.join(build, "test", program)
        existing = existing_cases(path)
        for case in sorted(cases - existing):
            errors.append(f"{program}:{case} does not exist")
            results[f"{program}:{case}"] = "absent"
        if "--list" in sys.argv or not cases & existing:
            continue
        words, ended = run(path, cases & existing)
        for case, word in sorted(words.items()):
            if word == "FAIL" and excused(known, program, case, ended):
                word = "known red"
            results[f"{program}:{case}"] = word
            print(f"{word} {program}:{case}", flush=True)
    for line in errors:
        print("page:", line)
    if "--list" in sys.argv:
        return 1 if errors else 0
    print_table(columns, body, results)
    return 1 if errors or "FAIL" in results.values() else 0


if __name__ == "__main__":
    sys.exit(main())
