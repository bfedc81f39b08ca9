#!/usr/bin/env python3
"""Generates a customer's benchmark site from an existing site and a list of changes.

    deploy/sites/derive.py print-hub clip-desk

For each NAME, `deploy/sites/NAME.toml` names the base site (`base`, a path relative to the folder `given`
next to the repository) and the changes (`set`: section, place, key, value; `drop`: section, place, key;
`place` is the index among the sections with the same name). The site is written to
`deploy/sites/derived/NAME/`, together with copies of `real.json`, `wire.json` and `unlock.txt` from the folder
of the base or else of the wire file named in the base. Generated sites are not committed.
"""

import pathlib
import shutil
import sys
import tomllib

HERE = pathlib.Path(__file__).resolve().parent
GIVEN = HERE.parent.parent.parent / "given"
COMPANION_FILES = ["real.json", "wire.json", "unlock.txt"]


def section_header(line):
    """Returns the section name if the line is a section header."""
    text = line.strip()
    return text.strip("[]") if text.startswith("[") and text.endswith("]") and "=" not in text else None


def assigned_key(line):
    name, sep, _ = line.partition("=")
    return name.strip() if sep else None


def format_toml_value(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return "[" + ", ".join(format_toml_value(v) for v in value) + "]"
    return repr(value)


def section_range(lines, section, place):
    """Returns the line range of a section; an empty name means the lines before the first section."""
    headers = [k for k, line in enumerate(lines) if section_header(line) == section] if section else [-1]
    if place >= len(headers):
        sys.exit(f"derive.py: the base site has no section {section!r} with index {place}")
    start = headers[place] + 1
    end = next((k for k in range(start, len(lines)) if section_header(lines[k]) is not None), len(lines))
    return start, end


def apply_change(lines, change, value):
    start, end = section_range(lines, change.get("section", ""), change.get("place", 0))
    index = next((k for k in range(start, end) if assigned_key(lines[k]) == change["key"]), None)
    if value is None:
        if index is None:
            sys.exit(
                f"derive.py: the base site has no key {change['key']!r} to drop "
                f"in section {change.get('section', '')!r}"
            )
        del lines[index]
    elif index is None:
        lines.insert(start, f"{change['key']} = {format_toml_value(value)}")
    else:
        lines[index] = f"{change['key']} = {format_toml_value(value)}"


def find_companion(base, name):
    """Finds a file in the folder of a base site, or else in the folder of the wire file it names."""
    with open(base, "rb") as file:
        wire = tomllib.load(file)["wire"]
    candidates = [base.parent / name, (base.parent / wire).parent / name]
    found = next((path for path in candidates if path.is_file()), None)
    if found is None:
        sys.exit(f"derive.py: {name} is neither in the folder of {base} nor in that of its wire file")
    return found


def generate_site(name):
    with open(HERE / f"{name}.toml", "rb") as file:
        definition = tomllib.load(file)
    base = GIVEN / definition["base"]
    if not base.is_file():
        sys.exit(f"derive.py: {base} does not exist; generating sites requires the files in `given`")
    lines = base.read_text().splitlines()
    apply_change(lines, {"key": "name"}, name)
    apply_change(lines, {"key": "wire"}, "wire.json")
    for change in definition.get("set", []):
        apply_change(lines, change, change["value"])
    for change in definition.get("drop", []):
        apply_change(lines, change, None)
    text = "\n".join(lines) + "\n"
    tomllib.loads(text)
    output = HERE / "derived" / name
    output.mkdir(parents=True, exist_ok=True)
    (output / f"{name}.toml").write_text(text)
    for file_name in COMPANION_FILES:
        target = output / file_name
        target.unlink(missing_ok=True)
        shutil.copyfile(find_companion(base, file_name), target)
    print(output / f"{name}.toml")


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    for site in sys.argv[1:]:
        generate_site(site)
