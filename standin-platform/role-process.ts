/**
 * Runs single processes of the roles, built from the sources, for tests of how they start and stop. Each process has a
 * loopback address and a data folder of its own.
 */
import { execFileSync, spawn } from 'node:child_process';
import type { ChildProcess, StdioOptions } from 'node:child_process';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { readDeployFile } from './deploy-file.js';
import type { Role } from './deploy-file.js';

/** The roles of the deploy file. */
export const ROLE_NAMES = ['controller', 'proxy'] as const;
/** One of the roles. */
export type RoleName = (typeof ROLE_NAMES)[number];

/** The ports of each process. */
export const ROLE_PORT = {
  first: 7_720,
  front: 8_161,
  control: 8_166,
  readiness: 8_167,
  directory: 8_168,
  list: 8_169,
} as const;
/** Time between SIGTERM and SIGKILL. */
export const GRACE_PERIOD_S = 8;

/** How a process ended. */
export type ProcessEnd = { readonly code: number | null; readonly signal: NodeJS.Signals | null };
/** A running process of a role, and what it has logged so far, if its log is a pipe. */
export type RoleProcess = { readonly child: ChildProcess; readonly ended: Promise<ProcessEnd>; log: string };
/** Where one process listens, and its settings file and data folder. */
export type RoleInstance = { readonly ip: string; readonly path: string; readonly dataFolder: string };

/** Processes of roles in a temporary folder. */
export class RoleProcesses {
  readonly folder: string;
  private readonly roles = readDeployFile('deploy/system.toml').roles;
  private readonly net = 100 + (process.pid % 100);
  private readonly children: ChildProcess[] = [];
  private instanceCount = 0;

  /** `subnet` separates the addresses of test files that run in the same process. */
  constructor(private readonly subnet: number) {
    this.folder = mkdtempSync(join(tmpdir(), 'millfield-roles-'));
  }

  /** Builds all roles from the sources. */
  build(): void {
    execFileSync(process.execPath, ['platform/build.mjs', this.folder], { stdio: 'pipe' });
  }

  nextInstance(): RoleInstance {
    this.instanceCount += 1;
    const dataFolder = join(this.folder, `data-${this.instanceCount}`);
    mkdirSync(dataFolder);
    return {
      ip: `127.${this.net}.${this.subnet}.${this.instanceCount}`,
      path: join(this.folder, `settings-${this.instanceCount}.toml`),
      dataFolder,
    };
  }

  /** Creates an instance with its settings file. */
  configuredInstance(role: RoleName): RoleInstance {
    const instance = this.nextInstance();
    writeFileSync(instance.path, roleSettings(role, instance));
    return instance;
  }

  /** Starts a process; its log is kept unless `stdio` sends it elsewhere. */
  start(name: RoleName, settingsFile: string, stdio: StdioOptions = 'pipe'): RoleProcess {
    const role = this.roles.find((each) => each.name === name) as Role;
    const args = role.args.map((arg) => arg.replace(/^target\//, `${this.folder}/`));
    const env = { PATH: process.env['PATH'], MILLFIELD_CONFIG: settingsFile };
    const child = spawn(role.command, args, { env, stdio });
    this.children.push(child);
    const ended = new Promise<ProcessEnd>((done) => child.once('exit', (code, signal) => done({ code, signal })));
    const running: RoleProcess = { child, ended, log: '' };
    for (const stream of [child.stdout, child.stderr]) stream?.on('data', (part) => (running.log += String(part)));
    return running;
  }

  /** Kills the processes that still run. */
  killAll(): void {
    for (const child of this.children.splice(0)) child.kill('SIGKILL');
  }

  removeFolder(): void {
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Returns the text of the settings file of an instance that is the only machine of its site. */
export function roleSettings(role: RoleName, { ip, dataFolder }: RoleInstance): string {
  const isCore = role === 'controller';
  const addresses = isCore
    ? `control = "${ip}:${ROLE_PORT.control}"\ndirectory = "${ip}:${ROLE_PORT.directory}"`
    : `front = "${ip}:${ROLE_PORT.front}"\nreadiness = "${ip}:${ROLE_PORT.readiness}"`;
  return `
nodeName = "${role}-1"
role = "${role}"
machineClass = "${isCore ? 'core' : 'edge'}"
serves = ${isCore ? '["control_plane", "registry"]' : '["edge"]'}
ip = "${ip}"
zone = "a"
region = "north"
portRange = [${ROLE_PORT.first}, 7735]
seeds = ["${ip}:${ROLE_PORT.control}"]
initial = true
${isCore ? `dataDir = "${dataFolder}"` : ''}
[zones]
a = "north"
[bindAddrs]
${addresses}
[limits]
cpuShare = 1.0
memoryMb = 350
diskMb = 128
[bounds]
gracePeriodS = ${GRACE_PERIOD_S}
[platformApi]
address = "${ip}:${ROLE_PORT.list}"
ratePerS = 40.0
duties = []
maxLagMs = 800
`;
}

/** Resolves once `condition` holds. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((done) => setImmediate(done));
}
