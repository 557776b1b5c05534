import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';

export type Role = {
  readonly name: string;
  readonly command: string;
  readonly args: readonly string[];
  readonly on: string;
  readonly serves: readonly string[];
  readonly share: number | null;
  readonly count: number | null;
};

export type DeployFile = {
  readonly packages: readonly string[];
  readonly build: string;
  readonly roles: readonly Role[];
};

type Table = Readonly<Record<string, unknown>>;

export function readDeployFile(path: string): DeployFile {
  const doc = parse(readFileSync(path, 'utf8')) as Table;
  const roles: Role[] = [];
  for (const [name, item] of Object.entries((doc['roles'] ?? {}) as Readonly<Record<string, Table>>)) {
    const [command = '', ...args] = String(item['run']).split(' ');
    roles.push({
      name,
      command,
      args,
      on: String(item['on']),
      serves: Array.isArray(item['serves']) ? item['serves'].map(String) : [],
      share: typeof item['share'] === 'number' ? item['share'] : null,
      count: typeof item['count'] === 'number' ? item['count'] : null,
    });
  }
  const packages = Array.isArray(doc['packages']) ? doc['packages'].map(String) : [];
  return { packages, build: String(doc['build']), roles };
}

export function machinesOf(role: Role, available: number): number {
  if (role.on === 'edge' && role.serves.includes('edge')) return available;
  return role.count === null ? Math.ceil((role.share ?? 1) * available) : Math.min(role.count, available);
}
