/** Reads the deploy file, which says how to build the product and which machines run its roles. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';

/** A role of the deploy file; `on` is the machine class that runs it. */
export type Role = {
  readonly name: string;
  readonly command: string;
  readonly args: readonly string[];
  readonly on: string;
  readonly serves: readonly string[];
  readonly share: number | null;
  readonly count: number | null;
};

/** The parts of a deploy file that the stand-in uses. */
export type DeployFile = {
  readonly packages: readonly string[];
  readonly build: string;
  readonly roles: readonly Role[];
};

type Table = Readonly<Record<string, unknown>>;

/** Reads a deploy file. */
export function readDeployFile(path: string): DeployFile {
  const document = parse(readFileSync(path, 'utf8')) as Table;
  const roles: Role[] = [];
  for (const [name, table] of Object.entries((document['roles'] ?? {}) as Readonly<Record<string, Table>>)) {
    const [command = '', ...args] = String(table['run']).split(' ');
    roles.push({
      name,
      command,
      args,
      on: String(table['on']),
      serves: Array.isArray(table['serves']) ? table['serves'].map(String) : [],
      share: typeof table['share'] === 'number' ? table['share'] : null,
      count: typeof table['count'] === 'number' ? table['count'] : null,
    });
  }
  const packages = Array.isArray(document['packages']) ? document['packages'].map(String) : [];
  return { packages, build: String(document['build']), roles };
}

/** On how many of the available machines a role runs. A role that carries edge traffic runs on all of them. */
export function machineCount(role: Role, available: number): number {
  if (role.on === 'edge' && role.serves.includes('edge')) return available;
  return role.count === null ? Math.ceil((role.share ?? 1) * available) : Math.min(role.count, available);
}
