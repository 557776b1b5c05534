import { afterEach, expect, test } from '@jest/globals';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createClock } from './clock.js';
import { createOpenDoor } from './open-door.js';
import type { OpenRequest, Outlets, SendFault } from './open-http.js';
import { createOutlets } from './outlets.js';

const open: { close: () => void }[] = [];
afterEach(() => {
  for (const o of open.splice(0)) o.close();
});

function raw(serve: (sock: Socket, text: string) => void): Promise<string> {
  const socks = new Set<Socket>();
  const server: Server = createServer((sock) => {
    socks.add(sock);
    sock.on('error', () => undefined);
    sock.on('data', (d) => serve(sock, d.toString('latin1')));
  });
  open.push({ close: () => { for (const s of socks) s.destroy(); server.close(); } });
  return new Promise((done) => server.listen(0, '127.0.0.1', () => done(`127.0.0.1:${(server.address() as AddressInfo).port}`)));
}

function outlets(): Outlets {
  const o = createOutlets(createClock());
  open.push({ close: o.stop });
  return o;
}

type Got = { status: number; body: string; fault: SendFault | null };
function ask(o: Outlets, address: string, body: string | null = 'x'): Promise<Got> {
  return new Promise((done) => {
    const got: Got = { status: 0, body: '', fault: null };
    o.send(
      { address, method: 'POST', target: '/p?q=1', headers: ['Host', 'h', 'X-One', '1'], body: body === null ? null : Buffer.from(body), connectMs: 500 },
      {
        head: (s) => { got.status = s; },
        data: (c) => { got.body += c.toString(); },
        end: () => done(got),
        failed: (fault) => done({ ...got, fault }),
      },
    );
  });
}
const OK = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi';

test('one conn serves one request after the other', async () => {
  let conns = 0;
  const seen = new Set<Socket>();
  const at = await raw((sock) => {
    if (!seen.has(sock)) conns += 1;
    seen.add(sock);
    sock.write(OK);
  });
  const o = outlets();
  for (let i = 0; i < 3; i += 1) expect(await ask(o, at)).toEqual({ status: 200, body: 'hi', fault: null });
  expect(conns).toBe(1);
  expect(o.made()).toBe(1);
});

test('bytes behind a whole answer belong to no request', async () => {
  const at = await raw((sock) => sock.write(OK + 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad'));
  const o = outlets();
  expect(await ask(o, at)).toMatchObject({ body: 'hi', fault: null });
  expect(await ask(o, at)).toMatchObject({ body: 'hi', fault: null });
  expect(o.made()).toBe(2);
});

test('a late answer on a resting conn ends that conn', async () => {
  let n = 0;
  let late: (() => void) | null = null;
  const at = await raw((sock) => {
    n += 1;
    sock.write(OK);
    if (n === 1) late = () => sock.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad');
  });
  const o = outlets();
  await ask(o, at);
  late!();
  while (o.idle(at) > 0) await new Promise((r) => setImmediate(r));
  expect(await ask(o, at)).toMatchObject({ body: 'hi', fault: null });
  expect(o.made()).toBe(2);
});

test('an answer that breaks off is no end', async () => {
  const at = await raw((sock) => {
    sock.write('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi');
    sock.end();
  });
  expect((await ask(outlets(), at)).fault).toEqual({ tag: 'broken' });
});

test('bytes that are no answer are a broken one', async () => {
  const at = await raw((sock) => sock.write('nonsense\r\n\r\n'));
  expect((await ask(outlets(), at)).fault).toEqual({ tag: 'broken' });
});

test('an address without listener was never sent to', async () => {
  const at = await raw(() => undefined);
  open.splice(0).forEach((o) => o.close());
  await new Promise((r) => setImmediate(r));
  expect((await ask(outlets(), at)).fault).toEqual({ tag: 'neverSent' });
});

test('a conn that its worker closes is not used again', async () => {
  const at = await raw((sock) => {
    sock.write('HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi');
    sock.end();
  });
  const o = outlets();
  await ask(o, at);
  expect(await ask(o, at)).toMatchObject({ body: 'hi', fault: null });
  expect(o.made()).toBe(2);
});

test('through the door and out: head, chunks and end as they come, and a cut as a cut', async () => {
  const door = createOpenDoor();
  let cut = false;
  const opened = await door.open('127.0.0.1:0', (req: OpenRequest) => {
    void req.body(100).then((b) => {
      req.answerer.head(200, ['X-Body', b.ok ? b.value.toString() : b.fault.tag]);
      req.answerer.write(Buffer.from('one'));
      if (cut) req.answerer.cut();
      else req.answerer.end();
    });
  });
  if (!opened.ok) throw new Error('listen');
  open.push({ close: () => void opened.value.close() });
  const o = outlets();
  expect(await ask(o, opened.value.address)).toMatchObject({ status: 200, body: 'one', fault: null });
  cut = true;
  expect((await ask(o, opened.value.address)).fault).toEqual({ tag: 'broken' });
});

test('a conn that its worker forgot teaches to let conns rest for less', async () => {
  let forget = false;
  const at = await raw((sock) => {
    if (forget) sock.resetAndDestroy();
    else sock.write(OK);
  });
  let now = 0;
  const clock = { ...createClock(), mono: () => now };
  const o = createOutlets(clock);
  open.push({ close: o.stop });
  await ask(o, at);
  now = 4_000;
  forget = true;
  expect((await ask(o, at)).fault).toEqual({ tag: 'broken' });
  forget = false;
  await ask(o, at);
  const before = o.made();
  now += 2_600;
  await ask(o, at);
  expect(o.made()).toBe(before + 1);
  now += 1_000;
  await ask(o, at);
  expect(o.made()).toBe(before + 1);
});
