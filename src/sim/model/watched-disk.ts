/**
 * A disk that loses power at a write chosen beforehand. Each write, sync and
 * replacement counts. Once power is lost nothing that the dead process still
 * calls reaches the platter, and none of its calls ever returns.
 */
import { ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Disk, DiskError, DiskFile } from '../../transport/disk.js';

export type PowerSwitch = {
  /** Whether the process that owns the disk still has power. */
  readonly isOn: () => boolean;
  /** Called at each write, sync and replacement once it was handed to the disk: may take the power away. */
  readonly strike: () => void;
};

function never<T>(): Promise<T> {
  function start(): void {}
  return new Promise<T>(start);
}

export function watchDisk(inner: Disk, power: PowerSwitch): Disk {
  function guarded<T>(work: () => Promise<T>): Promise<T> {
    if (!power.isOn()) return never();
    const result = work();
    power.strike();
    return power.isOn() ? result : never();
  }

  function watchFile(file: DiskFile): DiskFile {
    function write(at: number, data: Buffer): Promise<Result<null, DiskError>> {
      function work(): Promise<Result<null, DiskError>> {
        return file.write(at, data);
      }
      return guarded(work);
    }
    function sync(): Promise<Result<null, DiskError>> {
      return guarded(file.sync);
    }
    return { ...file, write, sync };
  }
  async function preallocated(name: string, size: number): Promise<Result<DiskFile, DiskError>> {
    const made = await inner.openPreallocated(name, size);
    return made.ok ? ok(watchFile(made.value)) : made;
  }
  function replace(name: string, data: Buffer): Promise<Result<null, DiskError>> {
    function work(): Promise<Result<null, DiskError>> {
      return inner.replace(name, data);
    }
    return guarded(work);
  }
  return { ...inner, openPreallocated: preallocated, replace };
}
