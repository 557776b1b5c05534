/** A disk that rejects writes while it is switched to full. */
import { err } from '../base/result.js';
import type { Result } from '../base/result.js';
import type { Disk, DiskError, DiskFile } from '../transport/disk.js';

/** Wraps a disk: writes and replacements fail with `diskFull` while `isFull` holds; all else passes through. */
export function createFullDisk(disk: Disk, isFull: () => boolean): Disk {
  function unlessFull<T>(file: string, write: () => Promise<Result<T, DiskError>>): Promise<Result<T, DiskError>> {
    return isFull() ? Promise.resolve(err({ tag: 'diskFull', file })) : write();
  }
  function wrapFile(name: string, file: DiskFile): DiskFile {
    function write(offset: number, data: Buffer): Promise<Result<null, DiskError>> {
      function writeFile(): Promise<Result<null, DiskError>> {
        return file.write(offset, data);
      }
      return unlessFull(name, writeFile);
    }
    return { read: file.read, write, sync: file.sync };
  }
  async function preallocated(name: string, size: number): Promise<Result<DiskFile, DiskError>> {
    const result = await disk.openPreallocated(name, size);
    return result.ok ? { ok: true, value: wrapFile(name, result.value) } : result;
  }
  function replace(name: string, data: Buffer): Promise<Result<null, DiskError>> {
    function replaceFile(): Promise<Result<null, DiskError>> {
      return disk.replace(name, data);
    }
    return unlessFull(name, replaceFile);
  }
  return { list: () => disk.list(), openPreallocated: preallocated, replace, load: (name) => disk.load(name) };
}
