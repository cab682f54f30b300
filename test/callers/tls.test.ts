import { Agent, request } from 'undici';
import { expect, test } from 'vitest';
import CallerCase from '../support/CallerCase';
import credentialsOf from '../support/credentialsOf';

test('callers are served with TLS, and what is not TLS harms nobody', async () => {
  const tls = await credentialsOf('one');
  const callers = await CallerCase.start({}, tls);
  const dispatcher = new Agent({ connect: { ca: tls.current.ca } });
  const send = async () => {
    const url = `https://${callers.address}${CallerCase.JOB}`;
    const body = CallerCase.tasks(1);
    const res = await request(url, { method: 'PUT', body, dispatcher });
    await res.body.dump();
    return res.statusCode;
  };
  const before = await send();
  const plain = await callers.raw('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  expect({ before, plain, after: await send() }).toMatchInlineSnapshot(`
    {
      "after": 202,
      "before": 202,
      "plain": "",
    }
  `);
  await dispatcher.close();
});
