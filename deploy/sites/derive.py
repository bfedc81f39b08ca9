#!/usr/bin/env python3
"""Derives a customer's site for the standing bench from a given one and a list of differences.

    deploy/sites/derive.py print-hub clip-desk

For each NAME, `deploy/sites/NAME.toml` says where it starts (`base`, a path below `../given`) and what differs
(`set`: section, place among the sections of that name, key, value; `drop`: section, place, key). The site goes to
`deploy/sites/derived/NAME/`, with the `real.json`, `wire.json` and `unlock.txt` that lie beside its base, or else
beside the wire file that its base names. What is derived is never committed.
"""

import pathlib
import shutil
import sys
import tomllib

HERE = pathlib.Path(__file__).resolve().parent
GIVEN = HERE.parent.parent.parent / "given"
BESIDE = ["real.json", "wire.json", "unlock.txt"]


def section_of(line):
    """The section that a line begins, if it begins one."""
    text = line.strip()
    return text.strip("[]") if text.startswith("[") and text.endswith("]") and "=" not in text else None


def key_of(line):
    name, sep, _ = line.partition("=")
    return name.strip() if sep else None


def worded(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return "[" + ", ".join(worded(v) for v in value) + "]"
    return repr(value)


def bounds(lines, section, place):
    """First and last line of the place-th section of a name; of the head where the name is empty."""
    starts = [k for k, line in enumerate(lines) if section_of(line) == section] if section else [-1]
    if place >= len(starts):
        sys.exit(f"derive.py: no section {section!r} at place {place}")
    start = starts[place] + 1
    end = next((k for k in range(start, len(lines)) if section_of(lines[k]) is not None), len(lines))
    return start, end


def apply(lines, change, value):
    start, end = bounds(lines, change.get("section", ""), change.get("place", 0))
    at = next((k for k in range(start, end) if key_of(lines[k]) == change["key"]), None)
    if value is None:
        if at is None:
            sys.exit(f"derive.py: nothing to drop: {change}")
        del lines[at]
    elif at is None:
        lines.insert(start, f"{change['key']} = {worded(value)}")
    else:
        lines[at] = f"{change['key']} = {worded(value)}"


def beside(base, name):
    """A file that belongs to a base site: next to it, or next to the wire file that it names."""
    with open(base, "rb") as file:
        wire = tomllib.load(file)["wire"]
    places = [base.parent / name, (base.parent / wire).parent / name]
    found = next((place for place in places if place.is_file()), None)
    if found is None:
        sys.exit(f"derive.py: {name} is neither beside {base} nor beside its wire file")
    return found


def derive(name):
    with open(HERE / f"{name}.toml", "rb") as file:
        wanted = tomllib.load(file)
    base = GIVEN / wanted["base"]
    if not base.is_file():
        sys.exit(f"derive.py: {base} is not here: sites can be derived only where the operators' kit is laid")
    lines = base.read_text().splitlines()
    apply(lines, {"key": "name"}, name)
    apply(lines, {"key": "wire"}, "wire.json")
    for change in wanted.get("set", []):
        apply(lines, change, change["value"])
    for change in wanted.get("drop", []):
        apply(lines, change, None)
    text = "\n".join(lines) + "\n"
    tomllib.loads(text)
    out = HERE / "derived" / name
    out.mkdir(parents=True, exist_ok=True)
    (out / f"{name}.toml").write_text(text)
    for other in BESIDE:
        target = out / other
        target.unlink(missing_ok=True)
        shutil.copyfile(beside(base, other), target)
    print(out / f"{name}.toml")


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    for site in sys.argv[1:]:
        derive(site)
