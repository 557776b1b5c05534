import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { createClock } from '../src/transport/clock.js';
import { createRng } from '../src/transport/rng.js';
import { judge } from './check.js';
import { amended, documentToWire, MAPPING_DEFAULTS, MODEL_DEFAULTS } from './document.js';
import { createOperator } from './operator.js';
import type { Operator } from './operator.js';
import { createRecords, onlyOf } from './records.js';
import type { Records } from './records.js';

const clock = createClock();
let records: Records;
let servers: Server[];
let seen: string[];

beforeEach(() => {
  records = createRecords(clock.mono);
  servers = [];
  seen = [];
});
afterEach(async () => {
  for (const s of servers) {
    await new Promise<void>((closed) => {
      s.close(() => closed());
      s.closeAllConnections();
    });
  }
});

type Answer = (path: string, base: string, body: string, res: ServerResponse) => void;

function node(answer: Answer): Promise<string> {
  const server = createServer((req: IncomingMessage, res: ServerResponse) => {
    let body = '';
    req.on('data', (b: Buffer) => (body += b.toString()));
    req.on('end', () => {
      seen.push(`${req.method} ${req.url} ${String(req.headers['x-millfield-base-version'] ?? '')}`.trim());
      answer(req.url ?? '', String(req.headers['x-millfield-base-version'] ?? ''), body, res);
    });
  });
  servers.push(server);
  return new Promise((done) =>
    server.listen(0, '127.0.0.1', () => done(`127.0.0.1:${(server.address() as AddressInfo).port}`)),
  );
}
function status(code: number, headers: Record<string, string> = {}): Answer {
  return (_path, _base, _body, res) => {
    res.writeHead(code, headers);
    res.end();
  };
}
function operator(nodes: readonly string[], withinMs = 2_000): Operator {
  return createOperator({ clock, rng: createRng(5), records, nodes: () => nodes, withinMs });
}
function document(number: number): Record<string, unknown> {
  const mapping = {
    ...MAPPING_DEFAULTS,
    name: 'r1',
    host: 'h',
    prefix: '/a/',
    kind: 'once' as const,
    shares: [{ model: 'm', share: 1 }],
  };
  return documentToWire({ number, mappings: [mapping], models: [{ ...MODEL_DEFAULTS, name: 'm' }] });
}

describe('the stand-in operator', () => {
  test('sends a whole configuration on its base, and an evacuation without a body', async () => {
    const o = operator([await node(status(200))]);
    expect(await o.replace(document(7), 5)).toEqual({ outcome: 'acknowledged', status: 200 });
    expect(await o.evacuate('sala-bog', true)).toEqual({ outcome: 'acknowledged', status: 200 });
    expect(await o.evacuate('sala-bog', false)).toEqual({ outcome: 'acknowledged', status: 200 });
    expect(seen).toEqual([
      'POST /millfield/config/replace 5',
      'POST /millfield/evacuation/sala-bog/begin',
      'POST /millfield/evacuation/sala-bog/finish',
    ]);
  });

  test('follows 307 twice, and no third time', async () => {
    const end = await node(status(200));
    const second = await node(status(307, { Location: `http://${end}/millfield/config/replace` }));
    const first = await node(status(307, { Location: `http://${second}/millfield/config/replace` }));
    expect((await operator([first]).replace(document(7), 5)).outcome).toBe('acknowledged');
    expect(seen).toHaveLength(3);
    const zeroth = await node(status(307, { Location: `http://${first}/millfield/config/replace` }));
    expect((await operator([zeroth], 50).replace(document(7), 5)).outcome).toBe('unclear');
  });

  test('goes on to another node after a failure, a 5xx, a 429 and a second of silence', async () => {
    let times = 0;
    const bad = await node((path, base, body, res) => {
      times += 1;
      if (times === 1) status(503)(path, base, body, res);
      if (times === 2) status(429)(path, base, body, res);
      if (times === 4) status(200)(path, base, body, res);
    });
    expect(await operator([bad, '127.0.0.1:1'], 8_000).replace(document(7), 5)).toEqual({
      outcome: 'acknowledged',
      status: 200,
    });
    expect(times).toBe(4);
  });

  test.each([[400], [409], [412], [413], [422]])('ends at once on %i', async (code) => {
    expect(await operator([await node(status(code))]).replace(document(7), 5)).toEqual({
      outcome: 'refused',
      status: code,
    });
    expect(seen).toHaveLength(1);
  });

  test('ends at the third try on another 4xx', async () => {
    expect(await operator([await node(status(404))]).replace(document(7), 5)).toEqual({
      outcome: 'refused',
      status: 404,
    });
    expect(seen).toHaveLength(3);
  });

  test('amends named items, reads back, and the judge compares', async () => {
    let held: unknown = null;
    const at = await node((path, _base, body, res) => {
      if (path === '/millfield/config/replace') held = JSON.parse(body);
      if (path === '/millfield/config/amend') held = amended(held, JSON.parse(body));
      res.end(path === '/millfield/config/read' ? JSON.stringify(held) : undefined);
    });
    const o = operator([at]);
    await o.replace(document(7), 0);
    const change = {
      generation: 9,
      upsert: { routeSet: [{ name: 'r2', authority: 'h', pathPrefix: '/b/', variant: 'effectful', target: 'm' }] },
      remove: { routeSet: ['r1'] },
    };
    await o.amend(document(7), change, 7);
    expect(await o.read(1_000)).toMatchObject({ generation: 9, routeSet: [{ name: 'r2' }] });
    expect(judge(records.all())).toEqual([]);
    held = document(7);
    await o.read(1_000);
    expect(judge(records.all()).map((v) => v.rule)).toEqual(['CONFIG']);
  });

  test('journals an order without a clear answer as such', async () => {
    const o = operator(['127.0.0.1:1'], 60);
    expect((await o.replace(document(7), 5)).outcome).toBe('unclear');
    expect(onlyOf(records.all(), 'settled').map((s) => s.outcome)).toEqual(['unclear']);
    expect(await o.read(30)).toBeNull();
  });
});
