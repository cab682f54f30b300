import { once } from 'node:events';
import { expect, test } from 'vitest';
import CallerCase from '../support/CallerCase';

const HEAD = `PUT ${CallerCase.JOB_PATH} HTTP/1.1\r\nHost: a\r\n`;
const JOBS = '/v1/services/booking/jobs';

test('a body nested too deeply is refused', async () => {
  const callers = await CallerCase.start({ bodyBytes: 1_000_000 });
  const depth = 100_000;
  const body = `{"tasks":[{"input":${'['.repeat(depth)}${']'.repeat(depth)}}]}`;
  expect(await callers.send(undefined, { body })).toMatchInlineSnapshot(`
    "400 invalid
    content-length=147
    {"outcome":"invalid","reason":"tasks[0].input: it is nested too deeply","findings":[{"place":"tasks[0].input","reason":"it is nested too deeply"}]}"
  `);
});

test('a request target that is not a valid URL is refused', async () => {
  const callers = await CallerCase.start();
  const targets = ['//', 'http://[', `${JOBS}/%zz`];
  const end = 'Host: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';
  const sent = targets.map((target) => callers.sendRaw(`PUT ${target} HTTP/1.1\r\n${end}`));
  expect((await Promise.all(sent)).map((text) => text.split('\n')[0])).toMatchInlineSnapshot(`
    [
      "HTTP/1.1 404 Not Found",
      "HTTP/1.1 400 Bad Request",
      "HTTP/1.1 400 Bad Request",
    ]
  `);
});

test('an oversized body is refused, with or without Content-Length', async () => {
  const callers = await CallerCase.start();
  const large = 'x'.repeat(5000);
  const announced = await callers.send(undefined, { body: large });
  const chunk = `1388\r\n${large}\r\n`;
  const end = 'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n';
  const chunked = await callers.sendRaw(`${HEAD}${end}${chunk}${chunk}0\r\n\r\n`);
  expect([announced, chunked]).toMatchInlineSnapshot(`
    [
      "413 invalid
    content-length=82
    {"outcome":"invalid","reason":"body: 5000 bytes announced, expected at most 2048"}",
      "HTTP/1.1 413 Payload Too Large
    Magnoliakeel-Configuration: 3
    Content-Type: application/json
    Content-Length: 74
    Magnoliakeel-Outcome: invalid
    Connection: close

    {"outcome":"invalid","reason":"body: larger than the limit of 2048 bytes"}",
    ]
  `);
});

test('bodies that exceed the shared memory budget are refused until other requests end', async () => {
  const callers = await CallerCase.start({ openBodyBytes: 200 });
  const headers = 'Content-Length: 180\r\n\r\n';
  const first = await callers.openSocket(`${HEAD}${headers}${'x'.repeat(179)}`);
  const body = CallerCase.jobBody('x'.repeat(20));
  await expect.poll(() => callers.send(undefined, { body })).toMatch(/^424 unknown/);
  const single = callers.send('/v1/services/booking/requests', { method: 'POST', body });
  expect(await single).toMatch(/^503 not-run/);
  first.destroy();
  await expect.poll(() => callers.send(undefined, { body })).toMatch(/^202 pending/);
});

test('Expect: 100-continue with an oversized body gets no 100 Continue', async () => {
  const callers = await CallerCase.start();
  const large = await callers.sendRaw(
    `${HEAD}Expect: 100-continue\r\nContent-Length: 5000\r\n\r\n`,
  );
  const body = CallerCase.jobBody(1);
  const head = `${HEAD}Connection: close\r\nExpect: 100-continue\r\nContent-Length: ${body.length}`;
  const small = await callers.openSocket(`${head}\r\n\r\n`);
  const [interim] = await once(small, 'data');
  small.write(body);
  const lines = [large, String(interim), await CallerCase.readUntilClose(small)].map(
    (text) => text.split('\n')[0],
  );
  expect(lines.map((line) => line!.trim())).toMatchInlineSnapshot(`
    [
      "HTTP/1.1 413 Payload Too Large",
      "HTTP/1.1 100 Continue",
      "HTTP/1.1 202 Accepted",
    ]
  `);
});

