// The connections to the store that are open go silent for good; later the operator drops a route and adds another.
/* eslint-disable no-await-in-loop, no-restricted-syntax -- one step after the other, as in the project's own code */
import Client from '../standins/Client.mjs';
import { BOUNDS, runCase, sleep, until } from '../standins/Deployment.mjs';
import SilentProxy from '../standins/SilentProxy.mjs';

const ENTRIES = [0, 1, 2];

/** When the connections go silent, after a change of the configuration, which has all watches sent anew, ms. */
const SILENT_AFTER_MS = 300;

/** Time beyond a bound of the pages, ms. */
const MARGIN_MS = 100;

/** How long requests are sent after the change should be in force, and how often, ms. */
const ASK_FOR_MS = 3_000;
const ASK_EVERY_MS = 200;

const job = {
  spec: JSON.stringify({ ms: 100 }),
  steps: [{ count: 1, cpu: 500, mem_mb: 64, estimate_ms: 100 }],
};

let proxy;

const storeVia = async (target, ip) => {
  proxy = new SilentProxy(target);
  return proxy.listen(ip, Number(target.split(':')[1]));
};

const options = { entries: ENTRIES.length, sidecars: 11, dirname: import.meta.dirname, storeVia };

runCase(options, async (deployment, hasTrouble) => {
  const client = new Client(deployment);
  let count = 0;
  const post = (entry, route) => {
    count += 1;
    return client.post(entry, route, String(count).padStart(16, '0'), job);
  };
  deployment.configure(7, ['kept', 'dropped']);
  for (const entry of ENTRIES) {
    await until(
      `entry ${entry + 1} serves`,
      async () => (await post(entry, 'kept')).status === 200,
    );
  }
  await sleep(BOUNDS.contact_ms);
  deployment.configure(9, ['kept', 'dropped']);
  await sleep(SILENT_AFTER_MS);
  if (hasTrouble) {
    const connections = proxy.silence();
    deployment.record('proxy', 'connections to the store go silent', { connections });
  }
  await sleep(BOUNDS.contact_ms + MARGIN_MS);
  const acknowledgedAt = deployment.configure(12, ['kept', 'added']);
  await sleep(BOUNDS.config_apply_ms + MARGIN_MS);
  const breaches = [];
  const ask = async (entry, route, allowed) => {
    const { status, sentAt } = await post(entry, route);
    if (status === allowed) return;
    const sinceMs = sentAt - acknowledgedAt;
    // Only these two answers show that an older version was applied.
    if (status === 200 || status === 404)
      breaches.push({ entry: entry + 1, route, status, sinceMs });
  };
  const askUntil = deployment.now + ASK_FOR_MS;
  while (deployment.now < askUntil) {
    await Promise.all(ENTRIES.flatMap((at) => [ask(at, 'added', 200), ask(at, 'dropped', 404)]));
    await sleep(ASK_EVERY_MS);
  }
  if (!deployment.areInTouch(deployment.now)) throw new Error('not all are in touch');
  proxy.close();
  return breaches;
});
