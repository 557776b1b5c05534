import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Disk, DiskFault, DiskFile } from '../transport/disk.js';
import { below } from '../transport/rng.js';
import type { Proc, World } from './world.js';

type Write = { readonly at: number; readonly data: Buffer };
type File = { current: Buffer; synced: Buffer; unsynced: Write[] };

export type Platter = { readonly files: Map<string, File>; full: boolean; failing: boolean; lies: boolean };

export function createPlatter(): Platter {
  return { files: new Map(), full: false, failing: false, lies: false };
}

export function losePower(platter: Platter, world: World): void {
  for (const file of platter.files.values()) {
    const kept = Buffer.from(file.synced);
    for (const w of file.unsynced) {
      const fate = below(world.rng, 3);
      if (fate === 0) continue;
      const length = fate === 1 ? w.data.length : below(world.rng, w.data.length + 1);
      w.data.copy(kept, w.at, 0, length);
    }
    file.current = kept;
    file.synced = Buffer.from(kept);
    file.unsynced = [];
  }
}

export function loseDisk(platter: Platter): void {
  platter.files.clear();
}

export function simDisk(platter: Platter, proc: Proc, world: World): Disk {
  const clock = world.clockOf(proc);

  function later<T>(work: () => T): Promise<T> {
    function start(resolve: (v: T) => void): void {
      function done(): void {
        resolve(work());
      }
      clock.timer(0.2 + world.rng.next() * 1.5, done);
    }
    return new Promise(start);
  }

  function broken(file: string): Result<never, DiskFault> {
    return err({ tag: 'diskFailed', file, code: 'EIO' });
  }

  function fileOf(name: string, file: File): DiskFile {
    function read(length = file.current.length): Promise<Result<Buffer, DiskFault>> {
      return Promise.resolve(ok(Buffer.from(file.current.subarray(0, length))));
    }
    function write(at: number, data: Buffer): Promise<Result<null, DiskFault>> {
      if (platter.failing) return Promise.resolve(broken(name));
      data.copy(file.current, at);
      file.unsynced.push({ at, data: Buffer.from(data) });
      return Promise.resolve(ok(null));
    }
    function sync(): Promise<Result<null, DiskFault>> {
      const covered = file.unsynced.length;
      function done(): Result<null, DiskFault> {
        if (platter.failing) return broken(name);
        if (platter.lies) return ok(null);
        for (const w of file.unsynced.splice(0, covered)) w.data.copy(file.synced, w.at);
        return ok(null);
      }
      return later(done);
    }
    return { read, write, sync };
  }

  function list(): Promise<Result<string[], DiskFault>> {
    return Promise.resolve(ok([...platter.files.keys()].sort()));
  }
  function preallocated(name: string, size: number): Promise<Result<DiskFile, DiskFault>> {
    const have = platter.files.get(name);
    if (have && have.current.length >= size) return Promise.resolve(ok(fileOf(name, have)));
    if (platter.full) return Promise.resolve(err({ tag: 'diskFull', file: name }));
    const made: File = { current: Buffer.alloc(size), synced: Buffer.alloc(size), unsynced: [] };
    platter.files.set(name, made);
    return Promise.resolve(ok(fileOf(name, made)));
  }
  function replace(name: string, data: Buffer): Promise<Result<null, DiskFault>> {
    function done(): Result<null, DiskFault> {
      if (platter.failing) return broken(name);
      if (platter.full) return err({ tag: 'diskFull', file: name });
      platter.files.set(name, { current: Buffer.from(data), synced: Buffer.from(data), unsynced: [] });
      return ok(null);
    }
    return later(done);
  }
  function load(name: string): Promise<Result<Buffer | null, DiskFault>> {
    const have = platter.files.get(name);
    return Promise.resolve(ok(have ? Buffer.from(have.current) : null));
  }
  return { list, preallocated, replace, load };
}
