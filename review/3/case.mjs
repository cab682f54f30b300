// The operator drops a route while a job of it runs; its client then asks all entries again and again to cancel it.
/* eslint-disable no-await-in-loop, no-restricted-syntax -- one step after the other, as in the project's own code */
import Client from '../standins/Client.mjs';
import { BOUNDS, runCase, sleep, until } from '../standins/Deployment.mjs';

const ROUTE = 'lohu930';
const ID = '5c0e7a21d94b36f8';
const ENTRIES = [0, 1, 2];

/** Tasks of the job, one after the other, and the duration of each, ms. */
const STEPS = 16;
const TASK_MS = 1_000;

/** How often the client asks for the cancelling, ms. */
const CANCEL_EVERY_MS = 1_000;

const job = (steps, ms) => ({
  spec: JSON.stringify({ ms }),
  steps: Array.from({ length: steps }, (_, at) => ({
    ...{ count: 1, cpu: 500, mem_mb: 64, estimate_ms: ms },
    ...(at > 0 && { after: [at - 1] }),
  })),
});

const isAcknowledged = ({ status }) => (status >= 200 && status < 300) || status === 410;

runCase(
  { entries: 3, sidecars: 11, dirname: import.meta.dirname },
  async (deployment, hasTrouble) => {
    const client = new Client(deployment);
    deployment.configure(7, [ROUTE, 'other']);
    for (const entry of ENTRIES) {
      let count = 0;
      await until(`entry ${entry + 1} serves`, async () => {
        count += 1;
        const id = `00000000000${entry}${String(count).padStart(4, '0')}`;
        return (await client.post(entry, ROUTE, id, job(1, 50))).status === 200;
      });
    }
    await sleep(BOUNDS.contact_ms);
    const first = client.post(0, ROUTE, ID, job(STEPS, TASK_MS));
    await until('the job runs', () => deployment.startsOf(ID).length > 0);
    if (hasTrouble) deployment.configure(9, ['other']);
    await sleep(BOUNDS.config_apply_ms);
    const cancelSentAt = deployment.now;
    const answers = [];
    let isAnswered = false;
    first.then(() => {
      isAnswered = true;
    });
    while (!isAnswered && !answers.some(isAcknowledged)) {
      answers.push(...(await Promise.all(ENTRIES.map((at) => client.cancel(at, ROUTE, ID)))));
      await sleep(CANCEL_EVERY_MS);
    }
    await first;
    const acknowledged = answers.filter(isAcknowledged).map(({ answeredAt }) => answeredAt);
    const countsFrom = Math.min(...acknowledged, cancelSentAt + BOUNDS.ack_ms);
    if (!deployment.areInTouch(deployment.now)) throw new Error('not all are in touch');
    return deployment.startsOf(ID).filter(({ at }) => at > countsFrom + BOUNDS.cancel_ms);
  },
);
