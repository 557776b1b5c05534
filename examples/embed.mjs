import { createClient, runKey } from 'millfield/client';

const proxies = (process.argv[2] ?? '127.0.0.1:7300').split(',');
const client = createClient({ proxies, zone: 'hu-1' });

const authorisation = await client.send({
  mapping: 'card-authorisation',
  parts: [{ hash: 'terminal-71', tokens: 24, text: 'Authorise 41.20 EUR at pump 4.' }],
  outputTokens: 8,
  repeatable: false,
  key: runKey('terminal-71-4711', Date.now()),
});
if (authorisation.ok) console.log('authorised:', authorisation.value.text.trim());
else console.log('not authorised:', JSON.stringify(authorisation.error));

const summary = await client.stream({
  mapping: 'fraud-case',
  parts: [
    { hash: 'fleet-rules-v3', tokens: 400, text: 'Rules of the fleet.' },
    { hash: 'history-71-2026-12', tokens: 1500, text: 'History of the card.' },
    { hash: `case-${Date.now()}`, tokens: 80, text: 'Summarise the case.' },
  ],
  outputTokens: 80,
  repeatable: true,
});
if (!summary.ok) console.log('no summary:', JSON.stringify(summary.error));
else {
  for await (const event of summary.value.events) {
    if (event.tag === 'piece') process.stdout.write(event.text);
    else
      console.log(event.tag === 'sealed' ? '\ncomplete and verified' : `\ntruncated: ${JSON.stringify(event.error)}`);
  }
}
process.exit(0);
