import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { closeSync, openSync } from 'node:fs';
import type { Records } from './records.js';
import type { Role } from './deploy-file.js';

export type NodeSpec = {
  readonly name: string;
  readonly role: Role;
  readonly core: boolean;
  readonly edge: string;
  readonly root: string;
  readonly settingsFile: string;
  readonly logFile: string;
};

export type End = { readonly name: string; readonly code: number | null; readonly signal: string | null };

export type NodeProcess = {
  readonly name: string;
  readonly start: () => void;
  readonly signal: (sig: 'SIGTERM' | 'SIGKILL' | 'SIGHUP' | 'SIGSTOP' | 'SIGCONT') => void;
  readonly runs: () => boolean;
  readonly ended: () => Promise<void>;
  readonly ownEnds: () => readonly End[];
};

export function createNodeProcess(spec: NodeSpec, records: Records): NodeProcess {
  let child: ChildProcess | null = null;
  let gone: Promise<void> = Promise.resolve();
  let asked = false;
  const ends: End[] = [];

  function start(): void {
    if (child) return;
    const log = openSync(spec.logFile, 'a');
    const env: NodeJS.ProcessEnv = { MILLFIELD_CONFIG: spec.settingsFile };
    for (const name of ['PATH', 'HOME', 'LANG']) if (process.env[name] !== undefined) env[name] = process.env[name];
    const mine = spawn(spec.role.command, [...spec.role.args], { cwd: spec.root, env, stdio: ['ignore', log, log] });
    closeSync(log);
    child = mine;
    asked = false;
    records.add({ what: 'planned', edge: spec.edge, core: spec.core, fault: 'start' });
    function wait(resolve: () => void): void {
      function exited(code: number | null, signal: string | null): void {
        if (child === mine) child = null;
        if (!asked) ends.push({ name: spec.name, code, signal });
        resolve();
      }
      function failed(): void {
        exited(127, null);
      }
      mine.once('exit', exited);
      mine.once('error', failed);
    }
    gone = new Promise<void>(wait);
  }

  function signal(sig: 'SIGTERM' | 'SIGKILL' | 'SIGHUP' | 'SIGSTOP' | 'SIGCONT'): void {
    if (!child) return;
    if (sig === 'SIGTERM' || sig === 'SIGKILL') asked = true;
    const error = ({ SIGTERM: 'term', SIGKILL: 'kill', SIGSTOP: 'freeze', SIGCONT: 'thaw', SIGHUP: null } as const)[
      sig
    ];
    if (error) records.add({ what: 'planned', edge: spec.edge, core: spec.core, fault: error });
    child.kill(sig);
  }
  function runs(): boolean {
    return child !== null;
  }
  function ended(): Promise<void> {
    return gone;
  }
  function ownEnds(): readonly End[] {
    return ends;
  }
  return { name: spec.name, start, signal, runs, ended, ownEnds };
}
