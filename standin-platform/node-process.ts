/** Starts, signals and watches the operating system process of one node. */
import { spawn } from 'node:child_process';
import type { ChildProcess, StdioOptions } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';
import type { Records } from './records.js';
import type { Role } from './deploy-file.js';

/** What a node process is started with; `edge` is the address of the proxy, which records name it by. */
export type NodeSpec = {
  readonly name: string;
  readonly role: Role;
  readonly core: boolean;
  readonly edge: string;
  readonly root: string;
  readonly settingsFile: string;
  readonly logFile: string;
};

/** An exit that was not requested by SIGTERM or SIGKILL. */
export type ProcessExit = { readonly name: string; readonly code: number | null; readonly signal: string | null };

/** Who reads the log of a process: a file, or nobody, as the other end of its pipe is closed. */
export type LogReader = 'file' | 'gone';

/** A node process that can be started again after each exit; `ended` resolves once the last one has exited. */
export type NodeProcess = {
  readonly name: string;
  readonly start: (logReader?: LogReader) => void;
  readonly signal: (sig: 'SIGTERM' | 'SIGKILL' | 'SIGHUP' | 'SIGSTOP' | 'SIGCONT') => void;
  readonly isRunning: () => boolean;
  /** The id of the process, or null while none runs. */
  readonly pid: () => number | null;
  readonly ended: () => Promise<void>;
  readonly unexpectedExits: () => readonly ProcessExit[];
};

/** Creates the handle of a node process without starting it. Starts and signals but SIGHUP are recorded as faults. */
export function createNodeProcess(spec: NodeSpec, records: Records): NodeProcess {
  let child: ChildProcess | null = null;
  let exited: Promise<void> = Promise.resolve();
  let isStopRequested = false;
  const exits: ProcessExit[] = [];

  /** Starts the process with standard output and error that go to its log file, or to a pipe without a reader. */
  function spawnProcess(logReader: LogReader): ChildProcess {
    const env: NodeJS.ProcessEnv = { MILLFIELD_CONFIG: spec.settingsFile };
    for (const name of ['PATH', 'HOME', 'LANG']) if (process.env[name] !== undefined) env[name] = process.env[name];
    const log = logReader === 'file' ? openSync(spec.logFile, 'a') : null;
    const stdio: StdioOptions = ['ignore', log ?? 'pipe', log ?? 'pipe'];
    const spawned = spawn(spec.role.command, [...spec.role.args], { cwd: spec.root, env, stdio });
    if (log !== null) closeSync(log);
    for (const stream of [spawned.stdout, spawned.stderr]) stream?.destroy();
    return spawned;
  }
  function start(logReader: LogReader = 'file'): void {
    if (child) return;
    const spawned = spawnProcess(logReader);
    child = spawned;
    isStopRequested = false;
    records.add({ what: 'planned', edge: spec.edge, core: spec.core, fault: 'start' });
    function wait(resolve: () => void): void {
      function onExit(code: number | null, signal: string | null): void {
        if (child === spawned) child = null;
        if (!isStopRequested) exits.push({ name: spec.name, code, signal });
        resolve();
      }
      function onSpawnError(): void {
        onExit(127, null);
      }
      spawned.once('exit', onExit);
      spawned.once('error', onSpawnError);
    }
    exited = new Promise<void>(wait);
  }

  function signal(sig: 'SIGTERM' | 'SIGKILL' | 'SIGHUP' | 'SIGSTOP' | 'SIGCONT'): void {
    if (!child) return;
    if (sig === 'SIGTERM' || sig === 'SIGKILL') isStopRequested = true;
    const recordedFault = (
      { SIGTERM: 'term', SIGKILL: 'kill', SIGSTOP: 'freeze', SIGCONT: 'thaw', SIGHUP: null } as const
    )[sig];
    if (recordedFault) records.add({ what: 'planned', edge: spec.edge, core: spec.core, fault: recordedFault });
    child.kill(sig);
  }
  function isRunning(): boolean {
    return child !== null;
  }
  function pid(): number | null {
    return child?.pid ?? null;
  }
  function ended(): Promise<void> {
    return exited;
  }
  function unexpectedExits(): readonly ProcessExit[] {
    return exits;
  }
  return { name: spec.name, start, signal, isRunning, pid, ended, unexpectedExits };
}
