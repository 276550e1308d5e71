#!/usr/bin/env python3
"""Summarizes journal/ in a table with a row for each site, commit, command and purpose.

    scripts/runs.py [--since DATE] [--site NAME] [--head COMMIT] [--command hunt]

Rows are ordered by the start of their first run. `worth` is the mean and the minimum worth (G)
of the days played; `broken` counts the days on which a rule was broken, by rule.
"""

import argparse
import collections
import json
import pathlib
import statistics

MAX_WHY_LENGTH = 80


def arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--journal", type=pathlib.Path,
                        default=pathlib.Path(__file__).resolve().parent.parent / "journal")
    parser.add_argument("--since", default="", help="only runs that started at this time or later")
    parser.add_argument("--site", default="", help="part of the site's name")
    parser.add_argument("--head", default="", help="prefix of the played commit")
    parser.add_argument("--command", default="", help="score, run, hunt, replay, sweep ...")
    return parser.parse_args()


def wanted(run, options):
    return (run["at"][0] >= options.since and options.site in (run["site"] or "")
            and run["head"].startswith(options.head) and options.command in ("", run["cmd"]))


def runs_of(options):
    entries = (json.loads(each.read_text()) for each in options.journal.glob("*.json"))
    return sorted((each for each in entries if wanted(each, options)), key=lambda run: run["at"])


def worth_of(days):
    worths = [day["G"] for day in days if isinstance(day.get("G"), float)]
    return f"{statistics.mean(worths):.3f}, {min(worths):.3f}" if worths else "-"


def broken_in(days):
    counts = collections.Counter(rule for day in days for rule in day.get("rules") or {})
    return ", ".join(f"{rule} {count}" for rule, count in sorted(counts.items())) or "-"


def row(key, runs):
    site, head, command, why = key
    days = [day for run in runs for day in run["days"] or []]
    scores = ", ".join(f"{run['score']:.3f}" for run in runs if run["score"] is not None) or "-"
    unfinished = sum(1 for run in runs if not run["ok"])
    plays = f"{len(runs)}" + (f" ({unfinished} not ok)" if unfinished else "")
    return (f"| {site} | {head} | {command} | {plays} | {len(days)} | {scores} | "
            f"{worth_of(days)} | {broken_in(days)} | {why[:MAX_WHY_LENGTH]} |")


def main():
    groups = collections.defaultdict(list)
    for run in runs_of(arguments()):
        code = run["head"][:7] + ("+" if run["dirty"] else "")
        groups[run["site"], code, run["cmd"], run["why"] or ""].append(run)
    print("| site | code | command | runs | days | score | worth: mean, minimum | broken | why |")
    print("|---|---|---|---|---|---|---|---|---|")
    for key, runs in groups.items():
        print(row(key, runs))


if __name__ == "__main__":
    main()
