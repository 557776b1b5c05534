#!/usr/bin/env node
/**
 * Writes a fixture with data folders as this version stores them, and the data read back from them:
 * `node tools/stored-data.mjs FILE`.
 */
import { writeFileSync } from 'node:fs';
import { gzipSync } from 'node:zlib';
import { readStoredData, writeStoredData } from '../dist/sim/stored-data.js';

const SEED = 2_026;

const [file] = process.argv.slice(2);
if (!file) {
  process.stderr.write('usage: node tools/stored-data.mjs FILE.json.gz\n');
  process.exit(2);
}
const disks = await writeStoredData(SEED);
const expected = {};
for (const [name, files] of Object.entries(disks)) expected[name] = await readStoredData(name, files);
writeFileSync(file, gzipSync(JSON.stringify({ disks, expected }), { level: 9 }));