test('malformed JSON is refused with the location of the error', async () => {
  const callers = await CallerCase.start();
  const bodies = [
    '',
    '{"tasks": [',
    '{"tasks": [\n  {"input": 1},\n  {"input": x}\n]}',
    '{"tasks": [{"input": 1}}',
    '{"tasks": [{"input": "a\u0001"}]}',
    Buffer.from([0x22, 0xff, 0x22]),
  ];
  const sent = await Promise.all(bodies.map((body) => callers.send(undefined, { body })));
  expect(sent.map(reasonOf)).toMatchInlineSnapshot(`
    [
      "400 body: line 1, column 1: not well-formed JSON: Unexpected end of JSON input",
      "400 body: line 1, column 12: not well-formed JSON: Unexpected end of JSON input",
      "400 body: line 3, column 13: not well-formed JSON: Unexpected token 'x', ..."{"input": x}
    ]}" is not valid JSON",
      "400 body: line 1, column 24: not well-formed JSON: Expected ',' or ']' after array element in JSON at position 23",
      "400 body: line 1, column 24: not well-formed JSON: Bad control character in string literal in JSON at position 23",
      "400 body: found bytes that are not UTF-8, expected JSON",
    ]
  `);
});

test('a body of the wrong structure is refused with the location of the error', async () => {
  const callers = await CallerCase.start();
  const bodies = ['7', '[]', '{}', '{"tasks":{}}', '{"tasks":[]}', CallerCase.jobBody(1, 2, 3, 4)];
  const sent = await Promise.all(bodies.map((body) => callers.send(undefined, { body })));
  expect(sent.map(reasonOf)).toMatchInlineSnapshot(`
    [
      "400 body: found a number, expected an object with "tasks"",
      "400 body: found a list, expected an object with "tasks"",
      "400 tasks: found nothing, expected a list",
      "400 tasks: found an object, expected a list",
      "400 tasks: found 0, expected 1 to 3",
      "400 tasks: found 4, expected 1 to 3",
    ]
  `);
});

test('one refusal lists all errors of a request', async () => {
  const callers = await CallerCase.start();
  const body = JSON.stringify({ tasks: [1, {}, { input: 'x'.repeat(99) }], task: 1 });
  const headers = { 'magnoliakeel-team': 'wep', 'magnoliakeel-deadline-ms': '-1' };
  const sent = await callers.send(`${JOBS}/my-job?wait=soon`, { body, headers });
  const { reason, findings } = JSON.parse(sent.split('\n').at(-1)!);
  const lines = findings.map(
    ({ place, reason: why }: Record<string, string>) => `${place}: ${why}`,
  );
  expect([reason, ...lines]).toMatchInlineSnapshot(`
    [
      "query wait: found "soon", expected milliseconds from 0 to 86400000 (and 7 more)",
      "query wait: found "soon", expected milliseconds from 0 to 86400000",
      "header Magnoliakeel-Team: there is no team "wep"",
      "header Magnoliakeel-Deadline-Ms: found "-1", expected milliseconds from 0 to 86400000",
      "id: "my-job" carries no time of creation; expected a UUIDv7, or the header Magnoliakeel-Created beside it",
      "task: found an unknown key, expected "tasks" alone",
      "tasks[0]: found a number, expected an object with "input"",
      "tasks[1].input: found nothing, expected any JSON value",
      "tasks[2].input: found 101 bytes, expected at most 64",
    ]
  `);
});

test('a refusal lists the first 20 errors and counts the rest', async () => {
  const callers = await CallerCase.start({ bodyBytes: 100_000 });
  const body = JSON.stringify(Object.fromEntries(Array.from({ length: 500 }, (_, n) => [n, n])));
  const { reason, findings } = JSON.parse(
    (await callers.send(undefined, { body })).split('\n').at(-1)!,
  );
  expect([reason, findings.length]).toMatchInlineSnapshot(`
    [
      "0: found an unknown key, expected "tasks" alone (and 500 more)",
      20,
    ]
  `);
});

