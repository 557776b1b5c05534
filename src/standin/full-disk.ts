import { err } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Disk, DiskError, DiskFile } from '../transport/disk.js';

export function fullDisk(disk: Disk, isFull: () => boolean): Disk {
  function unless<T>(file: string, work: () => Promise<Result<T, DiskError>>): Promise<Result<T, DiskError>> {
    return isFull() ? Promise.resolve(err({ tag: 'diskFull', file })) : work();
  }
  function wrapped(name: string, file: DiskFile): DiskFile {
    function write(at: number, data: Buffer): Promise<Result<null, DiskError>> {
      function go(): Promise<Result<null, DiskError>> {
        return file.write(at, data);
      }
      return unless(name, go);
    }
    return { read: file.read, write, sync: file.sync };
  }
  async function preallocated(name: string, size: number): Promise<Result<DiskFile, DiskError>> {
    const got = await disk.preallocated(name, size);
    return got.ok ? { ok: true, value: wrapped(name, got.value) } : got;
  }
  function replace(name: string, data: Buffer): Promise<Result<null, DiskError>> {
    function go(): Promise<Result<null, DiskError>> {
      return disk.replace(name, data);
    }
    return unless(name, go);
  }
  return { list: () => disk.list(), preallocated, replace, load: (name) => disk.load(name) };
}
