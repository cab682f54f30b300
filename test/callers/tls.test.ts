import { Agent, request } from 'undici';
import { expect, test } from 'vitest';
import CallerCase from '../support/CallerCase';
import credentialsOf from '../support/credentialsOf';

test('callers are served over TLS, and plain HTTP on the port does no harm', async () => {
  const tls = await credentialsOf('one');
  const callers = await CallerCase.start({}, tls);
  const dispatcher = new Agent({ connect: { ca: tls.current.ca } });
  const send = async () => {
    const url = `https://${callers.address}${CallerCase.JOB_PATH}`;
    const body = CallerCase.jobBody(1);
    const res = await request(url, { method: 'PUT', body, dispatcher });
    await res.body.dump();
    return res.statusCode;
  };
  const before = await send();
  const plain = await callers.sendRaw('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  expect({ before, plain, after: await send() }).toMatchInlineSnapshot(`
    {
      "after": 202,
      "before": 202,
      "plain": "",
    }
  `);
  await dispatcher.close();
});
