/**
 * Interface to files, so that tests can run on simulated disks that lose power. Used by rings,
 * snapshots and identity files. Every failure is returned as a value. Data that `sync` or `replace`
 * has acknowledged survives a loss of power.
 */

import { mkdir, open, readFile, readdir, rename } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { err, ok } from '../base/result.js';
import type { Result } from '../base/result.js';

/** Why a file operation failed. `diskFull` is a separate error because freeing space resolves it. */
export type DiskError =
  | { readonly tag: 'diskFailed'; readonly file: string; readonly code: string }
  | { readonly tag: 'diskFull'; readonly file: string };

/** An open file of fixed size: a read from its start, writes at offsets, and a sync that makes written data durable. */
export type DiskFile = {
  readonly read: (length?: number) => Promise<Result<Buffer, DiskError>>;
  readonly write: (at: number, data: Buffer) => Promise<Result<null, DiskError>>;
  readonly sync: () => Promise<Result<null, DiskError>>;
};

/**
 * The data folder of one node. `replace` swaps a file atomically; `load` returns null for a file that does not exist.
 */
export interface Disk {
  list(): Promise<Result<string[], DiskError>>;
  openPreallocated(name: string, size: number): Promise<Result<DiskFile, DiskError>>;
  replace(name: string, data: Buffer): Promise<Result<null, DiskError>>;
  load(name: string): Promise<Result<Buffer | null, DiskError>>;
}

const BLOCK_BYTES = 4 * 1_048_576;

function errorOf(file: string, error: unknown): DiskError {
  const code = typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : 'unknown';
  return code === 'ENOSPC' || code === 'EDQUOT' ? { tag: 'diskFull', file } : { tag: 'diskFailed', file, code };
}

async function asResult<T>(file: string, operation: () => Promise<T>): Promise<Result<T, DiskError>> {
  try {
    return ok(await operation());
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
    const listFolder = async (): Promise<string[]> => {
      await mkdir(this.folder, { recursive: true });
      return (await readdir(this.folder)).sort();
    };
    return asResult(this.folder, listFolder);
  }

  private fileOf(name: string, handle: FileHandle, size: number): DiskFile {
    function read(length = size): Promise<Result<Buffer, DiskError>> {
      async function readFully(): Promise<Buffer> {
        const buffer = Buffer.alloc(Math.min(length, size));
        let offset = 0;
        while (offset < buffer.length) {
          const { bytesRead } = await handle.read(buffer, offset, buffer.length - offset, offset);
          if (bytesRead === 0) break;
          offset += bytesRead;
        }
        return buffer;
      }
      return asResult(name, readFully);
    }
    function write(offset: number, data: Buffer): Promise<Result<null, DiskError>> {
      async function writeFully(): Promise<null> {
        let written = 0;
        while (written < data.length) {
          const { bytesWritten } = await handle.write(data, written, data.length - written, offset + written);
          written += bytesWritten;
        }
        return null;
      }
      return asResult(name, writeFully);
    }
    function sync(): Promise<Result<null, DiskError>> {
      async function syncData(): Promise<null> {
        await handle.datasync();
        return null;
      }
      return asResult(name, syncData);
    }
    return { read, write, sync };
  }

  openPreallocated(name: string, size: number): Promise<Result<DiskFile, DiskError>> {
    const openFile = async (): Promise<DiskFile> => {
      await mkdir(this.folder, { recursive: true });
      const path = join(this.folder, name);
      const handle = await open(path, 'a').then(closeAndReopen);
      function closeAndReopen(created: FileHandle): Promise<FileHandle> {
        return created.close().then(reopen);
      }
      function reopen(): Promise<FileHandle> {
        return open(path, 'r+');
      }
      const currentSize = (await handle.stat()).size;
      const zeros = Buffer.alloc(Math.min(BLOCK_BYTES, Math.max(0, size - currentSize)));
      for (let offset = currentSize; offset < size; offset += BLOCK_BYTES) {
        await handle.write(zeros, 0, Math.min(zeros.length, size - offset), offset);
      }
      await handle.sync();
      await this.syncFolder();
      return this.fileOf(name, handle, size);
    };
    return asResult(name, openFile);
  }

  replace(name: string, data: Buffer): Promise<Result<null, DiskError>> {
    const writeFile = async (): Promise<null> => {
      await mkdir(this.folder, { recursive: true });
      const temporaryPath = join(this.folder, `${name}.new`);
      const handle = await open(temporaryPath, 'w');
      try {
        await handle.writeFile(data);
        await handle.sync();
      } finally {
        await handle.close();
      }
      await rename(temporaryPath, join(this.folder, name));
      await this.syncFolder();
      return null;
    };
    return asResult(name, writeFile);
  }

  load(name: string): Promise<Result<Buffer | null, DiskError>> {
    const readIfExists = async (): Promise<Buffer | null> => {
      try {
        return await readFile(join(this.folder, name));
      } catch (error) {
        if (typeof error === 'object' && error !== null && 'code' in error && error.code === 'ENOENT') return null;
        return Promise.reject(error instanceof Error ? error : new Error(String(error)));
      }
    };
    return asResult(name, readIfExists);
  }
}

/** Creates a disk on a folder, which is created when it is first used. */
export function createFolderDisk(folder: string): Disk {
  return new FolderDisk(folder);
}
