import { resolve } from 'node:path';
import { describe, expect, test } from '@jest/globals';
import { machineCount, readDeployFile } from './deploy-file.js';
import type { Role } from './deploy-file.js';

const { build, roles } = readDeployFile(resolve('deploy/system.toml'));
const WRAPPERS = ['env', 'npx', 'npm', 'sh', 'bash', 'nohup', 'setsid'];

function serving(what: string): readonly Role[] {
  return roles.filter((r) => r.serves.includes(what));
}

describe("the project's deploy file", () => {
  test('builds into target/ with one command', () => {
    expect(build).toContain('npm ci');
    for (const r of roles) expect(r.args.some((a) => a.startsWith('target/'))).toBe(true);
  });
  test('runs programs directly, without a shell or a wrapper', () => {
    for (const r of roles) {
      expect(WRAPPERS).not.toContain(r.command);
      expect([r.command, ...r.args].join(' ')).not.toMatch(/[|&;<>$"'`]/);
    }
  });
  test('has roles that serve clients, operators and directory lookups', () => {
    for (const what of ['edge', 'control_plane', 'registry']) expect(serving(what).length).toBeGreaterThan(0);
  });
  test('has no two roles of a machine class that serve the same, and at most two roles on a machine', () => {
    for (const on of new Set(roles.map((r) => r.on))) {
      const sameClass = roles.filter((r) => r.on === on);
      const served = sameClass.flatMap((r) => r.serves);
      expect(new Set(served).size).toBe(served.length);
      expect(sameClass.length).toBeLessThanOrEqual(2);
    }
  });
  test('says on how many machines each role runs', () => {
    for (const r of roles) {
      expect((r.share === null) !== (r.count === null)).toBe(true);
      expect(machineCount(r, 5)).toBeGreaterThan(0);
    }
  });
  test('the role that carries edge traffic runs on every machine of its class', () => {
    const part = { name: 'x', command: 'x', args: [], on: 'edge', serves: ['edge'], share: 0.2, count: null };
    expect([
      machineCount(part, 5),
      machineCount({ ...part, serves: [] }, 5),
      machineCount({ ...part, serves: [], share: null, count: 3 }, 5),
    ]).toEqual([5, 1, 3]);
  });
});
