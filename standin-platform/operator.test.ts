import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { createClock } from '../src/transport/clock.js';
import { createRng } from '../src/transport/rng.js';
import { checkRules } from './check.js';
import { applyAmendment, documentToWire, MAPPING_DEFAULTS, MODEL_DEFAULTS } from './document.js';
import { createOperator } from './operator.js';
import type { Operator } from './operator.js';
import { createRecords, recordsOfType } from './records.js';
import type { Records } from './records.js';

const clock = createClock();
let records: Records;
let servers: Server[];
let requestsSeen: string[];

beforeEach(() => {
  records = createRecords(clock.mono);
  servers = [];
  requestsSeen = [];
});
afterEach(async () => {
  for (const s of servers) {
    await new Promise<void>((closed) => {
      s.close(() => closed());
      s.closeAllConnections();
    });
  }
});

type RequestHandler = (path: string, base: string, body: string, res: ServerResponse) => void;

function startNode(answer: RequestHandler): Promise<string> {
  const server = createServer((req: IncomingMessage, res: ServerResponse) => {
    let body = '';
    req.on('data', (b: Buffer) => (body += b.toString()));
    req.on('end', () => {
      requestsSeen.push(`${req.method} ${req.url} ${String(req.headers['x-millfield-base-version'] ?? '')}`.trim());
      answer(req.url ?? '', String(req.headers['x-millfield-base-version'] ?? ''), body, res);
    });
  });
  servers.push(server);
  return new Promise((done) =>
    server.listen(0, '127.0.0.1', () => done(`127.0.0.1:${(server.address() as AddressInfo).port}`)),
  );
}
function respondWith(code: number, headers: Record<string, string> = {}): RequestHandler {
  return (_path, _base, _body, res) => {
    res.writeHead(code, headers);
    res.end();
  };
}
function createTestOperator(nodes: readonly string[], withinMs = 2_000): Operator {
  return createOperator({ clock, rng: createRng(5), records, nodes: () => nodes, withinMs });
}
function configDocument(number: number): Record<string, unknown> {
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
  test('sends a complete configuration with its base version, and an evacuation without a body', async () => {
    const operator = createTestOperator([await startNode(respondWith(200))]);
    expect(await operator.replace(configDocument(7), 5)).toEqual({ outcome: 'acknowledged', status: 200 });
    expect(await operator.evacuate('sala-bog', true)).toEqual({ outcome: 'acknowledged', status: 200 });
    expect(await operator.evacuate('sala-bog', false)).toEqual({ outcome: 'acknowledged', status: 200 });
    expect(requestsSeen).toEqual([
      'POST /millfield/config/replace 5',
      'POST /millfield/evacuation/sala-bog/begin',
      'POST /millfield/evacuation/sala-bog/finish',
    ]);
  });

  test('follows two 307 redirects, but not a third', async () => {
    const end = await startNode(respondWith(200));
    const second = await startNode(respondWith(307, { Location: `http://${end}/millfield/config/replace` }));
    const first = await startNode(respondWith(307, { Location: `http://${second}/millfield/config/replace` }));
    expect((await createTestOperator([first]).replace(configDocument(7), 5)).outcome).toBe('acknowledged');
    expect(requestsSeen).toHaveLength(3);
    const zeroth = await startNode(respondWith(307, { Location: `http://${first}/millfield/config/replace` }));
    expect((await createTestOperator([zeroth], 50).replace(configDocument(7), 5)).outcome).toBe('unclear');
  });

  test('tries another node after a failure, a 5xx, a 429 and a second without a response', async () => {
    let requestCount = 0;
    const faulty = await startNode((path, base, body, res) => {
      requestCount += 1;
      if (requestCount === 1) respondWith(503)(path, base, body, res);
      if (requestCount === 2) respondWith(429)(path, base, body, res);
      if (requestCount === 4) respondWith(200)(path, base, body, res);
    });
    expect(await createTestOperator([faulty, '127.0.0.1:1'], 8_000).replace(configDocument(7), 5)).toEqual({
      outcome: 'acknowledged',
      status: 200,
    });
    expect(requestCount).toBe(4);
  });

  test.each([[400], [409], [412], [413], [422]])('ends at once on status %i', async (code) => {
    expect(await createTestOperator([await startNode(respondWith(code))]).replace(configDocument(7), 5)).toEqual({
      outcome: 'refused',
      status: code,
    });
    expect(requestsSeen).toHaveLength(1);
  });

  test('ends at the third attempt on any other 4xx', async () => {
    expect(await createTestOperator([await startNode(respondWith(404))]).replace(configDocument(7), 5)).toEqual({
      outcome: 'refused',
      status: 404,
    });
    expect(requestsSeen).toHaveLength(3);
  });

  test('amends named items and reads the configuration back, which the judge compares', async () => {
    let stored: unknown = null;
    const at = await startNode((path, _base, body, res) => {
      if (path === '/millfield/config/replace') stored = JSON.parse(body);
      if (path === '/millfield/config/amend') stored = applyAmendment(stored, JSON.parse(body));
      res.end(path === '/millfield/config/read' ? JSON.stringify(stored) : undefined);
    });
    const operator = createTestOperator([at]);
    await operator.replace(configDocument(7), 0);
    const amendment = {
      generation: 9,
      upsert: { routeSet: [{ name: 'r2', authority: 'h', pathPrefix: '/b/', variant: 'effectful', target: 'm' }] },
      remove: { routeSet: ['r1'] },
    };
    await operator.amend(configDocument(7), amendment, 7);
    expect(await operator.read(1_000)).toMatchObject({ generation: 9, routeSet: [{ name: 'r2' }] });
    expect(checkRules(records.all())).toEqual([]);
    stored = configDocument(7);
    await operator.read(1_000);
    expect(checkRules(records.all()).map((v) => v.rule)).toEqual(['CONFIG']);
  });

  test('records an order without a conclusive response as unclear', async () => {
    const operator = createTestOperator(['127.0.0.1:1'], 60);
    expect((await operator.replace(configDocument(7), 5)).outcome).toBe('unclear');
    expect(recordsOfType(records.all(), 'settled').map((s) => s.outcome)).toEqual(['unclear']);
    expect(await operator.read(30)).toBeNull();
  });
});
