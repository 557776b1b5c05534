import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Disk, DiskError, DiskFile } from '../transport/disk.js';
import { randomInt } from '../transport/rng.js';
import type { Proc, World } from './world.js';

type Write = { readonly at: number; readonly data: Buffer };
type File = { current: Buffer; synced: Buffer; unsynced: Write[] };

export type Platter = { readonly files: Map<string, File>; full: boolean; failing: boolean; lies: boolean };

export function createPlatter(): Platter {
  return { files: new Map(), full: false, failing: false, lies: false };
}

/** How many bytes, from its start, of a write that was not synced are on the disk after a loss of power. */
export type WriteFate = (bytes: number, index: number) => number;

/** Each write that was not synced is lost, kept, or kept in part. */
export function losePower(platter: Platter, world: World): void {
  function drawn(bytes: number): number {
    const fate = randomInt(world.rng, 3);
    if (fate === 0) return 0;
    return fate === 1 ? bytes : randomInt(world.rng, bytes + 1);
  }
  losePowerWith(platter, drawn);
}

/** The same with the fate of each write chosen by the test; writes are counted over all files. */
export function losePowerWith(platter: Platter, fate: WriteFate): void {
  let index = 0;
  for (const file of platter.files.values()) {
    const kept = Buffer.from(file.synced);
    for (const write of file.unsynced) {
      write.data.copy(kept, write.at, 0, fate(write.data.length, index));
      index += 1;
    }
    file.current = kept;
    file.synced = Buffer.from(kept);
    file.unsynced = [];
  }
}

/** A disk that takes so many writes, syncs and replacements, and then never answers again: the process stops there. */
export function stoppingDisk(disk: Disk, operations: number): { readonly disk: Disk; readonly used: () => number } {
  let done = 0;
  function guarded<T>(work: () => Promise<T>): Promise<T> {
    done += 1;
    return done > operations ? new Promise<T>(never) : work();
  }
  function never(): void {}
  async function preallocated(name: string, size: number): Promise<Result<DiskFile, DiskError>> {
    const opened = await disk.openPreallocated(name, size);
    if (!opened.ok) return opened;
    const file = opened.value;
    function write(at: number, data: Buffer): Promise<Result<null, DiskError>> {
      function go(): Promise<Result<null, DiskError>> {
        return file.write(at, data);
      }
      return guarded(go);
    }
    function sync(): Promise<Result<null, DiskError>> {
      return guarded(file.sync);
    }
    return ok({ read: file.read, write, sync });
  }
  function replace(name: string, data: Buffer): Promise<Result<null, DiskError>> {
    function go(): Promise<Result<null, DiskError>> {
      return disk.replace(name, data);
    }
    return guarded(go);
  }
  function used(): number {
    return Math.min(done, operations);
  }
  return { disk: { ...disk, openPreallocated: preallocated, replace }, used };
}

export function loseDisk(platter: Platter): void {
  platter.files.clear();
}

export function simDisk(platter: Platter, proc: Proc, world: World): Disk {
  const clock = world.clockOf(proc);

  function later<T>(work: () => T): Promise<T> {
    function start(resolve: (t: T) => void): void {
      function done(): void {
        resolve(work());
      }
      clock.timer(0.2 + world.rng.next() * 1.5, done);
    }
    return new Promise(start);
  }

  function broken(file: string): Result<never, DiskError> {
    return err({ tag: 'diskFailed', file, code: 'EIO' });
  }

  function fileOf(name: string, file: File): DiskFile {
    function read(length = file.current.length): Promise<Result<Buffer, DiskError>> {
      return Promise.resolve(ok(Buffer.from(file.current.subarray(0, length))));
    }
    function write(at: number, data: Buffer): Promise<Result<null, DiskError>> {
      if (platter.failing) return Promise.resolve(broken(name));
      data.copy(file.current, at);
      file.unsynced.push({ at, data: Buffer.from(data) });
      return Promise.resolve(ok(null));
    }
    function sync(): Promise<Result<null, DiskError>> {
      const covered = file.unsynced.length;
      function done(): Result<null, DiskError> {
        if (platter.failing) return broken(name);
        if (platter.lies) return ok(null);
        for (const write of file.unsynced.splice(0, covered)) write.data.copy(file.synced, write.at);
        return ok(null);
      }
      return later(done);
    }
    return { read, write, sync };
  }

  function list(): Promise<Result<string[], DiskError>> {
    return Promise.resolve(ok([...platter.files.keys()].sort()));
  }
  function preallocated(name: string, size: number): Promise<Result<DiskFile, DiskError>> {
    const have = platter.files.get(name);
    if (have && have.current.length >= size) return Promise.resolve(ok(fileOf(name, have)));
    if (platter.full) return Promise.resolve(err({ tag: 'diskFull', file: name }));
    const made: File = { current: Buffer.alloc(size), synced: Buffer.alloc(size), unsynced: [] };
    platter.files.set(name, made);
    return Promise.resolve(ok(fileOf(name, made)));
  }
  function replace(name: string, data: Buffer): Promise<Result<null, DiskError>> {
    function done(): Result<null, DiskError> {
      if (platter.failing) return broken(name);
      if (platter.full) return err({ tag: 'diskFull', file: name });
      platter.files.set(name, { current: Buffer.from(data), synced: Buffer.from(data), unsynced: [] });
      return ok(null);
    }
    return later(done);
  }
  function load(name: string): Promise<Result<Buffer | null, DiskError>> {
    const have = platter.files.get(name);
    return Promise.resolve(ok(have ? Buffer.from(have.current) : null));
  }
  return { list, openPreallocated: preallocated, replace, load };
}
