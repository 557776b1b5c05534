/**
 * Files as an interface, so that tests run on simulated disks that lose power. Used by rings,
 * snapshots and identity files. Every failure is a value; what `sync` or `replace` has
 * acknowledged survives a loss of power.
 */

import { mkdir, open, readFile, readdir, rename } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';

/** Why a file operation failed; `diskFull` is told apart, as making room mends it. */
export type DiskError =
  | { readonly tag: 'diskFailed'; readonly file: string; readonly code: string }
  | { readonly tag: 'diskFull'; readonly file: string };

/** An open file of fixed size: reads and writes at offsets, and a sync that makes written data durable. */
export type DiskFile = {
  readonly read: (length?: number) => Promise<Result<Buffer, DiskError>>;
  readonly write: (at: number, data: Buffer) => Promise<Result<null, DiskError>>;
  readonly sync: () => Promise<Result<null, DiskError>>;
};

/** The data folder of one node. `replace` swaps a whole file atomically; `load` gives null for a file that does not exist. */
export interface Disk {
  list(): Promise<Result<string[], DiskError>>;
  preallocated(name: string, size: number): Promise<Result<DiskFile, DiskError>>;
  replace(name: string, data: Buffer): Promise<Result<null, DiskError>>;
  load(name: string): Promise<Result<Buffer | null, DiskError>>;
}

const BLOCK_BYTES = 4 * 1_048_576;

function errorOf(file: string, error: unknown): DiskError {
  const code = typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : 'unknown';
  return code === 'ENOSPC' || code === 'EDQUOT' ? { tag: 'diskFull', file } : { tag: 'diskFailed', file, code };
}

async function guarded<T>(file: string, callback: () => Promise<T>): Promise<Result<T, DiskError>> {
  try {
    return ok(await callback());
  } catch (error) {
    return err(errorOf(file, error));
  }
}

class FolderDisk implements Disk {
  constructor(private readonly folder: string) {}

  private async syncFolder(): Promise<void> {
    const dir = await open(this.folder, 'r');
    try {
      await dir.sync();
    } finally {
      await dir.close();
    }
  }

  list(): Promise<Result<string[], DiskError>> {
    const readFolder = async (): Promise<string[]> => {
      await mkdir(this.folder, { recursive: true });
      return (await readdir(this.folder)).sort();
    };
    return guarded(this.folder, readFolder);
  }

  private fileOf(name: string, handle: FileHandle, size: number): DiskFile {
    function read(length = size): Promise<Result<Buffer, DiskError>> {
      async function go(): Promise<Buffer> {
        const buf = Buffer.alloc(Math.min(length, size));
        let at = 0;
        while (at < buf.length) {
          const { bytesRead } = await handle.read(buf, at, buf.length - at, at);
          if (bytesRead === 0) break;
          at += bytesRead;
        }
        return buf;
      }
      return guarded(name, go);
    }
    function write(at: number, data: Buffer): Promise<Result<null, DiskError>> {
      async function go(): Promise<null> {
        let done = 0;
        while (done < data.length) {
          const { bytesWritten } = await handle.write(data, done, data.length - done, at + done);
          done += bytesWritten;
        }
        return null;
      }
      return guarded(name, go);
    }
    function sync(): Promise<Result<null, DiskError>> {
      async function go(): Promise<null> {
        await handle.datasync();
        return null;
      }
      return guarded(name, go);
    }
    return { read, write, sync };
  }

  preallocated(name: string, size: number): Promise<Result<DiskFile, DiskError>> {
    const openFile = async (): Promise<DiskFile> => {
      await mkdir(this.folder, { recursive: true });
      const path = join(this.folder, name);
      const handle = await open(path, 'a').then(reopened);
      function reopened(made: FileHandle): Promise<FileHandle> {
        return made.close().then(again);
      }
      function again(): Promise<FileHandle> {
        return open(path, 'r+');
      }
      const has = (await handle.stat()).size;
      const block = Buffer.alloc(Math.min(BLOCK_BYTES, Math.max(0, size - has)));
      for (let at = has; at < size; at += BLOCK_BYTES) {
        await handle.write(block, 0, Math.min(block.length, size - at), at);
      }
      await handle.sync();
      await this.syncFolder();
      return this.fileOf(name, handle, size);
    };
    return guarded(name, openFile);
  }

  replace(name: string, data: Buffer): Promise<Result<null, DiskError>> {
    const writeFile = async (): Promise<null> => {
      await mkdir(this.folder, { recursive: true });
      const tmp = join(this.folder, `${name}.new`);
      const handle = await open(tmp, 'w');
      try {
        await handle.writeFile(data);
        await handle.sync();
      } finally {
        await handle.close();
      }
      await rename(tmp, join(this.folder, name));
      await this.syncFolder();
      return null;
    };
    return guarded(name, writeFile);
  }

  load(name: string): Promise<Result<Buffer | null, DiskError>> {
    const readWhole = async (): Promise<Buffer | null> => {
      try {
        return await readFile(join(this.folder, name));
      } catch (error) {
        if (typeof error === 'object' && error !== null && 'code' in error && error.code === 'ENOENT') return null;
        return Promise.reject(error instanceof Error ? error : new Error(String(error)));
      }
    };
    return guarded(name, readWhole);
  }
}

/** A disk over a folder, made when first needed. */
export function createFolderDisk(folder: string): Disk {
  return new FolderDisk(folder);
}
