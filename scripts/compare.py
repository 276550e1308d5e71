#!/usr/bin/env python3
"""Plays the same days with the same seeds on two checkouts and compares them.

A day's worth (G in its report) differs more between two seeds than through most
changes. Therefore each pair of a day and a seed is played on both checkouts, and
the mean of the pairs' differences is printed with its standard error.

    scripts/compare.py --bench PROGRAM --site FILE --before DIR --after DIR \\
        --days trouble-1,scale-2 --seeds 5 [--mixes 8] [--vary] [--why TEXT]

DIR is a checkout with a built target/. `--days all` plays all days of the site.
Each play adds an entry to the journal of its checkout. With --keep DIR, the
report and the log lines of each play are kept there.
"""

import argparse
import concurrent.futures
import json
import pathlib
import re
import statistics
import subprocess
import sys
import tempfile
import tomllib

ENDPOINT = re.compile(r"[a-z]+-[0-9a-f]{6,}(@[0-9]+)?")
# First seed of the pairs. Any value works, but results are comparable only for the same one.
FIRST_SEED = 1001


def arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, help="the program that plays days")
    parser.add_argument("--site", required=True, type=pathlib.Path)
    parser.add_argument("--before", required=True, type=pathlib.Path)
    parser.add_argument("--after", type=pathlib.Path, help="if omitted, only --before is played")
    parser.add_argument("--days", default="trouble", help="names or files of days, 'all', or 'trouble' for all but quiet ones")
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds for each day")
    parser.add_argument("--first-seed", type=int, default=FIRST_SEED)
    parser.add_argument("--mixes", type=int, default=0, help="number of days with random faults of the site")
    parser.add_argument("--vary", action="store_true", help="vary the times and parameters of the days")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--keep", type=pathlib.Path)
    parser.add_argument("--why", default="paired comparison")
    return parser.parse_args()


def plays_of(options):
    """Returns the pairs of a day and a seed to play."""
    days = [each["name"] for each in tomllib.loads(options.site.read_text())["day"]]
    if options.days == "trouble":
        days = [each for each in days if not each.startswith("quiet")]
    elif options.days != "all":
        days = [each for each in options.days.split(",") if each]
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    plays = [(day, seed) for day in days for seed in seeds]
    return plays + [("mix", options.first_seed + i) for i in range(options.mixes)]


def cause(line):
    """Returns the cause of a failed or late request without endpoint ids; None for other lines."""
    start = line.find("{")
    if start < 0 or '"ended"' not in line:
        return None
    try:
        entry = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(entry, dict) or entry.get("event") != "ended":
        return None
    outcome, status = entry.get("outcome"), entry.get("status", 0)
    if status in (401, 404):
        return None
    if outcome == "passed":
        return "late" if status < 400 and entry.get("late") else None
    return f"{outcome} {status}: " + ENDPOINT.sub("E", entry.get("reason", ""))


def play(options, checkout, day, seed, where):
    """Plays one day; returns its report with the causes, or a dict with "error" on failure."""
    report = (where / f"{checkout.name}-{pathlib.Path(day).stem}-{seed}.json").resolve()
    command = [options.bench, "run", str(options.site.resolve()), day, "--seed", str(seed),
               "--log", "all", "--report", str(report), "--why", options.why]
    if options.vary:
        command.append("--vary")
    done = subprocess.run(command, cwd=checkout, capture_output=True, text=True,
                          errors="replace", check=False)
    if options.keep:
        report.with_suffix(".log").write_text(done.stdout + done.stderr)
    if not report.exists():
        return {"error": (done.stdout + done.stderr)[-300:]}
    result = json.loads(report.read_text())
    causes = {}
    for line in (done.stdout + done.stderr).splitlines():
        why = cause(line)
        if why:
            causes[why] = causes.get(why, 0) + 1
    result["causes"] = causes
    return result


def mean_and_error(values):
    if len(values) < 2:
        return (values[0] if values else 0.0), 0.0
    return statistics.mean(values), statistics.stdev(values) / len(values) ** 0.5


def parts(report):
    found = {f"part {name}": value for name, _, value in report["parts"]}
    found.update({f"price {name}": cost for name, _, cost in report["prices"] if cost > 0.0005})
    found["served"] = report["served"]
    found["unserved"] = report["unserved"]
    return found


def spread(values):
    deviation = statistics.stdev(values) if len(values) > 1 else 0.0
    return f"{statistics.mean(values):6.3f} ±{deviation:.3f} (minimum {min(values):.3f})"


def table(title, pairs, of):
    """Prints means before and after, and their difference, of the values that `of` returns."""
    keys = {}
    for before, after in pairs:
        for report in (before, after):
            for key, value in of(report).items():
                keys[key] = keys.get(key, 0) + abs(value)
    print(f"\n{title:58} before    after     change")
    for key in sorted(keys, key=keys.get, reverse=True)[:24]:
        firsts = [of(before).get(key, 0) for before, _ in pairs]
        seconds = [of(after).get(key, 0) for _, after in pairs]
        change, error = mean_and_error([b - a for a, b in zip(firsts, seconds)])
        print(f"  {key[:56]:56} {statistics.mean(firsts):9.4f} {statistics.mean(seconds):9.4f}"
              f" {change:+9.4f} ±{error:.4f}")


def main():
    options = arguments()
    checkouts = [options.before] + ([options.after] if options.after else [])
    plays = plays_of(options)
    keep = options.keep or pathlib.Path(tempfile.mkdtemp())
    keep.mkdir(parents=True, exist_ok=True)
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        futures = {(checkout, day, seed): pool.submit(play, options, checkout, day, seed, keep)
                   for day, seed in plays for checkout in checkouts}
    results = {key: future.result() for key, future in futures.items()}
    failed = {key: result for key, result in results.items() if "error" in result}
    for (checkout, day, seed), result in failed.items():
        print(f"{checkout.name} {day} seed {seed} was not played: {result['error']}")
    broken = 0
    for (checkout, day, seed), result in results.items():
        if result.get("breaks") or result.get("fault"):
            broken += 1
            print(f"{checkout.name} {day} seed {seed}: rules {result.get('breaks')}"
                  f" fault {result.get('fault')} {result.get('first')}")
    good = [play for play in plays if not any((c, *play) in failed for c in checkouts)]
    pairs = [(results[(checkouts[0], *each)], results[(checkouts[-1], *each)]) for each in good]
    print(f"{options.site.stem}: {len(good)} pairs, {broken} plays with a broken rule or a fault")
    for day in sorted({day for day, _ in good}):
        these = [pair for (name, _), pair in zip(good, pairs) if name == day]
        change, error = mean_and_error([after["G"] - before["G"] for before, after in these])
        print(f"{pathlib.Path(day).stem:28} before {spread([b['G'] for b, _ in these])}"
              f"  after {spread([a['G'] for _, a in these])}  change {change:+.3f} ±{error:.3f}")
    change, error = mean_and_error([after["G"] - before["G"] for before, after in pairs])
    print(f"{'all':28} before {spread([b['G'] for b, _ in pairs])}"
          f"  after {spread([a['G'] for _, a in pairs])}  change {change:+.3f} ±{error:.3f}")
    table("parts of the worth and prices", pairs, parts)
    table("failed or late requests per day, by cause", pairs, lambda report: report["causes"])
    return 1 if failed or broken else 0


if __name__ == "__main__":
    sys.exit(main())