test('an id has to be printable and to have a creation time', async () => {
  const callers = await CallerCase.start();
  const at = (created: string) => ({ headers: { 'magnoliakeel-created': created } });
  const sent = [
    await callers.send(`${JOBS}/my-job`),
    await callers.send(`${JOBS}/my-job`, at('yesterday')),
    await callers.send(`${JOBS}/my%20job`, at('1764670000000')),
    await callers.send(`${JOBS}/${'a'.repeat(201)}`, at('1764670000000')),
    await callers.send(`${JOBS}/my-job`, { ...at('1'), method: 'GET' }),
    await callers.send(`${JOBS}/my-job`, at('1764670000000')),
  ];
  expect(sent.map(reasonOf)).toMatchInlineSnapshot(`
    [
      "400 id: "my-job" carries no time of creation; expected a UUIDv7, or the header Magnoliakeel-Created beside it",
      "400 header Magnoliakeel-Created: found "yesterday", expected milliseconds since the epoch",
      "400 id: expected 1 to 200 visible ASCII characters",
      "400 id: expected 1 to 200 visible ASCII characters",
      "400 header Magnoliakeel-Created: found "1", expected milliseconds since the epoch",
      "202 ",
    ]
  `);
});

test('wrong paths, methods, services and encodings get different statuses', async () => {
  const callers = await CallerCase.start();
  const sent = [
    await callers.send('/v2/services/booking/jobs/a'),
    await callers.send(CallerCase.JOB_PATH, { method: 'PATCH' }),
    await callers.send(CallerCase.JOB_PATH.replace('booking', 'bookings')),
    await callers.send(CallerCase.JOB_PATH, { headers: { 'content-encoding': 'gzip' } }),
    await callers.send('/v1/services/booking/requests', { method: 'POST', body: 'x'.repeat(65) }),
  ];
  expect(sent.join('\n\n')).toMatchInlineSnapshot(`
    "404 invalid
    content-length=77
    {"outcome":"invalid","reason":"there is no path /v2/services/booking/jobs/a"}

    405 invalid
    content-length=144
    allow=PUT, GET, DELETE
    {"outcome":"invalid","reason":"PATCH is not allowed on /v1/services/booking/jobs/0192d0c8-0000-7000-8000-000000000000, but PUT, GET, DELETE is"}

    404 invalid
    content-length=74
    {"outcome":"invalid","reason":"service: there is no service \\"bookings\\""}

    415 invalid
    content-length=87
    {"outcome":"invalid","reason":"header Content-Encoding: found \\"gzip\\", expected none"}

    413 invalid
    content-length=74
    {"outcome":"invalid","reason":"body: found 65 bytes, expected at most 64"}"
  `);
  expect(callers.submissions).toEqual([]);
});

test('a body that is not complete within the timeout is refused', async () => {
  const callers = await CallerCase.start();
  const text = await callers.sendRaw(`${HEAD}Content-Length: 100\r\n\r\n{"tasks"`);
  expect(text).toMatchInlineSnapshot(`
    "HTTP/1.1 408 Request Timeout
    Content-Type: application/json
    Content-Length: 68
    Magnoliakeel-Outcome: invalid
    Connection: close

    {"outcome":"invalid","reason":"request: not received whole in time"}"
  `);
});

test('incomplete, oversized and malformed headers are refused', async () => {
  const callers = await CallerCase.start();
  const flood = `${HEAD}X-Flood: ${'x'.repeat(5000)}\r\n\r\n`;
  const sent = await Promise.all([
    callers.sendRaw(HEAD),
    callers.sendRaw(flood),
    callers.sendRaw('no HTTP\r\n\r\n'),
  ]);
  expect(sent.map((text) => text.split('\n').filter((line) => /^HTTP|reason/.test(line))))
    .toMatchInlineSnapshot(`
    [
      [
        "HTTP/1.1 408 Request Timeout",
        "{"outcome":"invalid","reason":"request: not received whole in time"}",
      ],
      [
        "HTTP/1.1 431 Request Header Fields Too Large",
        "{"outcome":"invalid","reason":"headers: larger than the limit"}",
      ],
      [
        "HTTP/1.1 400 Bad Request",
        "{"outcome":"invalid","reason":"request: not well-formed HTTP"}",
      ],
    ]
  `);
});

function reasonOf(sent: string): string {
  return `${sent.slice(0, 3)} ${JSON.parse(sent.split('\n').at(-1)!).reason ?? ''}`;
}
