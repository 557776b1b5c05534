/**
 * A disk that loses power at a scheduled operation: each write, sync and file
 * replacement counts. After the loss, no call of the dead process reaches the
 * platter, and none of its calls ever completes.
 */
import { ok } from '../../base/result.js';
import type { Result } from '../../base/result.js';
import type { Disk, DiskError, DiskFile } from '../../transport/disk.js';

/** The power supply of a simulated disk. */
export type PowerSupply = {
  /** Whether the process that owns the disk still has power. */
  readonly hasPower: () => boolean;
  /** Called after each write, sync or replacement was passed to the disk; may turn the power off. */
  readonly onOperation: () => void;
};

function neverResolves<T>(): Promise<T> {
  function ignore(): void {}
  return new Promise<T>(ignore);
}

/** Wraps a disk so that it can lose power at each operation. */
export function interruptibleDisk(inner: Disk, power: PowerSupply): Disk {
  function whilePowered<T>(operation: () => Promise<T>): Promise<T> {
    if (!power.hasPower()) return neverResolves();
    const result = operation();
    power.onOperation();
    return power.hasPower() ? result : neverResolves();
  }

  function interruptibleFile(file: DiskFile): DiskFile {
    function write(at: number, data: Buffer): Promise<Result<null, DiskError>> {
      function operation(): Promise<Result<null, DiskError>> {
        return file.write(at, data);
      }
      return whilePowered(operation);
    }
    function sync(): Promise<Result<null, DiskError>> {
      return whilePowered(file.sync);
    }
    return { ...file, write, sync };
  }
  async function preallocated(name: string, size: number): Promise<Result<DiskFile, DiskError>> {
    const created = await inner.openPreallocated(name, size);
    return created.ok ? ok(interruptibleFile(created.value)) : created;
  }
  function replace(name: string, data: Buffer): Promise<Result<null, DiskError>> {
    function operation(): Promise<Result<null, DiskError>> {
      return inner.replace(name, data);
    }
    return whilePowered(operation);
  }
  return { ...inner, openPreallocated: preallocated, replace };
}
