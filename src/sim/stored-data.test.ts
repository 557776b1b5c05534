import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { gunzipSync } from 'node:zlib';
import { describe, expect, test } from '@jest/globals';
import { readStoredData, writeStoredData } from './stored-data.js';
import type { StoredDisks } from './stored-data.js';

type Fixture = { readonly disks: StoredDisks; readonly expected: Readonly<Record<string, unknown>> };

const FIXTURE = join('src', 'sim', 'fixtures', 'stored-data-81e4257.json.gz');
const NODES = ['p1', 'h1', 'h3', 'h4'];
const SEED = 2_026;

function loadFixture(): Fixture {
  return JSON.parse(gunzipSync(readFileSync(FIXTURE)).toString()) as Fixture;
}
function jsonCopy(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}
function hasBytes(text: string | undefined): boolean {
  return Buffer.from(text ?? '', 'base64').some((byte) => byte !== 0);
}

describe('data folders written by version 81e4257', () => {
  const { disks, expected } = loadFixture();

  test.each(NODES)('%s reads back all that it held when it was written', async (name) => {
    expect(jsonCopy(await readStoredData(name, disks[name] ?? {}))).toEqual(expected[name]);
  });

  test('they contain a snapshot of the log, claims, an evacuation and a replaced controller', () => {
    expect(hasBytes(disks['h1']?.['ledger-snapshot-0'])).toBe(true);
    expect(expected['h1']).toMatchObject({ claims: 300, claimsReady: true, closed: [{ id: 'o1', status: 'failed' }] });
    expect(expected['h4']).toMatchObject({ claims: 300, state: { evacuated: { 'zone-1': expect.anything() } } });
  });

  test('data written by this version reads back as expected', async () => {
    const written = await writeStoredData(SEED);
    for (const name of NODES) expect(jsonCopy(await readStoredData(name, written[name] ?? {}))).toEqual(expected[name]);
  });
});
