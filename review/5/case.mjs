// Case 5: an answer of a worker whose status is below 100 ends the process of the proxy that reads it.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { HOST, LIMITS, ZONES, createSite, note, now, runCase, sleep, tryAt } from '../lib/site.mjs';

/** The dose of `garble` in the site file of telar-mercado: 0.6 of the workers spoil 3 in 100 of their answers for 5 s. */
const SPOILED = 0.03;
const SPELL_MS = 5_000;
const PAUSE_MS = 3_000;
const LOAD_MS = 60_000;
const route = (name, pathPrefix, variant) => ({
  name,
  authority: HOST,
  pathPrefix,
  variant,
  deadlineMs: 6000,
  goalMs: 486,
  rank: 1,
  target: 'authgate',
  tries: variant === 'idempotent' ? 2 : 1,
  pinned: false,
  resumable: false,
  homeRegions: [],
});
const document = {
  generation: 1,
  routeSet: [route('r-1', '/explain/', 'idempotent'), route('r-2', '/charge/', 'effectful')],
  backends: [
    { name: 'authgate', healthPath: '/health', maxConns: 96, protocol: 'h1', tls: false, coldS: 0, coldRateS: 0 },
  ],
  limits: LIMITS,
};

await runCase(dirname(fileURLToPath(import.meta.url)), 115_000, async ({ trouble, use }) => {
  const site = use(await createSite());
  let loadFrom = Infinity;
  const spoiling = () => trouble && now() > loadFrom && (now() - loadFrom) % (SPELL_MS + PAUSE_MS) < SPELL_MS;
  let spoiled = 0;
  const zones = Object.keys(ZONES);
  for (const [i, zone] of [...zones, ...zones, ...zones].entries())
    await site.addWorker({
      zone,
      service: 'authgate',
      capacity: 6,
      handle: (req, res, body, worker) =>
        setTimeout(() => {
          const id = req.headers['x-millfield-attempt-id'];
          if (spoiling() && i < 5 && Math.random() < SPOILED) {
            // What it would have sent, but for the digits of the status: no answer in HTTP/1.1.
            spoiled += 1;
            note(`worker ${worker.id} spoils its answer to ${id}`);
            res.socket?.end(
              `HTTP/1.1 000 OK\r\nX-Millfield-Attempt-Id: ${id}\r\nX-Millfield-Server-Seal: ${worker.id}.1\r\nContent-Length: 2\r\n\r\nok`,
            );
            return;
          }
          res.writeHead(200, {
            'X-Millfield-Attempt-Id': id,
            'X-Millfield-Server-Seal': `${worker.id}.1`,
            'Content-Length': 2,
          });
          res.end('ok');
        }, 60),
    });
  await site.startAll();
  if (!(await site.replace(0, document, { forMs: 20_000 }))) throw new Error('the first configuration was not taken');
  if (!(await site.ready(20_000))) throw new Error('the proxies were not ready');

  const told = {};
  let open = 0;
  loadFrom = now();
  const until = now() + LOAD_MS;
  for (let i = 0; now() < until; i += 1) {
    const proxy = site.proxies()[Math.floor(Math.random() * 3)];
    open += 1;
    void tryAt(proxy.front, `${i % 3 === 0 ? '/explain' : '/charge'}/${i}`).then((seen) => {
      open -= 1;
      const how = seen.status ?? seen.how;
      told[how] = (told[how] ?? 0) + 1;
      if (seen.status !== 200 && seen.how !== 'ECONNREFUSED')
        note(`client: ${seen.id} at ${proxy.name}: ${seen.status ?? seen.how} ${seen.body}`);
    });
    await sleep(15);
  }
  while (open > 0) await sleep(50);
  const ends = {};
  for (const end of site.ownEnds) ends[end.name] = (ends[end.name] ?? 0) + 1;
  note(`answers spoiled: ${spoiled}; clients were told: ${JSON.stringify(told)}`);
  note(`processes that ended by themselves: ${JSON.stringify(ends)}`);
  // Fault: on a tenth of the machines in use, two at least, processes end by themselves three times.
  const often = Object.values(ends).filter((n) => n >= 3).length;
  return often >= 2
    ? {
        code: 1,
        text: `Fault: on ${often} of ${site.nodes.length} machines processes ended by themselves three times or more (${JSON.stringify(ends)})`,
      }
    : { code: 0, text: `no fault (${JSON.stringify(ends)})` };
});
