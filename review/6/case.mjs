import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { TROUBLE, call, document, route, runCase, service, sleep } from '../lib-2/site.mjs';

const ZONES = { 'szeged-a': 'hu-south', 'wien-2': 'at-east', 'timis-1': 'ro-west' };
/** Routes with long paths, of 1.2 KB each. */
const ROUTES = 3_000;
const ROUTES_PER_AMENDMENT = 750;
const LONG = 'x'.repeat(1_000);
/** Routes that each change renames: some 1.4 MB of body. */
const RENAMED = 1_080;
const ROUNDS = 60;
const PLAY_MS = 50_000;
/** The first changes are left alone, to see how long one takes on this machine. */
const MEASURED_ROUNDS = 3;
/** After them the controller that has the change is killed in the later part of that time, 5 to 400 ms after it was sent. */
const MIN_SHARE = 0.45;
const MAX_SHARE = 1.05;
const MIN_KILL_MS = 5;
const MAX_KILL_MS = 400;
const GOLDEN_RATIO = 0.618;
const DOWN_MS = 600;
const CONTACT_MS = 4_000;
/** A caller waits for more than a second where the body is large. */
const LARGE_BODY_TIMEOUT_MS = 3_000;
const GIVE_UP_MS = 8_000;
/** What an operator would try: all controllers are restarted, and asked again. */
const AFTER_RESTART_MS = 15_000;

const SERVICES = [service('wuno96b')];
const routeOf = (index, round) =>
  route(`r-${String(index).padStart(6, '0')}-${round}`, 'wuno96b', { pathPrefix: `/p${index}/${LONG}/g${round}/` });
const range = (from, to, itemOf) => Array.from({ length: to - from }, (_, i) => itemOf(from + i));

await runCase(dirname(fileURLToPath(import.meta.url)), { zones: ZONES, edges: 1 }, async (site, record, operator) => {
  await site.startAll();
  let generation = 3;
  const first = document(generation, [route('explain', 'wuno96b')], SERVICES);
  if ((await operator.replace(0, first, 20_000))?.status !== 200) return null;

  /** Sends one amendment as an operator does, first to the given controller: the same again until the answer is clear. */
  async function amend(who, base, turn, upsert, remove) {
    const body = JSON.stringify({ generation: base + 1, upsert: { routeSet: upsert }, remove: { routeSet: remove } });
    const until = performance.now() + GIVE_UP_MS;
    let last = 'silence';
    for (let i = turn; performance.now() < until; i += 1) {
      const node = site.cores[i % site.cores.length];
      const reply = await call(node.control, 'POST', '/millfield/config/amend', {
        body,
        timeoutMs: LARGE_BODY_TIMEOUT_MS,
        headers: {
          'Content-Type': 'application/json',
          'Content-Length': Buffer.byteLength(body),
          'X-Millfield-Base-Version': String(base),
        },
      });
      last = reply ? String(reply.status) : 'silence';
      if (reply && reply.status < 500 && reply.status !== 408 && reply.status !== 429) {
        record.add(
          `${who}: generation ${base + 1} on ${base}, ${body.length} bytes: ${reply.status} from ${node.name}`,
        );
        return reply.status;
      }
      await sleep(200);
    }
    record.add(`${who}: generation ${base + 1} on ${base}: no clear answer in ${GIVE_UP_MS} ms, the last: ${last}`);
    return null;
  }

  for (let at = 0; at < ROUTES; at += ROUTES_PER_AMENDMENT) {
    const to = Math.min(ROUTES, at + ROUTES_PER_AMENDMENT);
    const added = range(at, to, (i) => routeOf(i, 0));
    if ((await amend('operator', generation, 0, added, [])) !== 200) return null;
    generation += 1;
  }
  record.add(`${ROUTES} routes are in force; each change renames ${RENAMED} of them`);
  const startedAt = performance.now();
  let usualMs = Infinity;
  for (let round = 1; round <= ROUNDS && performance.now() - startedAt < PLAY_MS; round += 1) {
    const gone = range(0, RENAMED, (i) => routeOf(i, round - 1).name);
    const renamed = range(0, RENAMED, (i) => routeOf(i, round));
    const victim = site.cores[round % site.cores.length];
    const sentAt = performance.now();
    const sent = amend('operator', generation, round, renamed, gone);
    if (TROUBLE && round > MEASURED_ROUNDS) {
      const share = MIN_SHARE + (MAX_SHARE - MIN_SHARE) * ((round * GOLDEN_RATIO) % 1);
      const afterMs = Math.round(Math.max(MIN_KILL_MS, Math.min(MAX_KILL_MS, share * usualMs)));
      await sleep(afterMs);
      await victim.kill();
      record.add(`${victim.name} is killed ${afterMs} ms after the change was sent to it`);
      await sleep(DOWN_MS);
      victim.start();
    }
    const isTaken = (await sent) === 200;
    if (round <= MEASURED_ROUNDS) usualMs = Math.min(usualMs, performance.now() - sentAt);
    if (!isTaken) record.add(`generation ${generation + 1} is not acknowledged`);
    const read = await operator.read(5_000);
    if (read === null) {
      record.add(
        `all ${site.cores.length} controllers run: ${site.cores.every((core) => core.child.exitCode === null)}`,
      );
      const later = await operator.read(6 * CONTACT_MS);
      if (later !== null) return false;
      record.add(`generation ${generation} was acknowledged; the configuration does not come`);
      for (const core of site.cores) {
        const lines = core
          .log()
          .split('\n')
          .filter((line) => line.includes('log write failed'));
        record.add(`log of ${core.name}: ${lines.length} times 'log write failed', the last: ${lines.at(-1)}`);
      }
      for (const core of site.cores) await core.kill();
      for (const core of site.cores) core.start();
      const restored = await operator.read(AFTER_RESTART_MS);
      record.add(
        `after a restart of all controllers: ${restored === null ? 'the configuration does not come' : `generation ${restored}`}`,
      );
      return true;
    }
    if (isTaken && read <= generation) return true;
    if (read === generation) round -= 1;
    generation = read;
  }
  return false;
});
