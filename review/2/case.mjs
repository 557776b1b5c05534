// Case 2: a hand-back of a zone that lay unread in a frozen controller is taken as a new order when it wakes.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS, HOST, LIMITS, ZONES, createSite, note, now, runCase, sleep, tryAt } from '../lib/site.mjs';

const FREEZE_MS = 4_000;
const ZONE = 'timis-1';
const document = {
  generation: 1,
  routeSet: [
    {
      name: 'r-1',
      authority: HOST,
      pathPrefix: '/explain/',
      variant: 'idempotent',
      deadlineMs: 6000,
      goalMs: 486,
      rank: 1,
      target: 'authgate',
      tries: 2,
      pinned: false,
      resumable: false,
      homeRegions: [],
    },
  ],
  backends: [
    { name: 'authgate', healthPath: '/health', maxConns: 96, protocol: 'h1', tls: false, coldS: 0, coldRateS: 0 },
  ],
  limits: LIMITS,
};

await runCase(dirname(fileURLToPath(import.meta.url)), 115_000, async ({ trouble, use }) => {
  const site = use(await createSite());
  for (const zone of Object.keys(ZONES))
    await site.addWorker({
      zone,
      service: 'authgate',
      capacity: 6,
      handle: (req, res, body, worker) =>
        setTimeout(() => {
          res.writeHead(200, {
            'X-Millfield-Attempt-Id': req.headers['x-millfield-attempt-id'],
            'X-Millfield-Server-Seal': `${worker.id}.1`,
            'Content-Length': 2,
          });
          res.end('ok');
        }, 40),
    });
  await site.startAll();
  if (!(await site.replace(0, document, { forMs: 20_000 }))) throw new Error('the first configuration was not taken');
  if (!(await site.ready(20_000))) throw new Error('the proxies were not ready');

  const told = {};
  let open = 0;
  let loading = true;
  const load = (async () => {
    for (let i = 0; loading; i += 1) {
      const proxy = site.proxies()[i % 3];
      open += 1;
      void tryAt(proxy.front, `/explain/${i}`).then((seen) => {
        open -= 1;
        told[seen.status] = (told[seen.status] ?? 0) + 1;
      });
      await sleep(25);
    }
  })();
  await sleep(5_000);

  const [frozen, other] = [site.cores()[2], site.cores()[0]];
  const zone = (end, first) => site.order(`${ZONE} ${end}`, 'POST', `/millfield/evacuation/${ZONE}/${end}`, { first });
  const begun = await zone('begin', other);
  if (begun?.status !== 200) throw new Error('the first evacuation was not acknowledged');
  note(`the first evacuation of ${ZONE} is acknowledged`);
  await sleep(3_000);

  const frozenAt = now();
  if (trouble) {
    note(`${frozen.name} stands still for ${FREEZE_MS} ms`);
    frozen.signal('SIGSTOP');
  }
  await sleep(100);
  const finished = await zone('finish', frozen);
  if (finished?.status !== 200) throw new Error('the hand-back was not acknowledged');
  note(`the hand-back of ${ZONE} is acknowledged`);
  await sleep(400);
  const again = await zone('begin', other);
  if (again?.status !== 200) throw new Error('the second evacuation was not acknowledged');
  const acknowledgedAt = again.at;
  note(`the second evacuation of ${ZONE} is acknowledged; it is not taken back`);
  await sleep(FREEZE_MS - (now() - frozenAt));
  const thawedAt = now();
  if (trouble) {
    frozen.signal('SIGCONT');
    note(`${frozen.name} goes on`);
  }
  // In touch again: contactMs after the last trouble of the core; the bound counts from the acknowledgement.
  const from = Math.max(acknowledgedAt + BOUNDS.evacuateWithinMs, thawedAt + BOUNDS.contactMs) + BOUNDS.stretchMaxMs;
  await sleep(from + 15_000 - now());
  loading = false;
  await load;
  while (open > 0) await sleep(50);
  const late = [];
  for (const worker of site.workers) {
    note(
      `worker ${worker.id} in ${worker.zone}: ${worker.arrivals.length} requests, ${worker.arrivals.filter((a) => a.at > from).length} of them after ${(from / 1000).toFixed(3)} s`,
    );
    for (const arrival of worker.arrivals) if (worker.zone === ZONE && arrival.at > from) late.push(arrival);
  }
  for (const arrival of late.slice(0, 10))
    note(
      `request ${arrival.id} reached a worker in ${ZONE} ${((arrival.at - acknowledgedAt) / 1000).toFixed(3)} s after the evacuation was acknowledged`,
    );
  note(`clients were told: ${JSON.stringify(told)}; processes that ended by themselves: ${site.ownEnds.length}`);
  return late.length > 0
    ? { code: 1, text: `EVAC broken: ${late.length} requests reached ${ZONE} after the bound` }
    : { code: 0, text: 'EVAC held' };
});
