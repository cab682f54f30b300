// A job is cancelled at an entry, which is then restarted as planned; a delayed copy of the job's submission reaches it.
/* eslint-disable no-await-in-loop, no-restricted-syntax -- one step after the other, as in the project's own code */
import Client from '../standins/Client.mjs';
import { BOUNDS, runCase, sleep, until } from '../standins/Deployment.mjs';

const ROUTE = 'lohu930';
const ID = '5c0e7a21d94b36f8';

/** When the copy is sent, after the acknowledgement of the cancelling, ms. */
const COPY_AFTER_MS = 7_000;

/** Duration of a task of the job, ms. */
const TASK_MS = 1_000;

const job = (ms) => ({
  spec: JSON.stringify({ ms }),
  steps: [{ count: 4, cpu: 500, mem_mb: 64, estimate_ms: ms }],
});

runCase(
  { entries: 3, sidecars: 11, dirname: import.meta.dirname },
  async (deployment, hasTrouble) => {
    const client = new Client(deployment);
    deployment.configure(7, [ROUTE]);
    for (const entry of [0, 1, 2]) {
      let count = 0;
      await until(`entry ${entry + 1} serves`, async () => {
        count += 1;
        const id = `00000000000${entry}${String(count).padStart(4, '0')}`;
        return (await client.post(entry, ROUTE, id, job(50))).status === 200;
      });
    }
    await sleep(BOUNDS.contact_ms);
    const first = client.post(0, ROUTE, ID, job(TASK_MS));
    await until('the job runs', () => deployment.startsOf(ID).length > 0);
    const cancel = await client.cancel(0, ROUTE, ID);
    if (cancel.status !== 200) throw new Error('the cancelling was not acknowledged');
    if ((await first).status !== 200) throw new Error('the job was not answered');
    if (hasTrouble) {
      deployment.signal('entry-1', 'SIGTERM');
      const isBack = ({ who, what, at }) =>
        who === 'entry-1' && what === 'process started' && at > cancel.answeredAt;
      await until('entry 1 is started again', () => deployment.events.some(isBack));
    }
    await sleep(cancel.answeredAt + COPY_AFTER_MS - deployment.now);
    if (!deployment.areInTouch(deployment.now)) throw new Error('not all are in touch');
    const copy = await client.post(0, ROUTE, ID, job(TASK_MS));
    if (copy.status === undefined) throw new Error('the copy was not answered');
    return deployment.startsOf(ID).filter(({ at }) => at > cancel.answeredAt + BOUNDS.cancel_ms);
  },
);
