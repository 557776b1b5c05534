import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { TROUBLE, document, route, runCase, service, sleep } from '../lib-2/site.mjs';

const ZONES = { 'szeged-a': 'hu-south', 'wien-2': 'at-east', 'timis-1': 'ro-west' };
/** The successor has had syncS (4 s) when the old machine is switched off. */
const SUCCESSOR_FIRST_MS = 6_000;
/** The next configuration is sent this long after the old machine has gone. */
const ORDER_AFTER_MS = 1_000;
const RECOVERY_S = 12;
const CONTACT_MS = 4_000;

const versionOf = (generation) =>
  document(generation, [route('explain', 'wuno96b', { deadlineMs: 4_000 + generation })], [service('wuno96b')]);

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  { zones: ZONES, edges: 1, tolerance: 1 },
  async (site, record, operator) => {
    await site.startAll();
    if ((await operator.replace(0, versionOf(3), 20_000))?.status !== 200) return null;
    if (!(await site.edgesReady(15_000))) return null;
    record.add('all proxies are ready');
    await sleep(2_000);

    const [, old] = site.cores;
    const successor = site.addCore(old.zone);
    successor.start();
    record.add(`${successor.name} starts, empty, at another address, to take the place of ${old.name}`);
    await sleep(SUCCESSOR_FIRST_MS);
    record.add(`${old.name} is removed for good, without SIGTERM; its successor has had more than syncS`);
    await old.kill();
    site.remove(old);
    await sleep(ORDER_AFTER_MS);
    const taken = await operator.replace(3, versionOf(7), 5_000);
    if (taken?.status !== 200) return null;
    record.add(`generation 7 is acknowledged by ${taken.node.name}`);
    if (TROUBLE) {
      record.add(`${taken.node.name} loses power and its disk right after it (1 machine, as tolerance says)`);
      await taken.node.kill(true);
      await sleep(1_000);
      taken.node.start();
      record.add(`${taken.node.name} starts again with an empty disk`);
    }
    record.add(`all machines run: ${site.cores.map((core) => core.name).join(', ')}; recoveryS is ${RECOVERY_S} s`);
    await sleep(RECOVERY_S * 1_000);
    const read = await operator.read(8 * CONTACT_MS);
    record.add(
      read === null ? 'the configuration does not come' : `generation ${read} is in force, 7 was acknowledged`,
    );
    for (const core of site.cores) {
      const lines = core
        .log()
        .split('\n')
        .filter((line) => /member removed|joined the group|\[core\]/.test(line));
      for (const line of lines.slice(-4)) record.add(`log of ${core.name}: ${line.slice(0, 220)}`);
    }
    return read === null || read < 7;
  },
);
