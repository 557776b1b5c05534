import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { TROUBLE, document, route, runCase, service, sleep } from '../lib-2/site.mjs';

const ZONES = {
  'szeged-a': 'hu-south',
  'szeged-b': 'hu-south',
  'wien-2': 'at-east',
  'wien-3': 'at-east',
  'timis-1': 'ro-west',
};
const LOST_REGION = 'at-east';
/** As long as the region losses of the large site files last. */
const REGION_LOSS_MS = 6_000;
const RECOVERY_S = 15;
const CONTACT_MS = 6_000;

const versionOf = (generation) =>
  document(generation, [route('explain', 'wuno96b', { deadlineMs: 4_000 + generation })], [service('wuno96b')]);

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  {
    zones: ZONES,
    edges: 1,
    tolerance: 2,
    bounds: { syncS: 6, contactMs: CONTACT_MS, ackWithinMs: 8_000, recoveryS: RECOVERY_S },
  },
  async (site, record, operator) => {
    await site.startAll();
    if ((await operator.replace(0, versionOf(3), 20_000))?.status !== 200) return null;
    if (!(await site.edgesReady(15_000))) return null;
    record.add('all proxies are ready');
    await sleep(2_000);

    const away = site.cores.filter((core) => site.zones[core.zone] === LOST_REGION);
    const lossAt = performance.now();
    if (TROUBLE) {
      record.add(
        `region ${LOST_REGION} loses power: ${away.map((core) => core.name).join(', ')} are dark for 6 s, their disks stay`,
      );
      await Promise.all(away.map((core) => core.kill()));
    }
    await sleep(5_000);
    operator.nodes = () => site.cores.filter((core) => !TROUBLE || !away.includes(core));
    const taken = await operator.replace(3, versionOf(7), 8_000);
    if (taken?.status !== 200) return null;
    record.add(`generation 7 is acknowledged by ${taken.node.name}`);
    if (TROUBLE) {
      const other = operator.nodes().find((core) => core !== taken.node);
      record.add(
        `${taken.node.name} and ${other.name} lose power and their disks right after it (2 machines, as tolerance says)`,
      );
      await Promise.all([taken.node.kill(true), other.kill(true)]);
      await sleep(1_000);
      taken.node.start();
      other.start();
      record.add(`${taken.node.name} and ${other.name} start again with empty disks`);
      await sleep(Math.max(0, REGION_LOSS_MS - (performance.now() - lossAt)));
      for (const core of away) core.start();
      record.add(`${away.map((core) => core.name).join(', ')} start again with their disks`);
    }
    operator.nodes = () => site.cores;
    record.add(`all machines are back; recoveryS is ${RECOVERY_S} s`);
    await sleep(RECOVERY_S * 1_000);
    // Again and again, for several times contactMs.
    const read = await operator.read(5 * CONTACT_MS);
    record.add(
      read === null ? 'the configuration does not come' : `generation ${read} is in force, 7 was acknowledged`,
    );
    for (const core of site.cores) {
      const lines = core
        .log()
        .split('\n')
        .filter((line) => /member removed|removed from the group|joined the group|core/.test(line));
      for (const line of lines.slice(-6)) record.add(`log of ${core.name}: ${line.slice(0, 220)}`);
    }
    return read === null || read < 7;
  },
);
