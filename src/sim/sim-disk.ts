/** A simulated disk: writes are lost, kept or truncated when power is lost before they are synced. */
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Disk, DiskError, DiskFile } from '../transport/disk.js';
import { randomInt } from '../transport/rng.js';
import type { Proc, World } from './world.js';

type UnsyncedWrite = { readonly at: number; readonly data: Buffer };
type FileState = { current: Buffer; synced: Buffer; unsynced: UnsyncedWrite[] };

/**
 * Content of a simulated disk. `full`: no file can be created or replaced; `failing`: writes and syncs fail with EIO;
 * `ignoresSyncs`: syncs are acknowledged without making anything durable.
 */
export type Platter = {
  readonly files: Map<string, FileState>;
  full: boolean;
  failing: boolean;
  ignoresSyncs: boolean;
};

/** Creates an empty disk. */
export function createPlatter(): Platter {
  return { files: new Map(), full: false, failing: false, ignoresSyncs: false };
}

/** Returns how many bytes from the start of an unsynced write survive a power loss. */
export type SurvivingBytes = (bytes: number, index: number) => number;

/** Simulates a power loss: each unsynced write is lost, kept or truncated, at random. */
export function losePower(platter: Platter, world: World): void {
  function drawSurvivingBytes(bytes: number): number {
    const fate = randomInt(world.rng, 3);
    if (fate === 0) return 0;
    return fate === 1 ? bytes : randomInt(world.rng, bytes + 1);
  }
  losePowerWith(platter, drawSurvivingBytes);
}

/**
 * Simulates a power loss with the surviving bytes of each write chosen by the test; `index` counts writes over all
 * files.
 */
export function losePowerWith(platter: Platter, fate: SurvivingBytes): void {
  let index = 0;
  for (const file of platter.files.values()) {
    const surviving = Buffer.from(file.synced);
    for (const write of file.unsynced) {
      write.data.copy(surviving, write.at, 0, fate(write.data.length, index));
      index += 1;
    }
    file.current = surviving;
    file.synced = Buffer.from(surviving);
    file.unsynced = [];
  }
}

/** Wraps a disk that hangs after this many writes, syncs and replacements, as if the process stopped at that point. */
export function createHangingDisk(
  disk: Disk,
  operations: number,
): { readonly disk: Disk; readonly used: () => number } {
  let operationCount = 0;
  function hangAfterLimit<T>(work: () => Promise<T>): Promise<T> {
    operationCount += 1;
    return operationCount > operations ? new Promise<T>(neverSettle) : work();
  }
  function neverSettle(): void {}
  async function preallocated(name: string, size: number): Promise<Result<DiskFile, DiskError>> {
    const opened = await disk.openPreallocated(name, size);
    if (!opened.ok) return opened;
    const file = opened.value;
    function write(at: number, data: Buffer): Promise<Result<null, DiskError>> {
      function run(): Promise<Result<null, DiskError>> {
        return file.write(at, data);
      }
      return hangAfterLimit(run);
    }
    function sync(): Promise<Result<null, DiskError>> {
      return hangAfterLimit(file.sync);
    }
    return ok({ read: file.read, write, sync });
  }
  function replace(name: string, data: Buffer): Promise<Result<null, DiskError>> {
    function run(): Promise<Result<null, DiskError>> {
      return disk.replace(name, data);
    }
    return hangAfterLimit(run);
  }
  function used(): number {
    return Math.min(operationCount, operations);
  }
  return { disk: { ...disk, openPreallocated: preallocated, replace }, used };
}

/** Erases all files. */
export function eraseDisk(platter: Platter): void {
  platter.files.clear();
}

/** Opens the simulated disk for a process. */
export function createSimDisk(platter: Platter, proc: Proc, world: World): Disk {
  const clock = world.clockOf(proc);

  function afterLatency<T>(work: () => T): Promise<T> {
    function start(resolve: (value: T) => void): void {
      function done(): void {
        resolve(work());
      }
      clock.timer(0.2 + world.rng.next() * 1.5, done);
    }
    return new Promise(start);
  }

  function ioError(file: string): Result<never, DiskError> {
    return err({ tag: 'diskFailed', file, code: 'EIO' });
  }

  function fileOf(name: string, file: FileState): DiskFile {
    function read(length = file.current.length): Promise<Result<Buffer, DiskError>> {
      return Promise.resolve(ok(Buffer.from(file.current.subarray(0, length))));
    }
    function write(at: number, data: Buffer): Promise<Result<null, DiskError>> {
      if (platter.failing) return Promise.resolve(ioError(name));
      data.copy(file.current, at);
      file.unsynced.push({ at, data: Buffer.from(data) });
      return Promise.resolve(ok(null));
    }
    function sync(): Promise<Result<null, DiskError>> {
      const writeCount = file.unsynced.length;
      function done(): Result<null, DiskError> {
        if (platter.failing) return ioError(name);
        if (platter.ignoresSyncs) return ok(null);
        for (const write of file.unsynced.splice(0, writeCount)) write.data.copy(file.synced, write.at);
        return ok(null);
      }
      return afterLatency(done);
    }
    return { read, write, sync };
  }

  function list(): Promise<Result<string[], DiskError>> {
    return Promise.resolve(ok([...platter.files.keys()].sort()));
  }
  function preallocated(name: string, size: number): Promise<Result<DiskFile, DiskError>> {
    const existing = platter.files.get(name);
    if (existing && existing.current.length >= size) return Promise.resolve(ok(fileOf(name, existing)));
    if (platter.full) return Promise.resolve(err({ tag: 'diskFull', file: name }));
    const created: FileState = { current: Buffer.alloc(size), synced: Buffer.alloc(size), unsynced: [] };
    existing?.current.copy(created.current);
    existing?.synced.copy(created.synced);
    created.unsynced.push(...(existing?.unsynced ?? []));
    platter.files.set(name, created);
    return Promise.resolve(ok(fileOf(name, created)));
  }
  function replace(name: string, data: Buffer): Promise<Result<null, DiskError>> {
    function done(): Result<null, DiskError> {
      if (platter.failing) return ioError(name);
      if (platter.full) return err({ tag: 'diskFull', file: name });
      platter.files.set(name, { current: Buffer.from(data), synced: Buffer.from(data), unsynced: [] });
      return ok(null);
    }
    return afterLatency(done);
  }
  function load(name: string): Promise<Result<Buffer | null, DiskError>> {
    const existing = platter.files.get(name);
    return Promise.resolve(ok(existing ? Buffer.from(existing.current) : null));
  }
  return { list, openPreallocated: preallocated, replace, load };
}
