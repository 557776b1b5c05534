import { resolve } from 'node:path';
import { describe, expect, test } from '@jest/globals';
import { machinesOf, readDeployFile } from './deploy-file.js';
import type { Role } from './deploy-file.js';

const { build, roles } = readDeployFile(resolve('deploy/system.toml'));
const HELPERS = ['env', 'npx', 'npm', 'sh', 'bash', 'nohup', 'setsid'];

function serving(what: string): readonly Role[] {
  return roles.filter((r) => r.serves.includes(what));
}

describe("the project's deploy file", () => {
  test('builds by one line into target/', () => {
    expect(build).toContain('npm ci');
    for (const r of roles) expect(r.args.some((a) => a.startsWith('target/'))).toBe(true);
  });
  test('runs programs by themselves, without shell or helper', () => {
    for (const r of roles) {
      expect(HELPERS).not.toContain(r.command);
      expect([r.command, ...r.args].join(' ')).not.toMatch(/[|&;<>$"'`]/);
    }
  });
  test('has clients, operators and those who ask where to go served', () => {
    for (const what of ['edge', 'control_plane', 'registry']) expect(serving(what).length).toBeGreaterThan(0);
  });
  test('lets no two roles of a class serve the same, and puts no more than two on a machine', () => {
    for (const on of new Set(roles.map((r) => r.on))) {
      const here = roles.filter((r) => r.on === on);
      const served = here.flatMap((r) => r.serves);
      expect(new Set(served).size).toBe(served.length);
      expect(here.length).toBeLessThanOrEqual(2);
    }
  });
  test('says for each role on how many machines it runs', () => {
    for (const r of roles) {
      expect((r.share === null) !== (r.count === null)).toBe(true);
      expect(machinesOf(r, 5)).toBeGreaterThan(0);
    }
  });
  test('the role that carries the traffic runs on every machine of its class', () => {
    const part = { name: 'x', command: 'x', args: [], on: 'edge', serves: ['edge'], share: 0.2, count: null };
    expect([
      machinesOf(part, 5),
      machinesOf({ ...part, serves: [] }, 5),
      machinesOf({ ...part, serves: [], share: null, count: 3 }, 5),
    ]).toEqual([5, 1, 3]);
  });
});
