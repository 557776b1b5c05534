import { randomBytes } from 'node:crypto';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { TROUBLE, call, document, route, runCase, service, sleep } from '../lib-2/site.mjs';

const ZONES = { 'szeged-a': 'hu-south', 'wien-2': 'at-east', 'timis-1': 'ro-west' };
const HOST = 'ficu95.example';
/** A name like any other: "the names of services, routes and hosts change each day". */
const SERVICE = 'constructor';
const DOWN_MS = 900;
const RECOVERY_S = 12;
const CLIENTS_BEFORE = 30;
const CLIENTS_AFTER = 30;

await runCase(dirname(fileURLToPath(import.meta.url)), { zones: ZONES, edges: 1 }, async (site, record, operator) => {
  let ran = 0;
  for (const zone of Object.keys(ZONES))
    await site.addWorker({
      id: `i-${zone}`,
      target: SERVICE,
      zone,
      capacity: 6,
      handle: (req, res) => {
        req.resume();
        req.on('end', () => {
          ran += 1;
          res.writeHead(200, {
            'X-Millfield-Attempt-Id': req.headers['x-millfield-attempt-id'],
            'X-Millfield-Server-Seal': `3e1b.${ran}`,
            'Content-Length': 2,
          });
          res.end('ok');
        });
      },
    });
  await site.startAll();
  const routes = [route('explain', SERVICE, { tries: 2 })];
  if ((await operator.replace(0, document(3, routes, [service(SERVICE)]), 20_000))?.status !== 200) return null;
  if (!(await site.edgesReady(15_000))) return null;
  await sleep(2_000);

  /** A client that has just started: it asks up to three nodes of the registry, a second each, then sends a request. */
  async function ask(zone) {
    const near = [...site.cores].sort((a, b) => Number(b.zone === zone) - Number(a.zone === zone));
    const query = `name=${HOST}&region=${ZONES[zone]}&zone=${zone}`;
    for (const core of near.slice(0, 3)) {
      const found = await call(core.directory, 'GET', `/millfield/resolve?${query}`);
      const addresses = found?.status === 200 ? JSON.parse(found.body).addresses : [];
      if (!addresses?.length) continue;
      const headers = {
        Host: HOST,
        'X-Millfield-Attempt-Id': randomBytes(8).toString('hex'),
        'X-Millfield-Deadline-Ms': '3000',
        'Content-Length': 5,
      };
      for (const address of addresses) {
        const reply = await call(address, 'POST', '/explain/2f', { body: 'hello', headers, timeoutMs: 3_000 });
        if (reply) return reply.status === 200 ? 'served' : `answered ${reply.status}`;
      }
      return 'no connection';
    }
    return 'no address from the registry';
  }
  async function askMany(count, what) {
    const ends = new Map();
    for (let i = 0; i < count; i += 1) {
      const end = await ask(Object.keys(ZONES)[i % 3]);
      ends.set(end, (ends.get(end) ?? 0) + 1);
      await sleep(100);
    }
    record.add(`${what}: ${count} clients sent: ${[...ends].map(([end, times]) => `${times} ${end}`).join(', ')}`);
    return ends.get('served') ?? 0;
  }

  const before = await askMany(CLIENTS_BEFORE, 'before');
  if (before < CLIENTS_BEFORE / 4) return null;
  if (TROUBLE) {
    record.add(`the processes of all ${site.cores.length} machines of the core are killed; their disks remain`);
    await Promise.all(site.cores.map((core) => core.kill()));
    await sleep(DOWN_MS);
    for (const core of site.cores) core.start();
    record.add('they start again');
  }
  await sleep(RECOVERY_S * 1_000);
  const after = await askMany(CLIENTS_AFTER, `more than ${RECOVERY_S} s later`);
  for (const core of site.cores) {
    const lines = core
      .log()
      .split('\n')
      .filter((line) => line.includes('malformed frame'));
    record.add(`log of ${core.name}: ${lines.length} times a malformed frame; the last: ${lines.at(-1) ?? 'none'}`);
  }
  return after < CLIENTS_AFTER / 4;
});
