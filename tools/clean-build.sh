#!/usr/bin/env bash
# Runs the build command of deploy/system.toml as on a machine that has only the system packages listed there. Missing
# packages are installed; the PATH of the build contains only their programs, sh and env.
set -euo pipefail
cd "$(dirname "$0")/.."

deploy_value() { sed -n "s/^$1 = //p" deploy/system.toml; }

read -ra packages <<<"$(deploy_value packages | tr -d '[]",')"
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -q
  apt-get install -yq --no-install-recommends "${missing[@]}"
fi

programs=$(mktemp -d)
trap 'rm -rf "$programs"' EXIT
for package in "${packages[@]}"; do
  for program in $(dpkg -L "$package" | grep -E '^/(usr/)?bin/[^/]+$'); do
    ln -sf "$program" "$programs/"
  done
done
for essential in sh env; do
  ln -sf "$(command -v "$essential")" "$programs/"
done

PATH="$programs" sh -c "$(deploy_value build | sed 's/^"//; s/"$//')"
echo "Built with only the programs of these packages: ${packages[*]}"
