import type Random from '../../src/core/Random';
import type TimerService from '../../src/core/TimerService';
import type Job from './Job';
import type JobSender from './JobSender';
import RESEND_PAUSE_MS from './RESEND_PAUSE_MS';
import type SendResult from './SendResult';

interface SendContext {
  readonly timer: TimerService;
  readonly random: Random;
  readonly sender: JobSender;
}

/** Sends a job to one or more entries; resolves to the result that its caller uses. */
type Send = (job: Job, context: SendContext) => Promise<SendResult>;

/** The ways in which callers send a job; a failed one is sent again by its caller after a pause. */
const sendingWays = {
  /** To one entry. */
  once: (job, { sender }) => sender.send(job),

  /** To one entry, and almost at once to another if the connection breaks. */
  'at-once': async (job, { timer, random, sender }) => {
    const result = await sender.send(job);
    if (result.status !== 0 || result.isUnsent) return result;
    await timer.sleep(random.below(MAX_AT_ONCE_PAUSE_MS));
    await sender.close(sender.switchTo(sender.connectElsewhere()));
    return sender.send(job);
  },

  /** If no answer arrives soon, the caller closes its connection and sends the job to another entry at once. */
  abandon: async (job, { timer, random, sender }) => {
    const cancel = new AbortController();
    const timeout = timer.after(1 + random.below(MAX_SWITCH_DELAY_MS), () => cancel.abort());
    const result = await sender.send(job, sender.connection, cancel.signal);
    timeout.cancel();
    if (!cancel.signal.aborted || result.status !== 0) return result;
    await sender.close(sender.switchTo(sender.connectElsewhere()));
    return sender.send(job);
  },

  /** If no answer arrives soon, a duplicate goes to another entry; the first answer counts, the other connection is closed. */
  hedge: async (job, { timer, random, sender }) => {
    const connections = [sender.connection, sender.connectElsewhere()] as const;
    const cancel = connections.map(() => new AbortController());
    const send = (index: 0 | 1): Promise<SendResult> =>
      sender.send(job, connections[index], cancel[index]!.signal);
    const first = send(0);
    const delay = timer.sleep(1 + random.below(MAX_SWITCH_DELAY_MS));
    const early = await Promise.race([first, delay]);
    if (early) {
      await sender.close(connections[1]);
      return early;
    }
    const both = [first, send(1)] as const;
    const winner = await firstAnswered(both);
    cancel[1 - winner]!.abort();
    const results = await Promise.all(both);
    sender.switchTo(connections[winner]);
    await sender.close(connections[1 - winner]!);
    return results[winner];
  },

  /** The connection breaks for the caller only: its entry continues, and another gets the job after the usual pause. */
  'half-open': async (job, { timer, random, sender }) => {
    const first = sender.send(job);
    const early = await Promise.race([first, timer.sleep(1 + random.below(MAX_SWITCH_DELAY_MS))]);
    if (early) return early;
    const former = sender.switchTo(sender.connectElsewhere());
    await timer.sleep(RESEND_PAUSE_MS);
    const [result] = await Promise.all([sender.send(job), first]);
    await sender.close(former);
    return result;
  },

  /** Cancelled at another entry soon after it was sent; its answer is awaited all the same. */
  cancelled: async (job, { timer, random, sender }) => {
    const other = sender.connectElsewhere();
    const sent = sender.send(job);
    await timer.sleep(1 + random.below(MAX_SWITCH_DELAY_MS));
    await sender.cancel(job, other);
    await sender.close(other);
    return sent;
  },

  /** Sent to two entries at the same time; the caller waits for both answers. */
  duplicate: async (job, { sender }) => {
    const second = sender.connectElsewhere();
    const results = [sender.send(job), sender.send(job, second)];
    const answers = await Promise.all(results);
    await sender.close(second);
    return answers.find(({ status }) => status === 200) ?? answers[0]!;
  },
} satisfies Readonly<Record<string, Send>>;
export default sendingWays;

/** Index of the request that is answered first; 0 if neither is answered. */
async function firstAnswered(
  results: readonly [Promise<SendResult>, Promise<SendResult>],
): Promise<0 | 1> {
  const answered = ([0, 1] as const).map(async (index) => {
    const { status } = await results[index];
    if (status === 0) throw new Error('no answer');
    return index;
  });
  return Promise.any(answered).catch(() => 0 as const);
}

/** Exclusive upper limit of the pause before `at-once` sends a job again, ms. */
const MAX_AT_ONCE_PAUSE_MS = 31;

/** Longest time that a caller waits for an answer before it uses another entry as well or instead, ms. */
const MAX_SWITCH_DELAY_MS = 400;
