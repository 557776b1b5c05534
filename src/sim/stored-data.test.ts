import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { gunzipSync } from 'node:zlib';
import { describe, expect, test } from '@jest/globals';
import { readStoredData, writeStoredData } from './stored-data.js';
import type { StoredDisks } from './stored-data.js';

type Fixture = { readonly disks: StoredDisks; readonly expected: Readonly<Record<string, unknown>> };

/** `joiner-added` was written when a joiner began to be added instead of taking the place of a silent member. */
const VERSIONS = ['81e4257', 'joiner-added'];
const NEWEST_VERSION = 'joiner-added';
const NODES = ['p1', 'h1', 'h3', 'h4'];
const SEED = 2_026;

function loadFixture(version: string): Fixture {
  const file = join('src', 'sim', 'fixtures', `stored-data-${version}.json.gz`);
  return JSON.parse(gunzipSync(readFileSync(file)).toString()) as Fixture;
}
function jsonCopy(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}
function hasBytes(text: string | undefined): boolean {
  return Buffer.from(text ?? '', 'base64').some((byte) => byte !== 0);
}

describe.each(VERSIONS)('data folders written by version %s', (version) => {
  const { disks, expected } = loadFixture(version);

  test.each(NODES)('%s reads back all that it held when it was written', async (name) => {
    expect(jsonCopy(await readStoredData(name, disks[name] ?? {}))).toEqual(expected[name]);
  });

  test('they contain a snapshot of the log, claims, an evacuation and a replaced controller', () => {
    expect(hasBytes(disks['h1']?.['ledger-snapshot-0'])).toBe(true);
    expect(expected['h1']).toMatchObject({ claims: 300, claimsReady: true, closed: [{ id: 'o1', status: 'failed' }] });
    expect(expected['h4']).toMatchObject({ claims: 300, state: { evacuated: { 'zone-1': expect.anything() } } });
  });
});

test('data written by this version reads back as expected', async () => {
  const { expected } = loadFixture(NEWEST_VERSION);
  const written = await writeStoredData(SEED);
  for (const name of NODES) expect(jsonCopy(await readStoredData(name, written[name] ?? {}))).toEqual(expected[name]);
});
